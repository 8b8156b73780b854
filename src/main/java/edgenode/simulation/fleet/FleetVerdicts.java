package edgenode.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Checks the counts of runs: invariants, bounds, and how the costs of a node grow with the fleet.
 * Never how long code took.
 */
public final class FleetVerdicts {
  /**
   * {@code GROWS} is a cost that grows with the fleet, and is known to. The lower-case names are in
   * the report.
   */
  public enum Outcome {
    HELD,
    BROKEN,
    GROWS
  }

  /** The outcome of one check, with its figures. */
  public record Verdict(String name, Outcome outcome, String figures) {
    @Override
    public String toString() {
      return outcome.name().toLowerCase(Locale.ROOT) + "  " + name + ": " + figures;
    }
  }

  /** Counter calls for each request: reservations, corrections and releases. */
  static final double MAX_COUNTER_CALLS_PER_REQUEST = 1.5;

  /** Bytes for each changed entry, with the message around it where it is the only one. */
  static final double MAX_BYTES_PER_CHANGE = 260;

  /** Complete lists that a node gets for each start. */
  private static final int MAX_LISTS_PER_START = 2;

  /** Complete lists that a node gets for the wrong lists and their corrections. */
  private static final int MAX_LISTS_FOR_INCIDENTS = 8;

  /** Share of warm-ups that may exceed {@link #warmUpBound}. */
  static final double MAX_WARM_UP_EXCESS_SHARE = 0.05;

  /** Up to this share not served is due to the tenants' quotas and chance. */
  static final double TOLERATED_UNSERVED_SHARE = 0.05;

  /** A cost grows with the fleet where it goes with more than this power of its size. */
  static final double MAX_GROWTH_EXPONENT = 0.15;

  /**
   * A cost of one node, in counts.
   *
   * @param growsWithFlatList whether it is known to grow with one list for all servers
   */
  record Cost(String name, boolean growsWithFlatList, ToDoubleFunction<Run> value) {}

  /** A shape, the counts of its run, and the wall-clock time that the run took. */
  public record Run(FleetShape shape, FleetCounters counters, double tookMs) {}

  /** The costs whose growth is checked. */
  static final List<Cost> COSTS =
      List.of(
          new Cost(
              "counter calls a request",
              false,
              r -> (double) r.counters().counterCalls / r.counters().arrived),
          new Cost(
              "bytes a change told",
              false,
              r -> (double) r.counters().changeBytes / Math.max(1, r.counters().changesDue)),
          new Cost(
              "sends a request", false, r -> (double) r.counters().sends / r.counters().arrived),
          new Cost(
              "requests not served",
              false,
              r ->
                  Math.max(
                      TOLERATED_UNSERVED_SHARE,
                      1 - (double) r.counters().served / r.counters().arrived)),
          new Cost("entries listed", true, r -> r.counters().listEntries),
          new Cost("bytes of a whole list", true, r -> r.counters().listBytes),
          new Cost(
              "changes told a node",
              true,
              r -> (double) r.counters().changesSent / r.shape().modelledNodes()),
          new Cost("servers sent to a node", true, r -> r.counters().usedServers));

  private FleetVerdicts() {}

  /** Verdicts on one run, always the same ones in the same order. */
  public static List<Verdict> evaluate(Run run) {
    List<Verdict> verdicts = new ArrayList<>();
    evaluateRequests(verdicts, run.counters());
    evaluateControl(verdicts, run);
    evaluateWarmUps(verdicts, run.counters());
    evaluateEvidence(verdicts, run.counters());
    return verdicts;
  }

  private static void evaluateRequests(List<Verdict> verdicts, FleetCounters counters) {
    long answers = counters.served + counters.rejected + counters.failed;
    addVerdict(
        verdicts,
        "one final answer a request",
        counters.answeredAgain == 0
            && counters.unanswered == 0
            && counters.arrived == answers + counters.lostWithNode,
        "%d requests, %d answers, %d died with their node; %d unanswered, %d answered again",
        counters.arrived,
        answers,
        counters.lostWithNode,
        counters.unanswered,
        counters.answeredAgain);
    addVerdict(
        verdicts,
        "nothing sent to a server told draining, gone or not at all",
        counters.sendsToDown == 0,
        "%d of %d sends",
        counters.sendsToDown,
        counters.sends);
    addVerdict(
        verdicts,
        "nothing sent for a request that is over",
        counters.sendsAfterEnd == 0,
        "%d of %d sends",
        counters.sendsAfterEnd,
        counters.sends);
  }

