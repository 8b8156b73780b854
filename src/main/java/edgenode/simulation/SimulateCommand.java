package edgenode.simulation;

import edgenode.emulator.CustomerClients;
import edgenode.policy.PolicyEngine;
import edgenode.simulation.invariants.Event;
import edgenode.simulation.invariants.QuotaAudit;
import edgenode.simulation.invariants.Violation;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code simulate}: scenarios in virtual time, with invariant checks. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Plays a day of edge nodes and their world in virtual time, and judges it by the five rules and by",
      "quota arithmetic. The same seed and build give the same day, to the byte.",
      "Exit code: 0 rules kept, 1 broken, 2 wrong input."
    })
public final class SimulateCommand implements Callable<Integer> {
  private static final int MAX_NODES = 64;
  private static final int MAX_SERVERS = 1000;
  private static final int MAX_SEEDS = 1_000_000;

  /** Breaches whose stories are printed; the report has them all. */
  private static final int MAX_PRINTED_TRACES = 3;

  private static final int MAX_TRACE_LINES = 40;
  private static final int BAR_WIDTH = 30;

  @Spec private CommandSpec spec;

  @Parameters(
      index = "0",
      arity = "0..1",
      paramLabel = "SCENARIO",
      description = "one of --list, a file in the same form, or 'all'; default all")
  private String scenario = "all";

  @Option(names = "--list", description = "the scenarios that come with the program, a line each")
  private boolean list;

  @Option(names = "--show", description = "the scenario's own text, for a copy to change")
  private boolean show;

  @Option(
      names = "--seed",
      paramLabel = "N",
      description = "the draw; default ${DEFAULT-VALUE}",
      defaultValue = "1")
  private long seed;

  @Option(
      names = "--seeds",
      paramLabel = "A..B",
      description = "these seeds, on all cores; tells which broke a rule")
  private String seeds;

  @Option(
      names = "--budget",
      paramLabel = "S",
      defaultValue = "600",
      description =
          "with --seeds: begin no further day after so many seconds; default ${DEFAULT-VALUE}")
  private int budget;

  @Option(
      names = "--nodes",
      paramLabel = "K",
      description = "edge nodes, 1 to 64, in place of the scenario's number")
  private Integer nodes;

  @Option(
      names = "--servers",
      paramLabel = "N",
      description = "enrolment servers, 1 to 1000, in the same way")
  private Integer servers;

  @Option(
      names = "--report",
      paramLabel = "DIR",
      description = "writes report.json and report.html there")
  private Path report;

  @Option(
      names = "--shrink",
      description = "where a rule breaks: looks for fewer faults and a shorter day that break it")
  private boolean shrink;

  private final PrintStream out = System.out;

  @Override
  public Integer call() throws InterruptedException {
    if (list) {
      return list();
    }
    try {
      List<Scenario> days = scenarios();
      if (show) {
        return show(days);
      }
      if (report != null) {
        requireWritableReport();
      }
      return seeds == null ? runOneSeed(days) : runSeeds(days);
    } catch (Scenarios.InvalidScenarioException e) {
      e.faults().forEach(line -> System.err.println("simulate: " + line));
      return 2;
    } catch (IOException e) {
      System.err.println("simulate: " + e.getMessage());
      return 2;
    }
  }

  private int list() {
    for (String name : Scenarios.NAMES) {
      try {
        out.printf("%-16s %s%n", name, Scenarios.of(name).title());
      } catch (Scenarios.InvalidScenarioException e) {
        throw new IllegalStateException(e); // they come with the program, and a test reads each
      }
    }
    return 0;
  }

  private int show(List<Scenario> days) throws IOException {
    if (days.size() > 1 || !Scenarios.NAMES.contains(scenario)) {
      throw new ParameterException(spec.commandLine(), "--show: a scenario of --list");
    }
    out.print(Scenarios.text(scenario));
    return 0;
  }

  private void check(String option, int value, int most) {
    if (value < 1 || value > most) {
      throw new ParameterException(
          spec.commandLine(), option + ": found " + value + ", allowed is 1 to " + most);
    }
  }

  private List<Scenario> scenarios() throws Scenarios.InvalidScenarioException {
    List<Scenario> days = new ArrayList<>();
    for (String name : scenario.equals("all") ? Scenarios.NAMES : List.of(scenario)) {
      Scenario day = Scenarios.of(name);
      if (nodes != null) {
        check("--nodes", nodes, MAX_NODES);
        day = day.withNodes(nodes);
      }
      if (servers != null) {
        check("--servers", servers, MAX_SERVERS);
        day = day.withServers(servers);
      }
      List<String> wrong = day.contradictions();
      if (!wrong.isEmpty()) {
        throw new Scenarios.InvalidScenarioException(
            wrong.stream().map(w -> name + ": " + w).toList());
      }
      days.add(day);
    }
    return days;
  }

