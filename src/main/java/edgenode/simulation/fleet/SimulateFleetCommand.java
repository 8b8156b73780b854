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

/** The command {@code simulate-fleet}: runs fleets of model nodes and checks their counts. */
@Command(
    name = "simulate-fleet",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Runs the decision and membership code of many edge nodes in virtual time, without sockets, with models of",
      "app servers, counter, discovery and clients; checks counts, bounds and growth. Large fleets are sampled.",
      "The same shape, seed and build give the same digest. Exit code: 0 held, 1 broken, 2 wrong input."
    })
public final class SimulateFleetCommand implements Callable<Integer> {
  private static final int PROGRESS_BAR_WIDTH = 30;

  @Spec private CommandSpec spec;

  @Option(
      names = "--size",
      paramLabel = "D[,D...]",
      split = ",",
      defaultValue = "50",
      description =
          "the fleet of 5,500 nodes and 190,000 servers divided by D, 1 to 1000, a run each; growth is"
              + " checked where there are three or more; default ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--nodes",
      paramLabel = "N",
      description = "edge nodes, 1 to 10,000, in place of those of --size")
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
          "divides the request rate, 1 to 1000, for a shorter run; default ${DEFAULT-VALUE}")
  private double rateDivisor;

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
          "hours of ordinary churn compressed into these seconds, 0 to 24; default ${DEFAULT-VALUE}")
  private double hours;

  @Option(
      names = "--detail",
      paramLabel = "K",
      description =
          "nodes that run; default 110, or with --flat what" + " 400,000 entries of lists allow")
  private Integer modelledNodes;

  @Option(
      names = "--flat",
      description = "one list of all servers for each node, in place of a service's")
  private boolean flat;

  @Option(
      names = "--calm",
      description =
          "no incidents: no failures of racks or zones, no wrong lists, partitions or fleet restart")
  private boolean calm;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "seed of all random draws; default ${DEFAULT-VALUE}",
      defaultValue = "1")
  private long seed;

  @Option(names = "--report", paramLabel = "DIR", description = "writes scale.json there")
  private Path reportFolder;

  private final PrintStream out = System.out;

  @Override
  public Integer call() {
    List<FleetShape> shapes = new ArrayList<>();
    for (int size : sizes) {
      shapes.add(shape(size));
    }
    try {
      if (reportFolder != null) { // fails before the runs, not after them
        Files.createDirectories(reportFolder);
        Files.delete(Files.createTempFile(reportFolder, "scale", ".tmp"));
      }
      return run(shapes);
    } catch (IOException e) {
      System.err.println("simulate-fleet: " + e.getMessage());
      return 2;
    }
  }

  private double requireInRange(String option, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new ParameterException(
          spec.commandLine(),
          option + ": found " + plain(value) + ", allowed is " + plain(min) + " to " + plain(max));
    }
    return value;
  }

  private static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private FleetShape shape(int divisor) {
    requireInRange("--size", divisor, 1, 1000);
    requireInRange("--seconds", seconds, 5, 3600);
    requireInRange("--hours", hours, 0, 24);
    FleetShape target = FleetShape.target(divisor, seconds, flat, seed);
    int nodeCount =
        nodes == null ? target.nodes() : (int) requireInRange("--nodes", nodes, 1, 10_000);
    int serverCount =
        servers == null ? target.servers() : (int) requireInRange("--servers", servers, 1, 500_000);
    int serviceCount =
        services == null
            ? Math.min(target.services(), serverCount)
            : (int) requireInRange("--services", services, 1, serverCount);
    int tenantCount =
        tenants == null
            ? target.tenants()
            : (int) requireInRange("--tenants", tenants, 1, 10_000_000);
    double requestsPerSecond =
        rate == null ? target.requestsPerSecond() : requireInRange("--rate", rate, 0.001, 1e8);
    requestsPerSecond /= requireInRange("--thin", rateDivisor, 1, 1000);
    int nodesToRun =
        modelledNodes == null
            ? FleetShape.defaultModelledNodes(nodeCount, serverCount, flat)
            : (int) requireInRange("--detail", modelledNodes, 1, nodeCount);
    return new FleetShape(
        nodeCount,
        serverCount,
        serviceCount,
        tenantCount,
        requestsPerSecond,
        seconds,
        hours,
        nodesToRun,
        flat,
        !calm,
        seed);
  }

  private int run(List<FleetShape> shapes) throws IOException {
    out.println("assumed, by no run:");
    FleetAssumptions.describe().forEach(line -> out.println("  " + line));
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    boolean isBroken = false;
    for (FleetShape shape : shapes) {
      long startNs = System.nanoTime();
      FleetCounters counters =
          new FleetSimulation(shape, PolicyEngine::new).run(SimulateFleetCommand::progress, true);
      System.err.println();
      FleetVerdicts.Run run =
          new FleetVerdicts.Run(shape, counters, (System.nanoTime() - startNs) / 1e6);
      runs.add(run);
      out.println();
      out.print(FleetReport.text(run));
      isBroken |= printVerdicts(FleetVerdicts.evaluate(run));
    }
    List<FleetVerdicts.Verdict> growth =
        runs.size() < 3 ? List.of() : FleetVerdicts.evaluateGrowth(runs);
    if (!growth.isEmpty()) {
      out.println();
      isBroken |= printVerdicts(growth);
    }
    if (reportFolder != null) {
      FleetReport.write(reportFolder, runs, growth);
      out.println("report " + reportFolder.resolve("scale.json"));
    }
    return isBroken ? 1 : 0;
  }

  private boolean printVerdicts(List<FleetVerdicts.Verdict> verdicts) {
    verdicts.forEach(verdict -> out.println("  " + verdict));
    return verdicts.stream().anyMatch(verdict -> verdict.outcome() == FleetVerdicts.Outcome.BROKEN);
  }

  private static void progress(double share) {
    int full = (int) (PROGRESS_BAR_WIDTH * share);
    System.err.print(
        "\r["
            + "#".repeat(full)
            + " ".repeat(PROGRESS_BAR_WIDTH - full)
            + "] "
            + Math.round(100 * share)
            + "%");
    System.err.flush();
  }
}
