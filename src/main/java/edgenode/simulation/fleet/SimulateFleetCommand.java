package edgenode.simulation.fleet;

import edgenode.policy.PolicyEngine;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code scale}: a fleet of hollow edge nodes in virtual time, judged by what it counts. */
@Command(
    name = "simulate-fleet",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Runs a fleet of edge nodes without sockets, their own cores on virtual time among thin models of",
      "app servers, counter, discovery and clients, and judges counts, bounds and growth. Large fleets are sampled.",
      "The same shape, seed and build give the same digest. Exit code: 0 held, 1 broken, 2 wrong input."
    })
public final class SimulateFleetCommand implements Callable<Integer> {
  private static final int BAR = 30;

  @Spec private CommandSpec spec;

  @Option(
      names = "--size",
      paramLabel = "D[,D...]",
      split = ",",
      defaultValue = "50",
      description =
          "the fleet of 5,500 nodes and 190,000 servers divided by D, 1 to 1000, a run each; three or more"
              + " are judged by growth too; default ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--nodes",
      paramLabel = "N",
      description = "edge nodes, 1 to 10,000, in place of the size's")
  private Integer nodes;

  @Option(names = "--servers", paramLabel = "N", description = "app servers, 1 to 500,000")
  private Integer servers;

  @Option(
      names = "--services",
      paramLabel = "N",
      description = "services, 1 to the number of servers")
  private Integer services;

  @Option(names = "--tenants", paramLabel = "N", description = "customers, 1 to 10,000,000")
  private Integer tenants;

  @Option(names = "--rate", paramLabel = "R", description = "requests a second of the whole fleet")
  private Double rate;

  @Option(
      names = "--thin",
      paramLabel = "T",
      defaultValue = "1",
      description =
          "divides the rate, 1 to 1000, where a request costs much; default ${DEFAULT-VALUE}")
  private double thin;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      defaultValue = "35",
      description = "virtual seconds of arrivals, 5 to 3600; default ${DEFAULT-VALUE}")
  private int seconds;

  @Option(
      names = "--hours",
      paramLabel = "H",
      defaultValue = "1",
      description =
          "hours of the day's ordinary churn put into these seconds, 0 to 24; default ${DEFAULT-VALUE}")
  private double hours;

  @Option(
      names = "--detail",
      paramLabel = "K",
      description =
          "nodes that are run; default 110, or with --flat what"
              + " 400,000 entries of lists allow")
  private Integer detail;

  @Option(
      names = "--flat",
      description = "one list of all servers for each node, in place of a service's")
  private boolean flat;

  @Option(
      names = "--calm",
      description = "no incidents: no rack, zone, region or list is lost, nothing restarts")
  private boolean calm;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "the draw; default ${DEFAULT-VALUE}",
      defaultValue = "1")
  private long seed;

  @Option(names = "--report", paramLabel = "DIR", description = "writes scale.json there")
  private Path report;

  private final PrintStream out = System.out;

  @Override
  public Integer call() {
    List<Shape> shapes = new ArrayList<>();
    for (int size : sizes) {
      shapes.add(shape(size));
    }
    try {
      if (report != null) { // before anything is run: a run is not thrown away at its end
        Files.createDirectories(report);
        Files.delete(Files.createTempFile(report, "scale", ".tmp"));
      }
      return run(shapes);
    } catch (IOException e) {
      System.err.println("simulate-fleet: " + e.getMessage());
      return 2;
    }
  }

  private double check(String option, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new ParameterException(
          spec.commandLine(),
          option
              + ": found "
              + plain(value)
              + ", allowed is "
              + plain(least)
              + " to "
              + plain(most));
    }
    return value;
  }

  private static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private Shape shape(int size) {
    check("--size", size, 1, 1000);
    check("--seconds", seconds, 5, 3600);
    check("--hours", hours, 0, 24);
    Shape t = Shape.target(size, seconds, flat, seed);
    int n = nodes == null ? t.nodes() : (int) check("--nodes", nodes, 1, 10_000);
    int s = servers == null ? t.servers() : (int) check("--servers", servers, 1, 500_000);
    int of =
        services == null ? Math.min(t.services(), s) : (int) check("--services", services, 1, s);
    int c = tenants == null ? t.tenants() : (int) check("--tenants", tenants, 1, 10_000_000);
    double r = rate == null ? t.rate() : check("--rate", rate, 0.001, 1e8);
    r /= check("--thin", thin, 1, 1000);
    int k = detail == null ? Shape.usualDetail(n, s, flat) : (int) check("--detail", detail, 1, n);
    return new Shape(n, s, of, c, r, seconds, hours, k, flat, !calm, seed);
  }

  private int run(List<Shape> shapes) throws IOException {
    out.println("assumed, by no run:");
    Assumed.lines().forEach(line -> out.println("  " + line));
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    boolean broken = false;
    for (Shape shape : shapes) {
      long from = System.nanoTime();
      Tally tally = new Fleet(shape, PolicyEngine::new).run(SimulateFleetCommand::progress, true);
      System.err.println();
      FleetVerdicts.Run run = new FleetVerdicts.Run(shape, tally, (System.nanoTime() - from) / 1e6);
      runs.add(run);
      out.println();
      out.print(FleetReport.text(run));
      broken |= told(FleetVerdicts.of(run));
    }
    List<FleetVerdicts.Verdict> slopes = runs.size() < 3 ? List.of() : FleetVerdicts.slopes(runs);
    if (!slopes.isEmpty()) {
      out.println();
      broken |= told(slopes);
    }
    if (report != null) {
      FleetReport.write(report, runs, slopes);
      out.println("report " + report.resolve("scale.json"));
    }
    return broken ? 1 : 0;
  }

  private boolean told(List<FleetVerdicts.Verdict> verdicts) {
    verdicts.forEach(v -> out.println("  " + v));
    return verdicts.stream().anyMatch(v -> v.word() == FleetVerdicts.Word.BROKEN);
  }

  private static void progress(double share) {
    int full = (int) (BAR * share);
    System.err.print(
        "\r[" + "#".repeat(full) + " ".repeat(BAR - full) + "] " + Math.round(100 * share) + "%");
    System.err.flush();
  }
}
