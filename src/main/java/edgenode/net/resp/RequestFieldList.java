package edgenode.net.resp;

import java.util.regex.Pattern;

/**
 * The list of {@code name=value} pairs in a request, separated by commas. Unknown names are passed
 * on with the rest.
 */
final class RequestFieldList {
  // The names on the wire.
  private static final char CLASS = 'c';
  private static final char PLAN = 't';
  private static final char REMAINING_MS = 'd';
  private static final String UNITS = "units";
  private static final String NODE_SPREAD = "spread";
  private static final String FIRST_NODE = "first";
  private static final char IDEMPOTENCY_KEY = 'k';
  private static final char CLIENT_RETRY = 'r';

  /**
   * Stricter than Java's parser, which takes NaN, 1e30 and 0x1p3: such units would void a quota.
   */
  private static final Pattern INTEGER_FORMAT = Pattern.compile("[0-9]{1,9}");

  private static final Pattern DURATION_FORMAT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

  /** Null where the list does not name it. */
  String className;

  /** Null where the list does not name it. */
  String planName;

  double remainingMs = Double.NaN;
  int units = 1;
  int nodeSpread = 1;
  int firstNode;
  boolean isClientRetry;

  /** Null where there is none. */
  String idempotencyKey;

  /** The text before and after the value of the remaining time, which is replaced on its way. */
  String textBeforeRemaining;

  String textAfterRemaining;

  /** Where the value of the remaining time begins and ends. */
  private int remainingFrom = -1;

  private int remainingTo;

  private RequestFieldList() {}

  /**
   * @throws IllegalArgumentException where the text is malformed or lacks a field that is required
   */
  static RequestFieldList parse(String text) {
    RequestFieldList fields = new RequestFieldList();
    for (int from = 0; from < text.length(); ) {
      int comma = text.indexOf(',', from);
      int to = comma < 0 ? text.length() : comma;
      int equalsAt = text.indexOf('=', from);
      if (equalsAt < 0 || equalsAt >= to) {
        throw new IllegalArgumentException("name=value expected");
      }
      fields.set(text, from, equalsAt, to);
      from = to + 1;
    }
    if (fields.className == null || fields.planName == null || fields.remainingFrom < 0) {
      throw new IllegalArgumentException("c, t and d are needed");
    }
    // Once for the list: in a list of many such fields, a copy for each would take a second.
    fields.textBeforeRemaining = text.substring(0, fields.remainingFrom);
    fields.textAfterRemaining = text.substring(fields.remainingTo);
    return fields;
  }

  /** Makes no copy of a field whose name is not known: a list may have thousands. */
  private void set(String text, int from, int equalsAt, int to) {
    int nameChars = equalsAt - from;
    if (nameChars == 1) {
      setOneLetterField(text.charAt(from), text, equalsAt + 1, to);
    } else if (isName(UNITS, text, from, nameChars)) {
      units = parseInteger(text.substring(equalsAt + 1, to));
    } else if (isName(NODE_SPREAD, text, from, nameChars)) {
      nodeSpread = parseInteger(text.substring(equalsAt + 1, to));
    } else if (isName(FIRST_NODE, text, from, nameChars)) {
      firstNode = parseInteger(text.substring(equalsAt + 1, to));
    }
  }

  private static boolean isName(String name, String text, int from, int nameChars) {
    return nameChars == name.length() && text.startsWith(name, from);
  }

  private void setOneLetterField(char name, String text, int valueFrom, int to) {
    switch (name) {
      case CLASS -> className = text.substring(valueFrom, to);
      case PLAN -> planName = text.substring(valueFrom, to);
      case REMAINING_MS -> {
        String value = text.substring(valueFrom, to);
        remainingMs = Double.parseDouble(requireFormat(DURATION_FORMAT, value));
        remainingFrom = valueFrom;
        remainingTo = to;
      }
      case IDEMPOTENCY_KEY ->
          idempotencyKey = valueFrom == to ? null : text.substring(valueFrom, to);
      case CLIENT_RETRY -> isClientRetry = to - valueFrom == 1 && text.charAt(valueFrom) == '1';
      default -> {} // passed on as it is
    }
  }

  private static int parseInteger(String value) {
    return Integer.parseInt(requireFormat(INTEGER_FORMAT, value));
  }

  private static String requireFormat(Pattern format, String value) {
    if (!format.matcher(value).matches()) {
      throw new IllegalArgumentException("a number is malformed");
    }
    return value;
  }
}
