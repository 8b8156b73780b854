package edgenode.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Judges what a run counted: counts, bounds, and how a node's costs grow with the fleet; never how
 * long code took.
 */
public final class FleetVerdicts {
  /**
   * Held, broken, or a cost that is known to grow with the fleet and does: a mechanism is missing.
   */
  public enum Outcome {
    HELD,
    BROKEN,
    GROWS
  }

  /** One judgement with its figures. */
  public record Verdict(String name, Outcome outcome, String figures) {
    @Override
    public String toString() {
      return outcome.name().toLowerCase(Locale.ROOT) + "  " + name + ": " + figures;
    }
  }

  /**
   * Calls to the counter for each request that arrives: a claim, what puts it right and what gives
   * back.
   */
  static final double MAX_COUNTER_CALLS_PER_REQUEST = 1.5;

  /**
   * Bytes for each entry that a change names, with the message around it where it names one only.
   */
  static final double MAX_BYTES_PER_CHANGE = 260;

  /**
   * Whole lists that a node is told for each start, and for each of the three wrong lists and their
   * mends.
   */
  private static final int MAX_LISTS_PER_START = 2;

  private static final int MAX_LISTS_FOR_INCIDENTS = 8;

  /**
   * Share of cold servers that may be sent more than the bound: it is two standard deviations above
   * the mean.
   */
  static final double MAX_WARM_UP_EXCESS_SHARE = 0.05;

  /** Up to this share not served is the customers' quotas and chance. */
  static final double TOLERATED_UNSERVED_SHARE = 0.05;

  /** A cost grows with the fleet where it goes with its size to this power or more. */
  static final double MAX_GROWTH_EXPONENT = 0.15;

  /** One cost of a node in counts. */
  record Cost(String name, boolean growsWithFlatList, ToDoubleFunction<Run> value) {}

  /** A shape and what its run counted. */
  public record Run(FleetShape shape, FleetCounters counters, double tookMs) {}

  /**
   * The costs whose growth is judged; {@code growsFlat} is said of those known to grow with one
   * list for all.
   */
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

  /** Of one run. */
  public static List<Verdict> evaluate(Run run) {
    FleetCounters counters = run.counters();
    FleetShape shape = run.shape();
    List<Verdict> verdicts = new ArrayList<>();
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
    addVerdict(
        verdicts,
        "evidence",
        counters.arrived > 0 && 2 * counters.served >= counters.arrived && counters.changesSent > 0,
        "%d of %d served, %d changes told",
        counters.served,
        counters.arrived,
        counters.changesSent);
    return verdicts;
  }

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
   * How each cost goes with the size, over three runs or more: the power of nodes by least squares.
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

  /** Slope of log cost by log nodes; a cost of nothing counts as a thousandth. */
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