  /** Before anything is played: a day is not thrown away at its end. */
  private void requireWritableReport() throws IOException {
    try {
      Files.createDirectories(report);
      Files.delete(Files.createTempFile(report, "report", ".tmp"));
    } catch (IOException e) {
      throw new IOException("--report " + report + ": cannot be written to: " + e.getMessage(), e);
    }
  }

  // ---- one seed ----

  private int runOneSeed(List<Scenario> days) throws IOException, InterruptedException {
    int code = 0;
    for (Scenario day : days) {
      ScenarioRun played;
      try (Progress progress =
          new Progress(System.err, day.name() + ", seed " + seed, day.lengthMs(), System::nanoTime)
              .start()) {
        played = ScenarioRun.play(day, seed, PolicyEngine::new, progress);
      }
      summary(played);
      if (report != null) {
        Path dir = days.size() == 1 ? report : report.resolve(day.name());
        Report.write(played, dir);
        out.println("  report      " + dir.resolve("report.html"));
      }
      if (!played.hasNoViolation()) {
        code = 1;
        printTraces(played);
        if (shrink) {
          ScenarioRun least = played.shrink();
          out.printf(
              Locale.ROOT,
              "  shrunk      %.1f s and %d of %d faults still break %s:%n",
              least.scenario().lengthMs() / 1000,
              least.scenario().faults().size(),
              day.faults().size(),
              String.join(", ", least.violatedRules()));
          least
              .scenario()
              .faults()
              .forEach(f -> out.printf(Locale.ROOT, "    %.1f s  %s%n", f.atMs() / 1000, f.text()));
        }
      }
    }
    return code;
  }

  private void summary(ScenarioRun run) {
    int all = run.fates().values().stream().mapToInt(Integer::intValue).sum();
    StringBuilder fates = new StringBuilder();
    for (CustomerClients.Fate fate : CustomerClients.Fate.values()) {
      int count = run.fates().getOrDefault(fate, 0);
      if (count > 0) {
        fates
            .append(fates.length() > 0 ? ", " : "")
            .append(count)
            .append(' ')
            .append(fate.name().toLowerCase(Locale.ROOT).replace('_', ' '));
      }
    }
    out.printf(
        Locale.ROOT,
        "%s, seed %d: %s%n",
        run.scenario().name(),
        run.seed(),
        run.hasNoViolation()
            ? "rules kept"
            : "BROKEN: "
                + String.join(", ", run.violatedRules())
                + " ("
                + run.violations().size()
                + " times)");
    out.printf(Locale.ROOT, "  tries       %d: %s%n", all, fates);
    QuotaAudit.Figures worst = run.worstCustomer();
    if (worst != null) {
      out.printf(
          Locale.ROOT,
          "  quota       worst %s (%s): %.0f units inside, %.0f beyond, %.1f%% of a minute's%n",
          worst.customer(),
          worst.plan(),
          worst.withinQuota(),
          worst.overQuota(),
          100 * worst.maxOverQuotaShare());
    }
    out.printf(
        Locale.ROOT,
        "  day         %.1f s in %.2f s, %d events, sha256 %s%n",
        run.lengthMs() / 1000,
        run.tookMs() / 1000,
        run.events(),
        run.sha256());
  }

  private void printTraces(ScenarioRun run) {
    int told = 0;
    for (Violation b : run.violations()) {
      if (++told > MAX_PRINTED_TRACES) {
        out.println(
            "  ... and "
                + (run.violations().size() - MAX_PRINTED_TRACES)
                + " more; --report has them all");
        return;
      }
      out.printf(Locale.ROOT, "  %.3f s  %s: %s%n", b.at() / 1000, b.rule(), b.what());
      List<Event> story = run.invariants().trace(b);
      story.stream()
          .limit(MAX_TRACE_LINES)
          .forEach(e -> out.printf(Locale.ROOT, "    %9.3f  %s%n", e.at() / 1000, e));
      if (story.size() > MAX_TRACE_LINES) {
        out.println("    ... " + (story.size() - MAX_TRACE_LINES) + " events more");
      }
    }
  }

  // ---- many seeds ----

