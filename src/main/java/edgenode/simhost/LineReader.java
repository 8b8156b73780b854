package edgenode.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the input line by line and gives typed access to the fields of the current line, which are
 * separated by tabs. A field that is missing or has another form raises a {@link
 * MalformedInputException} with the line's number and the field's name on the wire.
 */
final class LineReader {
  private static final int TYPICAL_FIELDS = 12;
  private static final int MAX_QUOTED_CHARS = 40;
  private static final String NONE = "-";
  private static final double[] NO_NUMBERS = new double[0];

  private final BufferedReader input;
  private long lineNumber;
  private String[] fields = new String[0];

  LineReader(BufferedReader input) {
    this.input = input;
  }

  /** Moves on to the next line; false at the end of the input. */
  boolean next() throws IOException {
    lineNumber++;
    String line = input.readLine();
    if (line == null) {
      return false;
    }
    split(line);
    return true;
  }

  /** Moves on to the next line that is not empty; false at the end of the input. */
  boolean nextNonEmpty() throws IOException {
    while (next()) {
      if (fields.length > 1 || !fields[0].isEmpty()) {
        return true;
      }
    }
    return false;
  }

  private void split(String line) {
    List<String> parts = new ArrayList<>(TYPICAL_FIELDS);
    int from = 0;
    for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', from)) {
      parts.add(line.substring(from, tab));
      from = tab + 1;
    }
    parts.add(line.substring(from));
    fields = parts.toArray(new String[0]);
  }

  /** The first field, which says what the line is. */
  String message() {
    return fields[0];
  }

  int fieldCount() {
    return fields.length;
  }

  /** A field as it is, which may be empty; the index must be below {@link #fieldCount}. */
  String rawField(int index) {
    return fields[index];
  }

  /** A field that is present and not empty. */
  String field(int index, String name) {
    if (index >= fields.length || fields[index].isEmpty()) {
      throw malformed(name, "missing");
    }
    return fields[index];
  }

  /** Whether an optional field is absent. */
  boolean isAbsent(int index) {
    return index >= fields.length || fields[index].equals(NONE);
  }

  boolean flag(int index, String name) {
    String value = field(index, name);
    if (!value.equals("1") && !value.equals("0") && !value.equals(NONE)) {
      throw malformed(name, "1 or 0 expected, found " + quoted(value));
    }
    return value.equals("1");
  }

  long integer(int index, String name) {
    String value = field(index, name);
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw malformed(name, "whole number expected, found " + quoted(value));
    }
  }

  long integerOrZero(int index, String name) {
    return isAbsent(index) ? 0 : integer(index, name);
  }

  double number(int index, String name) {
    return parseNumber(field(index, name), name);
  }

  double numberOrZero(int index, String name) {
    return isAbsent(index) ? 0 : number(index, name);
  }

  /** A list of numbers, NaN for one that is absent; empty where the field is. */
  double[] numbers(int index, String name) {
    if (isAbsent(index) || fields[index].isEmpty()) {
      return NO_NUMBERS;
    }
    String[] items = fields[index].split(",");
    double[] values = new double[items.length];
    for (int i = 0; i < items.length; i++) {
      values[i] = items[i].equals(NONE) ? Double.NaN : parseNumber(items[i], name);
    }
    return values;
  }

  private double parseNumber(String value, String name) {
    try {
      double parsed = Double.parseDouble(value);
      if (Double.isFinite(parsed)) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // reported below, as an infinite number is
    }
    throw malformed(name, "number expected, found " + quoted(value));
  }

  static String quoted(String value) {
    boolean isLong = value.length() > MAX_QUOTED_CHARS;
    return "'" + (isLong ? value.substring(0, MAX_QUOTED_CHARS) + "..." : value) + "'";
  }

  /** The exception for a fault in the current line. */
  MalformedInputException malformed(String field, String problem) {
    return new MalformedInputException("line " + lineNumber + ", field " + field + ": " + problem);
  }
}
