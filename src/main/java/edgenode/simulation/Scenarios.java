package edgenode.simulation;

import edgenode.config.TomlReader;
import edgenode.emulator.CapacityModel;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Scenarios: those that come with the program, and files of the operators' own in the same form.
 */
public final class Scenarios {
  /** What comes with the program, by name, mildest first. */
  public static final List<String> NAMES =
      List.of(
          "calm",
          "window-opening",
          "cold-return",
          "roster-lag",
          "crowd",
          "shift",
          "neighbour",
          "stalls",
          "counter-silent",
          "counter-empty",
          "rolling-restart",
          "everything");

  private static final double SECOND = 1000;
  private static final int LONGEST = 3600;
  private static final int MOST_RATE = 100_000;
  private static final int MOST = 1000;
  private static final int MOST_FAULTS = 1000;
  private static final long LARGEST = 1 << 20;

  /** What is wrong with a scenario: a line for each fault. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    Refused(List<String> faults) {
      super(String.join("\n", faults));
      this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
      return faults;
    }
  }

  private Scenarios() {}

  /**
   * One by its name, or by the path of a file.
   *
   * @throws Refused with one line for each fault: file, line, key, what was found, what is allowed
   */
  public static Scenario of(String name) throws Refused {
    try {
      if (NAMES.contains(name)) {
        return parse(name + ".toml", name, text(name));
      }
      Path file = Path.of(name);
      if (!Files.isRegularFile(file)) {
        throw new Refused(
            List.of(
                "no scenario '"
                    + name
                    + "': there are "
                    + String.join(", ", NAMES)
                    + ", and files"));
      }
      if (Files.size(file) > LARGEST) {
        throw new Refused(
            List.of(name + ": " + Files.size(file) + " bytes, allowed are " + LARGEST));
      }
      return parse(
          name, file.getFileName().toString().replaceAll("\\.toml$", ""), Files.readString(file));
    } catch (IOException | java.nio.file.InvalidPathException e) {
      throw new Refused(List.of(name + ": cannot be read: " + e.getMessage()));
    }
  }

  /** The text of one that comes with the program. */
  static String text(String name) throws IOException {
    try (InputStream in = Scenarios.class.getResourceAsStream("/scenarios/" + name + ".toml")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static Scenario parse(String file, String name, String text) throws Refused {
    TomlReader r = new TomlReader(file, text);
    String title = r.text("title", name, "a text");
    double length = SECOND * r.number("length_s", 20, 1, LONGEST);
    int nodes = (int) r.integer("nodes", 3, 1, MOST);
    int servers = (int) r.integer("servers", 4, 1, MOST);
    int campuses = (int) r.integer("campuses", 12, 1, 100_000);
    double notice = SECOND * r.number("front_notice_s", 1, 0, 60);
    CapacityModel.Size size =
        new CapacityModel.Size(
            r.number("server.cores", 2, 0.1, 256),
            (int) r.integer("server.slots", 16, 1, 10_000),
            (int) r.integer("server.room", 32, 0, 100_000),
            r.number("server.work_ms", 8, 0.1, 10_000),
            r.number("server.cold_share", 0.3, 0.01, 1),
            r.number("server.warm_ms", 5000, 0, 600_000));
    List<Scenario.Point> load = new ArrayList<>();
    double last = -1;
    for (TomlReader p : r.tables("load", MOST_FAULTS)) {
      double at = SECOND * p.number("at_s", 0, 0, LONGEST);
      if (at <= last) {
        p.contradiction("at_s", "not after the point before");
      }
      last = at;
      load.add(new Scenario.Point(at, p.number("per_second", 40, 0, MOST_RATE)));
    }
    if (load.isEmpty()) {
      load.add(new Scenario.Point(0, 40));
    }
    List<Scenario.Fault> faults = new ArrayList<>();
    List<String> words = Arrays.stream(Scenario.Kind.values()).map(Scenario.Kind::word).toList();
    for (TomlReader f : r.tables("fault", MOST_FAULTS)) {
      faults.add(fault(f, words));
    }
    Scenario all =
        new Scenario(
            name,
            title,
            length,
            nodes,
            servers,
            size,
            campuses,
            notice,
            List.copyOf(load),
            List.copyOf(faults));
    List<String> wrong = new ArrayList<>(r.faults());
    if (wrong.isEmpty()) {
      all.contradictions().forEach(c -> wrong.add(file + ": " + c));
      if (all.most() <= 0) {
        wrong.add(file + ": load: nobody ever asks anything");
      }
    }
    if (!wrong.isEmpty()) {
      throw new Refused(wrong);
    }
    return all;
  }

  private static Scenario.Fault fault(TomlReader f, List<String> words) {
    Scenario.Kind kind =
        Scenario.Kind.valueOf(f.choice("kind", words.get(0), words).toUpperCase(Locale.ROOT));
    if (!f.contains("kind")) {
      f.contradiction("kind", "missing, allowed is one of " + String.join(", ", words));
    }
    double at = SECOND * f.number("at_s", 0, 0, LONGEST);
    int index =
        kind.target() == Scenario.Target.NONE
            ? -1
            : (int)
                f.integer(kind.target() == Scenario.Target.SERVER ? "server" : "node", -1, 0, MOST);
    double lasts = SECOND * f.number("for_s", 0, 0, LONGEST);
    double share = f.number("share", 0.5, 0, 0.99);
    double lag = f.number("lag_ms", 500, 0, 60_000);
    return new Scenario.Fault(kind, at, index, lasts, share, lag, f.bool("elsewhere", false));
  }
}