  private record Played(
      String scenario,
      long seed,
      boolean clean,
      String broken,
      double served,
      long events,
      double lengthMs,
      double tookMs) {}

  private int runSeeds(List<Scenario> scenarios) throws InterruptedException {
    long[] range = range();
    int cores = Runtime.getRuntime().availableProcessors();
    ExecutorService pool =
        Executors.newFixedThreadPool(
            cores,
            task -> {
              Thread thread = new Thread(task, "day");
              thread.setDaemon(true); // Ctrl-C ends all
              return thread;
            });
    CompletionService<Played> done = new ExecutorCompletionService<>(pool);
    long from = System.nanoTime();
    long until = from + TimeUnit.SECONDS.toNanos(budget);
    AtomicLong left = new AtomicLong();
    long total = (range[1] - range[0] + 1) * scenarios.size();
    for (long s = range[0]; s <= range[1]; s++) {
      for (Scenario day : scenarios) {
        long with = s;
        done.submit(
            () -> {
              if (System.nanoTime() > until) {
                left.incrementAndGet();
                return null;
              }
              ScenarioRun run;
              try {
                run = ScenarioRun.play(day, with);
              } catch (RuntimeException | Error e) {
                throw new IllegalStateException(
                    "simulate " + day.name() + " --seed " + with + ": " + e.getMessage(), e);
              }
              return new Played(
                  day.name(),
                  with,
                  run.hasNoViolation(),
                  String.join(", ", run.violatedRules()),
                  run.servedShare(),
                  run.events(),
                  run.lengthMs(),
                  run.tookMs());
            });
      }
    }
    Map<String, List<Double>> served = new TreeMap<>();
    List<Played> broke = new ArrayList<>();
    double days = 0;
    double took = 0;
    long events = 0;
    for (long i = 1; i <= total; i++) {
      Future<Played> next = done.take();
      try {
        Played played = next.get();
        if (played != null) {
          days += played.lengthMs / 1000;
          took += played.tookMs / 1000;
          events += played.events;
          served.computeIfAbsent(played.scenario, n -> new ArrayList<>()).add(played.served);
          if (!played.clean) {
            broke.add(played);
          }
        }
      } catch (ExecutionException e) {
        pool.shutdownNow();
        throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
      }
      progress(i, total, broke.size());
    }
    pool.shutdown();
    double seconds = (System.nanoTime() - from) / 1e9;
    System.err.println();
    served.forEach(
        (name, shares) ->
            out.printf(
                Locale.ROOT,
                "%-16s %d seeds, served %.3f (%.3f to %.3f)%n",
                name,
                shares.size(),
                shares.stream().mapToDouble(d -> d).average().orElse(0),
                shares.stream().mapToDouble(d -> d).min().orElse(0),
                shares.stream().mapToDouble(d -> d).max().orElse(0)));
    broke.forEach(
        p ->
            out.println(
                "broken: simulate " + p.scenario + " --seed " + p.seed + "   # " + p.broken));
    out.printf(
        Locale.ROOT,
        "%d days in %.1f s on %d cores, %.0f an hour; %d broke a rule%s%n",
        total - left.get(),
        seconds,
        cores,
        (total - left.get()) / seconds * 3600,
        broke.size(),
        left.get() > 0 ? "; " + left.get() + " not played, --budget was over" : "");
    if (took > 0) {
      out.printf(
          Locale.ROOT,
          "on each core %.1f times as fast as real time, %.0f events a second%n",
          days / took,
          events / took);
    }
    if (left.get() == total) {
      System.err.println("simulate: no day was played: --budget is too short");
      return 2;
    }
    return broke.isEmpty() ? 0 : 1;
  }

  private long[] range() {
    String[] ends = seeds.split("\\.\\.", -1);
    try {
      long first = Long.parseLong(ends[0]);
      long last = ends.length == 2 ? Long.parseLong(ends[1]) : first - 1;
      if (last >= first && last - first < MAX_SEEDS) {
        return new long[] {first, last};
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new ParameterException(
        spec.commandLine(),
        "--seeds: found '" + seeds + "', allowed is A..B, at most " + MAX_SEEDS + " seeds");
  }

  private static void progress(long done, long total, int broke) {
    int full = (int) (BAR_WIDTH * done / total);
    System.err.print(
        "\r["
            + "#".repeat(full)
            + " ".repeat(BAR_WIDTH - full)
            + "] "
            + done
            + " of "
            + total
            + (broke > 0 ? ", " + broke + " broken" : ""));
    System.err.flush();
  }
}
