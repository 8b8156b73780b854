package edgenode;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the list of names that leave the process, {@code external-names.txt}. */
public final class ExternalNames {
  private static final Pattern GROUP = Pattern.compile("# \\[([^]]+)] .+");
  private static final Pattern TYPE = Pattern.compile("# (?:record|enum) (\\w+)\\((.*)\\)");

  private ExternalNames() {}

  /** The names of a group, in the order of the list. */
  public static List<String> group(String group) {
    List<String> names = new ArrayList<>();
    for (String line : linesOf(group)) {
      if (!line.startsWith("#") && !line.isBlank()) {
        names.add(line);
      }
    }
    if (names.isEmpty()) {
      throw new IllegalArgumentException("no group [" + group + "] in the list of names");
    }
    return names;
  }

  /** The records and enums of a group by name, with their components or constants. */
  public static Map<String, List<String>> types(String group) {
    Map<String, List<String>> types = new LinkedHashMap<>();
    for (String line : linesOf(group)) {
      Matcher type = TYPE.matcher(line);
      if (type.matches()) {
        types.put(type.group(1), List.of(type.group(2).split(", ")));
      }
    }
    return types;
  }

  private static List<String> linesOf(String group) {
    List<String> lines = new ArrayList<>();
    boolean isInGroup = false;
    for (String line : readList().split("\n")) {
      Matcher header = GROUP.matcher(line);
      if (header.matches()) {
        isInGroup = header.group(1).equals(group);
      } else if (isInGroup) {
        lines.add(line);
      }
    }
    return lines;
  }

  private static String readList() {
    try (InputStream list = ExternalNames.class.getResourceAsStream("/external-names.txt")) {
      return new String(list.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
