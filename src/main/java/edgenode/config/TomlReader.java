package edgenode.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads keys of a TOML file by their dotted names, each with its type, range and default, and
 * collects what is wrong with any of them: file, line, key, what was found and what is allowed. A
 * key that nobody has read is unknown.
 */
public final class TomlReader {
  private final String file;
  private final TomlTable toml;

  /** Of a table in an array: its name and number, before each key. */
  private final String prefix;

  private final List<TomlReader> nestedReaders = new ArrayList<>();
  private final Set<String> readKeys = new HashSet<>();
  private final List<String> faults = new ArrayList<>();

  TomlReader(Path path) throws IOException {
    this(path.toString(), Files.readString(path));
  }

  public TomlReader(String file, String text) {
    this.file = file;
    TomlParseResult parsed = Toml.parse(text);
    toml = parsed;
    prefix = "";
    parsed
        .errors()
        .forEach(e -> faults.add(file + ":" + e.position().line() + ": " + e.getMessage()));
  }

  private TomlReader(String file, TomlTable table, String prefix) {
    this.file = file;
    toml = table;
    this.prefix = prefix;
  }

  /**
   * The tables of an array, in order; none where it is absent. What is wrong in them is among this
   * reader's faults.
   *
   * @param maxCount how many there may be
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

  /** Whether the file has the table or key at all. */
  public boolean contains(String key) {
    return toml.contains(key);
  }

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

  /** A number, with or without a fraction. */
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
   * A list of texts, each of which the check takes or throws {@link IllegalArgumentException} for.
   */
  List<String> textList(
      String key,
      List<String> defaultValue,
      String allowed,
      java.util.function.Consumer<String> check) {
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

  /** Where a key cannot be as it is beside others. */
  public void contradiction(String key, String problem) {
    TomlPosition position = toml.inputPositionOf(key);
    faults.add(
        file
            + ":"
            + (position == null ? "" : position.line() + ":")
            + " "
            + prefix
            + key
            + ": "
            + problem);
  }

  private Object get(String key) {
    readKeys.add(key);
    try {
      return toml.get(key);
    } catch (IllegalArgumentException
        | org.tomlj.TomlInvalidTypeException e) { // its parent is no table
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
    String description =
        found instanceof TomlTable
            ? "a table"
            : found instanceof TomlArray
                ? "an array"
                : found instanceof String text ? "'" + text + "'" : String.valueOf(found);
    collected.add(
        file
            + ":"
            + (position == null ? "" : position.line() + ":")
            + " "
            + prefix
            + key
            + ": found "
            + description
            + ", allowed is "
            + allowed);
  }

  /** All that is wrong, with the keys that nobody knows; empty where nothing is. */
  public List<String> faults() {
    List<String> all = new ArrayList<>(faults);
    nestedReaders.forEach(table -> all.addAll(table.faults()));
    for (String key : new TreeSet<>(toml.dottedKeySet())) {
      if (readKeys.stream().anyMatch(k -> k.startsWith(key + "."))) {
        faultAt(toml.inputPositionOf(key), key, toml.get(key), "a table", all);
      } else if (!readKeys.contains(key)) {
        TomlPosition position = toml.inputPositionOf(key);
        String suggestion =
            readKeys.stream()
                .filter(k -> editDistance(k, key) <= 2)
                .sorted()
                .findFirst()
                .orElse(null);
        all.add(
            file
                + ":"
                + (position == null ? "" : position.line() + ":")
                + " "
                + prefix
                + key
                + ": unknown key"
                + (suggestion == null ? "" : ", '" + suggestion + "' perhaps"));
      }
    }
    return all;
  }

  /** Levenshtein's distance, for a hint. */
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
