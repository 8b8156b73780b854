package edgenode.benchmark;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code slopes}: what one edge node costs, against the size of what it holds. */
@Command(
    name = "benchmark-scaling",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Measures what the parts of one edge node cost against the size of what they hold, on one core",
      "each: at three sizes or more, with a power law and a straight line by least squares and their errors.",
      "Times are the CPU of the thread that does the work; each is the median of up to seven repeats.",
      "Exit code: 0 all measured, 1 some not (the table tells which and why), 2 wrong input."
    })
public final class BenchmarkScalingCommand implements Callable<Integer> {
  private static final int MOST = 1_000_000;

  /** A part of the whole that can be run alone. */
  private interface Study {
    void run(Run run) throws InterruptedException;
  }

  private static final Map<String, Study> STUDIES = studies();

  @Spec private CommandSpec spec;

  @Option(
      names = "--only",
      split = ",",
      paramLabel = "STUDY",
      description = "these alone, of --list")
  private List<String> only = List.of();

  @Option(names = "--list", description = "the studies, a line each")
  private boolean list;

  @Option(
      names = "--servers",
      split = ",",
      paramLabel = "N",
      defaultValue = "40,400,4000,40000,190000",
      description = "sizes of the list of servers; default ${DEFAULT-VALUE}")
  private int[] servers;

  @Option(
      names = "--customers",
      split = ",",
      paramLabel = "N",
      defaultValue = "100,1000,10000,100000",
      description = "customers of one node; default ${DEFAULT-VALUE}")
  private int[] customers;

  @Option(
      names = "--fleets",
      split = ",",
      paramLabel = "N",
      defaultValue = "20,100,1000,5500",
      description = "edge nodes that are played in virtual time; default ${DEFAULT-VALUE}")
  private int[] fleets;

  @Option(
      names = "--plans",
      split = ",",
      paramLabel = "N",
      defaultValue = "100,1000,10000,100000",
      description = "plans in a configuration; default ${DEFAULT-VALUE}")
  private int[] plans;

  @Option(
      names = "--point-ms",
      paramLabel = "MS",
      defaultValue = "600",
      description =
          "CPU for one point of a time, 1 to 60000; a point is a warm-up and three runs at least; default "
              + "${DEFAULT-VALUE}")
  private int pointMs;

  @Option(
      names = "--budget",
      paramLabel = "S",
      defaultValue = "900",
      description = "begin no further point after so many seconds; default ${DEFAULT-VALUE}")
  private int budget;

  @Option(names = "--report", paramLabel = "DIR", description = "writes slopes.json there")
  private Path report;

  private final PrintStream out = System.out;

  private static Map<String, Study> studies() {
    Map<String, Study> all = new LinkedHashMap<>();
    all.put("decide", Cores::decideServers);
    all.put("customers", Cores::decideCustomers);
    all.put("membership", Cores::membership);
    all.put("forms", Wires::forms);
    all.put("start", Wires::start);
    all.put("discovery", Wires::discovery);
    all.put("calls", Fleet::counter);
    all.put("counter", Wires::counter);
    all.put("cut", Fleet::cutOff);
    all.put("front", Wires::front);
    all.put("configuration", Wires::configuration);
    return all;
  }

  @Override
  public Integer call() throws InterruptedException {
    if (list) {
      STUDIES.keySet().forEach(out::println);
      return 0;
    }
    check("--servers", servers);
    check("--customers", customers);
    check("--fleets", fleets);
    check("--plans", plans);
    check("--point-ms", pointMs);
    check("--budget", budget);
    for (String name : only) {
      if (!STUDIES.containsKey(name)) {
        throw new ParameterException(
            spec.commandLine(),
            "--only: found '" + name + "', allowed are " + String.join(", ", STUDIES.keySet()));
      }
    }
    Run run =
        new Run(
            new Run.Sizes(servers, customers, fleets, plans),
            Meter.real(pointMs),
            budget,
            System.err::println);
    try {
      if (report != null) {
        Files.createDirectories(report);
      }
      for (Map.Entry<String, Study> study : STUDIES.entrySet()) {
        if (only.isEmpty() || only.contains(study.getKey())) {
          run.begin(study.getKey());
          study.getValue().run(run);
        }
      }
      table(run.slopes());
      if (report != null) {
        write(run.slopes(), report.resolve("slopes.json"));
      }
    } catch (IOException e) {
      System.err.println("benchmark-scaling: " + e.getMessage());
      return 2;
    }
    return run.slopes().stream().allMatch(s -> s.missing().isEmpty()) ? 0 : 1;
  }

