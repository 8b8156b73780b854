package edgenode.net.resp;

import java.util.regex.Pattern;

/**
 * The list of {@code name=value} pairs in a request, separated by commas. Unknown names are passed
 * on with the rest.
 */
final class RequestFieldList {
  // The names on the wire.
  private static final String CLASS = "c";
  private static final String PLAN = "t";
  private static final String REMAINING_MS = "d";
  private static final String UNITS = "units";
  private static final String NODE_SPREAD = "spread";
  private static final String FIRST_NODE = "first";
  private static final String IDEMPOTENCY_KEY = "k";
  private static final String CLIENT_RETRY = "r";

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
    if (fields.className == null || fields.planName == null || fields.textBeforeRemaining == null) {
      throw new IllegalArgumentException("c, t and d are needed");
    }
    return fields;
  }

  private void set(String text, int from, int equalsAt, int to) {
    String value = text.substring(equalsAt + 1, to);
    switch (text.substring(from, equalsAt)) {
      case CLASS -> className = value;
      case PLAN -> planName = value;
      case REMAINING_MS -> {
        remainingMs = Double.parseDouble(requireFormat(DURATION_FORMAT, value));
        textBeforeRemaining = text.substring(0, equalsAt + 1);
        textAfterRemaining = text.substring(to);
      }
      case UNITS -> units = parseInteger(value);
      case NODE_SPREAD -> nodeSpread = parseInteger(value);
      case FIRST_NODE -> firstNode = parseInteger(value);
      case IDEMPOTENCY_KEY -> idempotencyKey = value.isEmpty() ? null : value;
      case CLIENT_RETRY -> isClientRetry = value.equals("1");
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
