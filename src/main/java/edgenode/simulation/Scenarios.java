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

  private static final double SECOND_MS = 1000;
  private static final int MAX_LENGTH_S = 3600;
  private static final int MAX_RATE_PER_SECOND = 100_000;
  private static final int MAX_COUNT = 1000;
  private static final int MAX_FAULTS = 1000;
  private static final long MAX_FILE_BYTES = 1 << 20;

  /** What is wrong with a scenario: a line for each fault. */
  public static final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    InvalidScenarioException(List<String> faults) {
      super(String.join("\n", faults));
      this.faults = List.copyOf(faults);
    }

    /** What is wrong, one line each. */
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
  public static Scenario of(String name) throws InvalidScenarioException {
    try {
      if (NAMES.contains(name)) {
        return parse(name + ".toml", name, text(name));
      }
      Path file = Path.of(name);
      if (!Files.isRegularFile(file)) {
        throw new InvalidScenarioException(
            List.of(
                "no scenario '"
                    + name
                    + "': there are "
                    + String.join(", ", NAMES)
                    + ", and files"));
      }
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidScenarioException(
            List.of(name + ": " + Files.size(file) + " bytes, allowed are " + MAX_FILE_BYTES));
      }
      return parse(
          name, file.getFileName().toString().replaceAll("\\.toml$", ""), Files.readString(file));
    } catch (IOException | java.nio.file.InvalidPathException e) {
      throw new InvalidScenarioException(List.of(name + ": cannot be read: " + e.getMessage()));
    }
  }

  /** The text of one that comes with the program. */
  static String text(String name) throws IOException {
    try (InputStream in = Scenarios.class.getResourceAsStream("/scenarios/" + name + ".toml")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static Scenario parse(String file, String name, String text) throws InvalidScenarioException {
    TomlReader toml = new TomlReader(file, text);
    String title = toml.text("title", name, "a text");
    double length = SECOND_MS * toml.number("length_s", 20, 1, MAX_LENGTH_S);
    int nodes = (int) toml.integer("nodes", 3, 1, MAX_COUNT);
    int servers = (int) toml.integer("servers", 4, 1, MAX_COUNT);
    int campuses = (int) toml.integer("campuses", 12, 1, 100_000);
    double notice = SECOND_MS * toml.number("front_notice_s", 1, 0, 60);
    CapacityModel.Size size =
        new CapacityModel.Size(
            toml.number("server.cores", 2, 0.1, 256),
            (int) toml.integer("server.slots", 16, 1, 10_000),
            (int) toml.integer("server.room", 32, 0, 100_000),
            toml.number("server.work_ms", 8, 0.1, 10_000),
            toml.number("server.cold_share", 0.3, 0.01, 1),
            toml.number("server.warm_ms", 5000, 0, 600_000));
    List<Scenario.LoadPoint> load = new ArrayList<>();
    double last = -1;
    for (TomlReader p : toml.tables("load", MAX_FAULTS)) {
      double at = SECOND_MS * p.number("at_s", 0, 0, MAX_LENGTH_S);
      if (at <= last) {
        p.contradiction("at_s", "not after the point before");
      }
      last = at;
      load.add(new Scenario.LoadPoint(at, p.number("per_second", 40, 0, MAX_RATE_PER_SECOND)));
    }
    if (load.isEmpty()) {
      load.add(new Scenario.LoadPoint(0, 40));
    }
    List<Scenario.Fault> faults = new ArrayList<>();
    List<String> words =
        Arrays.stream(Scenario.FaultKind.values()).map(Scenario.FaultKind::word).toList();
    for (TomlReader f : toml.tables("fault", MAX_FAULTS)) {
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
    List<String> wrong = new ArrayList<>(toml.faults());
    if (wrong.isEmpty()) {
      all.contradictions().forEach(c -> wrong.add(file + ": " + c));
      if (all.maxPerSecond() <= 0) {
        wrong.add(file + ": load: nobody ever asks anything");
      }
    }
    if (!wrong.isEmpty()) {
      throw new InvalidScenarioException(wrong);
    }
    return all;
  }

  private static Scenario.Fault fault(TomlReader toml, List<String> words) {
    Scenario.FaultKind kind =
        Scenario.FaultKind.valueOf(
            toml.choice("kind", words.get(0), words).toUpperCase(Locale.ROOT));
    if (!toml.contains("kind")) {
      toml.contradiction("kind", "missing, allowed is one of " + String.join(", ", words));
    }
    double at = SECOND_MS * toml.number("at_s", 0, 0, MAX_LENGTH_S);
    int index =
        kind.target() == Scenario.Target.NONE
            ? -1
            : (int)
                toml.integer(
                    kind.target() == Scenario.Target.SERVER ? "server" : "node", -1, 0, MAX_COUNT);
    double lasts = SECOND_MS * toml.number("for_s", 0, 0, MAX_LENGTH_S);
    double share = toml.number("share", 0.5, 0, 0.99);
    double lag = toml.number("lag_ms", 500, 0, 60_000);
    return new Scenario.Fault(kind, at, index, lasts, share, lag, toml.bool("elsewhere", false));
  }
}
