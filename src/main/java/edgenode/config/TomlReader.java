package edgenode.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlInvalidTypeException;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the keys of a TOML file by their dotted names, each with its type, range and default. A
 * fault does not end the reading: the default is returned, and the fault is collected with file,
 * line, key, what was found and what is allowed. Keys that were never read are unknown, which is a
 * fault too.
 */
public final class TomlReader {
  /** Unknown keys within this edit distance of a known one get it as a suggestion. */
  private static final int MAX_SUGGESTION_DISTANCE = 2;

  private final String file;
  private final TomlTable toml;

  /** Stands before each key in messages: name and index of a table in an array, else empty. */
  private final String prefix;

  private final List<TomlReader> nestedReaders = new ArrayList<>();
  private final Set<String> readKeys = new HashSet<>();
  private final List<String> faults = new ArrayList<>();

  /**
   * @throws IOException where the file cannot be read
   */
  TomlReader(Path path) throws IOException {
    this(path.toString(), Files.readString(path));
  }

  /**
   * Parses a text; syntax errors are among the faults.
   *
   * @param file name of the file in messages
   */
  public TomlReader(String file, String text) {
    this.file = file;
    TomlParseResult parsed = Toml.parse(text);
    toml = parsed;
    prefix = "";
    parsed
        .errors()
        .forEach(
            error -> faults.add(file + ":" + error.position().line() + ": " + error.getMessage()));
  }

  private TomlReader(String file, TomlTable table, String prefix) {
    this.file = file;
    toml = table;
    this.prefix = prefix;
  }

  /**
   * The tables of an array, in order; none where it is absent. Their faults are among this reader's
   * faults.
   *
   * @param maxCount most tables that are allowed
   */
  public List<TomlReader> tables(String key, int maxCount) {
    Object value = get(key);
    if (value == null) {
      return List.of();
    }
    String allowed = "an array of at most " + maxCount + " tables, [[" + key + "]]";
    if (!(value instanceof TomlArray array) || array.size() > maxCount) {
      fault(key, value, allowed);
      return List.of();
    }
    List<TomlReader> readers = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof TomlTable table) {
        readers.add(new TomlReader(file, table, key + "[" + i + "]."));
      } else {
        faultAt(array.inputPositionOf(i), key, array.get(i), allowed);
      }
    }
    nestedReaders.addAll(readers);
    return readers;
  }

  /** Whether the file has the table or key. */
  public boolean contains(String key) {
    return toml.contains(key);
  }

  /**
   * A text that is not blank.
   *
   * @param defaultValue returned where the key is absent or faulty; may be null
   * @param allowed says in messages what is allowed
   */
  public String text(String key, String defaultValue, String allowed) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    fault(key, value, allowed);
    return defaultValue;
  }

  /** A whole number from {@code min} to {@code max}, both included. */
  public long integer(String key, long defaultValue, long min, long max) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Long number && number >= min && number <= max) {
      return number;
    }
    fault(key, value, "a whole number from " + min + " to " + max);
    return defaultValue;
  }

  /** A number from {@code min} to {@code max}, both included, with or without a fraction. */
  public double number(String key, double defaultValue, double min, double max) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number number
        && number.doubleValue() >= min
        && number.doubleValue() <= max) {
      return number.doubleValue();
    }
    fault(key, value, "a number from " + min + " to " + max);
    return defaultValue;
  }

  /** True or false. */
  public boolean bool(String key, boolean defaultValue) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Boolean flag) {
      return flag;
    }
    fault(key, value, "true or false");
    return defaultValue;
  }

  /** One of the allowed texts. */
  public String choice(String key, String defaultValue, List<String> allowed) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof String text && allowed.contains(text)) {
      return text;
    }
    fault(key, value, "one of " + String.join(", ", allowed));
    return defaultValue;
  }

  /** A number from 0 to 1. */
  double fraction(String key, double defaultValue) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() <= 1) {
      return number.doubleValue();
    }
    fault(key, value, "a number from 0 to 1");
    return defaultValue;
  }

  /**
   * A list of texts that is not empty.
   *
   * @param allowed says in messages what is allowed
   * @param check throws {@link IllegalArgumentException} for a text that is not allowed
   */
  List<String> textList(
      String key, List<String> defaultValue, String allowed, Consumer<String> check) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    List<String> values = new ArrayList<>();
    if (value instanceof TomlArray array && !array.isEmpty()) {
      for (int index = 0; index < array.size(); index++) {
        try {
          String text = (String) array.get(index);
          check.accept(text);
          values.add(text);
        } catch (ClassCastException | IllegalArgumentException e) {
          faultAt(array.inputPositionOf(index), key, array.get(index), allowed);
        }
      }
      return values;
    }
    fault(key, value, allowed);
    return defaultValue;
  }

  /** Adds a fault: the key's value does not go with other keys or with the system. */
  public void contradiction(String key, String problem) {
    faults.add(place(toml.inputPositionOf(key), key) + ": " + problem);
  }

  /** File, line where there is one, and key. */
  private String place(TomlPosition position, String key) {
    return file + ":" + (position == null ? "" : position.line() + ":") + " " + prefix + key;
  }

  private Object get(String key) {
    readKeys.add(key);
    try {
      return toml.get(key);
    } catch (IllegalArgumentException | TomlInvalidTypeException e) { // its parent is no table
      contradiction(key.substring(0, key.lastIndexOf('.')), "a table expected");
      return null;
    }
  }

  private void fault(String key, Object found, String allowed) {
    faultAt(toml.inputPositionOf(key), key, found, allowed);
  }

  private void faultAt(TomlPosition position, String key, Object found, String allowed) {
    faultAt(position, key, found, allowed, faults);
  }

  private void faultAt(
      TomlPosition position, String key, Object found, String allowed, List<String> collected) {
    collected.add(place(position, key) + ": found " + describe(found) + ", allowed is " + allowed);
  }

  private static String describe(Object found) {
    if (found instanceof TomlTable) {
      return "a table";
    }
    if (found instanceof TomlArray) {
      return "an array";
    }
    return found instanceof String text ? "'" + text + "'" : String.valueOf(found);
  }

  /** All faults, unknown keys included; empty where there are none. */
  public List<String> faults() {
    List<String> all = new ArrayList<>(faults);
    nestedReaders.forEach(table -> all.addAll(table.faults()));
    for (String key : new TreeSet<>(toml.dottedKeySet())) {
      if (readKeys.stream().anyMatch(readKey -> readKey.startsWith(key + "."))) {
        faultAt(toml.inputPositionOf(key), key, toml.get(key), "a table", all);
      } else if (!readKeys.contains(key)) {
        all.add(place(toml.inputPositionOf(key), key) + ": unknown key" + suggestion(key));
      }
    }
    return all;
  }

  private String suggestion(String unknownKey) {
    String similar =
        readKeys.stream()
            .filter(readKey -> editDistance(readKey, unknownKey) <= MAX_SUGGESTION_DISTANCE)
            .sorted()
            .findFirst()
            .orElse(null);
    return similar == null ? "" : ", '" + similar + "' perhaps";
  }

  /** Levenshtein's distance, with one row of the table. */
  private static int editDistance(String first, String second) {
    int[] row = new int[second.length() + 1];
    for (int j = 0; j <= second.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= first.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= second.length(); j++) {
        int above = row[j];
        int substitution = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(Math.min(above, row[j - 1]) + 1, substitution);
        diagonal = above;
      }
    }
    return row[second.length()];
  }
}