  private static void evaluateControl(List<Verdict> verdicts, Run run) {
    FleetCounters counters = run.counters();
    FleetShape shape = run.shape();
    addVerdict(
        verdicts,
        "counter calls a request",
        counters.counterCalls <= MAX_COUNTER_CALLS_PER_REQUEST * counters.arrived,
        "%.3f, at most %.1f",
        (double) counters.counterCalls / Math.max(1, counters.arrived),
        MAX_COUNTER_CALLS_PER_REQUEST);
    addVerdict(
        verdicts,
        "discovery bytes a change",
        counters.changeBytes <= MAX_BYTES_PER_CHANGE * counters.changesDue,
        "%.0f, at most %.0f",
        (double) counters.changeBytes / Math.max(1, counters.changesDue),
        MAX_BYTES_PER_CHANGE);
    long maxLists =
        MAX_LISTS_PER_START * counters.nodeRestarts
            + (shape.hasIncidents() ? MAX_LISTS_FOR_INCIDENTS * shape.modelledNodes() : 0);
    addVerdict(
        verdicts,
        "whole lists",
        counters.completeLists <= maxLists,
        "%d, at most %d",
        counters.completeLists,
        maxLists);
    addVerdict(
        verdicts,
        "views agree with discovery at the end",
        counters.differingEntries == 0,
        "%d entries differ",
        counters.differingEntries);
  }

  private static void evaluateWarmUps(List<Verdict> verdicts, FleetCounters counters) {
    long overBound =
        counters.warmUps.stream().filter(c -> c.sends() > warmUpBound(c.expectedSends())).count();
    addVerdict(
        verdicts,
        "a cold server's sends",
        overBound <= Math.ceil(MAX_WARM_UP_EXCESS_SHARE * counters.warmUps.size()),
        "%d of %d beyond N + 2 sqrt(N) + 2, at most one in %.0f (%d not judged); worst %s",
        overBound,
        counters.warmUps.size(),
        1 / MAX_WARM_UP_EXCESS_SHARE,
        counters.warmUpsNotJudged,
        describeWorst(counters));
  }

  /** A run that serves or changes next to nothing proves nothing. */
  private static void evaluateEvidence(List<Verdict> verdicts, FleetCounters counters) {
    addVerdict(
        verdicts,
        "evidence",
        counters.arrived > 0 && 2 * counters.served >= counters.arrived && counters.changesSent > 0,
        "%d of %d served, %d changes told",
        counters.served,
        counters.arrived,
        counters.changesSent);
  }

  /** Sends that a server may get in its warm-up: two standard deviations above the mean, and 2. */
  static double warmUpBound(double expectedSends) {
    return expectedSends + 2 * Math.sqrt(expectedSends) + 2;
  }

  private static String describeWorst(FleetCounters counters) {
    FleetCounters.WarmUpSample worst = null;
    for (FleetCounters.WarmUpSample sample : counters.warmUps) {
      worst =
          worst == null
                  || sample.sends() / warmUpBound(sample.expectedSends())
                      > worst.sends() / warmUpBound(worst.expectedSends())
              ? sample
              : worst;
    }
    return worst == null
        ? "none"
        : String.format(
            Locale.ROOT,
            "%d sends where N is %.1f (bound %.1f)",
            worst.sends(),
            worst.expectedSends(),
            warmUpBound(worst.expectedSends()));
  }

  /**
   * Verdicts on the growth of each cost with the number of nodes.
   *
   * @param runs three or more, of different size
   */
  public static List<Verdict> evaluateGrowth(List<Run> runs) {
    List<Verdict> verdicts = new ArrayList<>();
    boolean isFlat = runs.get(0).shape().isFlat();
    for (Cost cost : COSTS) {
      double exponent = growthExponent(runs, cost);
      boolean grows = exponent > MAX_GROWTH_EXPONENT;
      boolean isKnown = isFlat && cost.growsWithFlatList;
      StringBuilder figures =
          new StringBuilder(String.format(Locale.ROOT, "size to the %.2f (", exponent));
      for (Run run : runs) {
        figures
            .append(run == runs.get(0) ? "" : ", ")
            .append(
                String.format(
                    Locale.ROOT,
                    "%d x %d: %.3g",
                    run.shape().nodes(),
                    run.shape().servers(),
                    cost.value.applyAsDouble(run)));
      }
      verdicts.add(
          new Verdict(
              "growth of " + cost.name,
              grows ? isKnown ? Outcome.GROWS : Outcome.BROKEN : Outcome.HELD,
              figures + ")"));
    }
    return verdicts;
  }

  /** Slope of log cost over log nodes by least squares; a cost under 0.001 counts as 0.001. */
  static double growthExponent(List<Run> runs, Cost cost) {
    double meanX = 0;
    double meanY = 0;
    for (Run run : runs) {
      meanX += Math.log(run.shape().nodes()) / runs.size();
      meanY += Math.log(Math.max(1e-3, cost.value.applyAsDouble(run))) / runs.size();
    }
    double sumXy = 0;
    double sumXx = 0;
    for (Run run : runs) {
      double deltaX = Math.log(run.shape().nodes()) - meanX;
      sumXy += deltaX * (Math.log(Math.max(1e-3, cost.value.applyAsDouble(run))) - meanY);
      sumXx += deltaX * deltaX;
    }
    return sumXx == 0 ? 0 : sumXy / sumXx;
  }

  private static void addVerdict(
      List<Verdict> verdicts, String name, boolean isHeld, String figures, Object... values) {
    verdicts.add(
        new Verdict(
            name,
            isHeld ? Outcome.HELD : Outcome.BROKEN,
            String.format(Locale.ROOT, figures, values)));
  }
}
