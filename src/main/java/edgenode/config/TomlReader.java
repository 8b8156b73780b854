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

  private final List<TomlReader> inner = new ArrayList<>();
  private final Set<String> read = new HashSet<>();
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
   * @param most how many there may be
   */
  public List<TomlReader> tables(String key, int most) {
    Object value = get(key);
    if (value == null) {
      return List.of();
    }
    String allowed = "an array of at most " + most + " tables, [[" + key + "]]";
    if (!(value instanceof TomlArray array) || array.size() > most) {
      fault(key, value, allowed);
      return List.of();
    }
    List<TomlReader> all = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof TomlTable table) {
        all.add(new TomlReader(file, table, key + "[" + i + "]."));
      } else {
        faultAt(array.inputPositionOf(i), key, array.get(i), allowed);
      }
    }
    inner.addAll(all);
    return all;
  }

  /** Whether the file has the table or key at all. */
  public boolean has(String key) {
    return toml.contains(key);
  }

  public String text(String key, String other, String allowed) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    fault(key, value, allowed);
    return other;
  }

  public long whole(String key, long other, long least, long most) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof Long number && number >= least && number <= most) {
      return number;
    }
    fault(key, value, "a whole number from " + least + " to " + most);
    return other;
  }

  /** A number, with or without a fraction. */
  public double number(String key, double other, double least, double most) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof Number number
        && number.doubleValue() >= least
        && number.doubleValue() <= most) {
      return number.doubleValue();
    }
    fault(key, value, "a number from " + least + " to " + most);
    return other;
  }

  public boolean flag(String key, boolean other) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof Boolean flag) {
      return flag;
    }
    fault(key, value, "true or false");
    return other;
  }

  public String choice(String key, String other, List<String> allowed) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof String text && allowed.contains(text)) {
      return text;
    }
    fault(key, value, "one of " + String.join(", ", allowed));
    return other;
  }

  double share(String key, double other) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() <= 1) {
      return number.doubleValue();
    }
    fault(key, value, "a number from 0 to 1");
    return other;
  }

  /**
   * A list of texts, each of which the check takes or throws {@link IllegalArgumentException} for.
   */
  List<String> texts(
      String key, List<String> other, String allowed, java.util.function.Consumer<String> check) {
    Object value = get(key);
    if (value == null) {
      return other;
    }
    List<String> all = new ArrayList<>();
    if (value instanceof TomlArray array && !array.isEmpty()) {
      for (int i = 0; i < array.size(); i++) {
        try {
          String text = (String) array.get(i);
          check.accept(text);
          all.add(text);
        } catch (ClassCastException | IllegalArgumentException e) {
          faultAt(array.inputPositionOf(i), key, array.get(i), allowed);
        }
      }
      return all;
    }
    fault(key, value, allowed);
    return other;
  }

  /** Where a key cannot be as it is beside others. */
  public void contradiction(String key, String what) {
    TomlPosition at = toml.inputPositionOf(key);
    faults.add(file + ":" + (at == null ? "" : at.line() + ":") + " " + prefix + key + ": " + what);
  }

  private Object get(String key) {
    read.add(key);
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

  private void faultAt(TomlPosition at, String key, Object found, String allowed) {
    faultAt(at, key, found, allowed, faults);
  }

  private void faultAt(TomlPosition at, String key, Object found, String allowed, List<String> to) {
    String what =
        found instanceof TomlTable
            ? "a table"
            : found instanceof TomlArray
                ? "an array"
                : found instanceof String text ? "'" + text + "'" : String.valueOf(found);
    to.add(
        file
            + ":"
            + (at == null ? "" : at.line() + ":")
            + " "
            + prefix
            + key
            + ": found "
            + what
            + ", allowed is "
            + allowed);
  }

  /** All that is wrong, with the keys that nobody knows; empty where nothing is. */
  public List<String> faults() {
    List<String> all = new ArrayList<>(faults);
    inner.forEach(table -> all.addAll(table.faults()));
    for (String key : new TreeSet<>(toml.dottedKeySet())) {
      if (read.stream().anyMatch(k -> k.startsWith(key + "."))) {
        faultAt(toml.inputPositionOf(key), key, toml.get(key), "a table", all);
      } else if (!read.contains(key)) {
        TomlPosition at = toml.inputPositionOf(key);
        String near =
            read.stream().filter(k -> distance(k, key) <= 2).sorted().findFirst().orElse(null);
        all.add(
            file
                + ":"
                + (at == null ? "" : at.line() + ":")
                + " "
                + prefix
                + key
                + ": unknown key"
                + (near == null ? "" : ", '" + near + "' perhaps"));
      }
    }
    return all;
  }

  /** Levenshtein's distance, for a hint. */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int corner = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int above = row[j];
        int swap = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(Math.min(above, row[j - 1]) + 1, swap);
        corner = above;
      }
    }
    return row[b.length()];
  }
}