  private void check(String option, int... values) {
    if (values.length == 0 || Arrays.stream(values).anyMatch(v -> v < 1 || v > MOST)) {
      throw new ParameterException(
          spec.commandLine(),
          option + ": found " + Arrays.toString(values) + ", allowed is 1 to " + MOST);
    }
  }

  // ---- what is told ----

  private void table(List<Slope> slopes) {
    out.println(
        "| study | quantity | unit | size: median (least to most) | power law: exponent, R2, worst | "
            + "line: a unit of size, worst |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (Slope s : slopes) {
      StringBuilder points = new StringBuilder();
      for (Slope.Point p : s.points()) {
        points
            .append(points.isEmpty() ? "" : "; ")
            .append(String.format(Locale.ROOT, "%.0f: %s", p.size(), number(p.median())));
        if (p.repeats() > 1) {
          points
              .append(" (")
              .append(number(p.least()))
              .append(" to ")
              .append(number(p.most()))
              .append(')');
        }
      }
      out.println(
          "| "
              + s.study()
              + " | "
              + s.quantity()
              + ", by "
              + s.against()
              + " | "
              + s.unit()
              + " | "
              + points
              + " | "
              + power(s.power())
              + " | "
              + line(s.line())
              + " |");
    }
    for (Slope s : slopes) {
      s.missing()
          .forEach(m -> out.println("not measured: " + s.study() + ", " + s.quantity() + ": " + m));
    }
  }

  private static String power(Fit fit) {
    return fit == null
        ? ""
        : String.format(
            Locale.ROOT,
            "%.2f +- %.2f, %.3f, %.0f%%",
            fit.slope(),
            fit.error(),
            fit.r2(),
            100 * fit.worst());
  }

  private static String line(Fit fit) {
    return fit == null
        ? ""
        : number(fit.slope())
            + " +- "
            + number(fit.error())
            + String.format(Locale.ROOT, ", %.0f%%", 100 * fit.worst());
  }

  /** Three digits that count. */
  private static String number(double value) {
    double size = Math.abs(value);
    return size >= 100 || size == 0
        ? String.format(Locale.ROOT, "%.0f", value)
        : size >= 1e-3
            ? String.format(Locale.ROOT, "%.3g", value)
            : String.format(Locale.ROOT, "%.1e", value);
  }

  private static void write(List<Slope> slopes, Path file) throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newOutputStream(file))) {
      json.useDefaultPrettyPrinter();
      json.writeStartArray();
      for (Slope s : slopes) {
        json.writeStartObject();
        json.writeStringField("study", s.study());
        json.writeStringField("quantity", s.quantity());
        json.writeStringField("unit", s.unit());
        json.writeStringField("against", s.against());
        json.writeArrayFieldStart("points");
        for (Slope.Point p : s.points()) {
          json.writeStartObject();
          json.writeNumberField("size", p.size());
          json.writeNumberField("median", p.median());
          json.writeNumberField("least", p.least());
          json.writeNumberField("most", p.most());
          json.writeNumberField("repeats", p.repeats());
          json.writeEndObject();
        }
        json.writeEndArray();
        fit(json, "power", s.power());
        fit(json, "line", s.line());
        json.writeArrayFieldStart("missing");
        for (String m : s.missing()) {
          json.writeString(m);
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      json.writeEndArray();
    }
  }

  private static void fit(JsonGenerator json, String name, Fit fit) throws IOException {
    if (fit != null) {
      json.writeObjectFieldStart(name);
      json.writeNumberField("slope", fit.slope());
      json.writeNumberField("intercept", fit.intercept());
      json.writeNumberField("error", fit.error());
      json.writeNumberField("r2", fit.r2());
      json.writeNumberField("worst", fit.worst());
      json.writeEndObject();
    }
  }
}
