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
  private static final int MAX_VALUE = 1_000_000;

  /** A part of the whole that can be run alone. */
  private interface Study {
    void run(BenchmarkRun run) throws InterruptedException;
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
  private Path reportFolder;

  private final PrintStream out = System.out;

  private static Map<String, Study> studies() {
    Map<String, Study> studies = new LinkedHashMap<>();
    studies.put("decide", CoreStudies::decideServers);
    studies.put("customers", CoreStudies::decideCustomers);
    studies.put("membership", CoreStudies::membership);
    studies.put("forms", WireStudies::forms);
    studies.put("start", WireStudies::start);
    studies.put("discovery", WireStudies::discovery);
    studies.put("calls", FleetStudies::counter);
    studies.put("counter", WireStudies::counter);
    studies.put("cut", FleetStudies::counterOutages);
    studies.put("front", WireStudies::downstream);
    studies.put("configuration", WireStudies::configuration);
    return studies;
  }

  @Override
  public Integer call() throws InterruptedException {
    if (list) {
      STUDIES.keySet().forEach(out::println);
      return 0;
    }
    requireInRange("--servers", servers);
    requireInRange("--customers", customers);
    requireInRange("--fleets", fleets);
    requireInRange("--plans", plans);
    requireInRange("--point-ms", pointMs);
    requireInRange("--budget", budget);
    for (String name : only) {
      if (!STUDIES.containsKey(name)) {
        throw new ParameterException(
            spec.commandLine(),
            "--only: found '" + name + "', allowed are " + String.join(", ", STUDIES.keySet()));
      }
    }
    BenchmarkRun run =
        new BenchmarkRun(
            new BenchmarkRun.Sizes(servers, customers, fleets, plans),
            CpuMeter.real(pointMs),
            budget,
            System.err::println);
    try {
      if (reportFolder != null) {
        Files.createDirectories(reportFolder);
      }
      for (Map.Entry<String, Study> study : STUDIES.entrySet()) {
        if (only.isEmpty() || only.contains(study.getKey())) {
          run.beginStudy(study.getKey());
          study.getValue().run(run);
        }
      }
      printTable(run.curves());
      if (reportFolder != null) {
        write(run.curves(), reportFolder.resolve("slopes.json"));
      }
    } catch (IOException e) {
      System.err.println("benchmark-scaling: " + e.getMessage());
      return 2;
    }
    return run.curves().stream().allMatch(s -> s.missing().isEmpty()) ? 0 : 1;
  }

  private void requireInRange(String option, int... values) {
    if (values.length == 0 || Arrays.stream(values).anyMatch(v -> v < 1 || v > MAX_VALUE)) {
      throw new ParameterException(
          spec.commandLine(),
          option + ": found " + Arrays.toString(values) + ", allowed is 1 to " + MAX_VALUE);
    }
  }

  // ---- what is told ----

  private void printTable(List<CostCurve> curves) {
    out.println(
        "| study | quantity | unit | size: median (least to most) | power law: exponent, R2, worst | "
            + "line: a unit of size, worst |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (CostCurve curve : curves) {
      StringBuilder points = new StringBuilder();
      for (CostCurve.Measurement point : curve.points()) {
        points
            .append(points.isEmpty() ? "" : "; ")
            .append(String.format(Locale.ROOT, "%.0f: %s", point.size(), number(point.median())));
        if (point.repeats() > 1) {
          points
              .append(" (")
              .append(number(point.min()))
              .append(" to ")
              .append(number(point.max()))
              .append(')');
        }
      }
      out.println(
          "| "
              + curve.study()
              + " | "
              + curve.quantity()
              + ", by "
              + curve.against()
              + " | "
              + curve.unit()
              + " | "
              + points
              + " | "
              + power(curve.power())
              + " | "
              + line(curve.line())
              + " |");
    }
    for (CostCurve curve : curves) {
      curve
          .missing()
          .forEach(
              m ->
                  out.println(
                      "not measured: " + curve.study() + ", " + curve.quantity() + ": " + m));
    }
  }

  private static String power(LeastSquaresFit fit) {
    return fit == null
        ? ""
        : String.format(
            Locale.ROOT,
            "%.2f +- %.2f, %.3f, %.0f%%",
            fit.slope(),
            fit.standardError(),
            fit.rSquared(),
            100 * fit.maxRelativeError());
  }

  private static String line(LeastSquaresFit fit) {
    return fit == null
        ? ""
        : number(fit.slope())
            + " +- "
            + number(fit.standardError())
            + String.format(Locale.ROOT, ", %.0f%%", 100 * fit.maxRelativeError());
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

  private static void write(List<CostCurve> curves, Path file) throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newOutputStream(file))) {
      json.useDefaultPrettyPrinter();
      json.writeStartArray();
      for (CostCurve curve : curves) {
        json.writeStartObject();
        json.writeStringField("study", curve.study());
        json.writeStringField("quantity", curve.quantity());
        json.writeStringField("unit", curve.unit());
        json.writeStringField("against", curve.against());
        json.writeArrayFieldStart("points");
        for (CostCurve.Measurement point : curve.points()) {
          json.writeStartObject();
          json.writeNumberField("size", point.size());
          json.writeNumberField("median", point.median());
          json.writeNumberField("least", point.min());
          json.writeNumberField("most", point.max());
          json.writeNumberField("repeats", point.repeats());
          json.writeEndObject();
        }
        json.writeEndArray();
        writeFit(json, "power", curve.power());
        writeFit(json, "line", curve.line());
        json.writeArrayFieldStart("missing");
        for (String reason : curve.missing()) {
          json.writeString(reason);
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      json.writeEndArray();
    }
  }

  private static void writeFit(JsonGenerator json, String name, LeastSquaresFit fit)
      throws IOException {
    if (fit != null) {
      json.writeObjectFieldStart(name);
      json.writeNumberField("slope", fit.slope());
      json.writeNumberField("intercept", fit.intercept());
      json.writeNumberField("error", fit.standardError());
      json.writeNumberField("r2", fit.rSquared());
      json.writeNumberField("worst", fit.maxRelativeError());
      json.writeEndObject();
    }
  }
}
