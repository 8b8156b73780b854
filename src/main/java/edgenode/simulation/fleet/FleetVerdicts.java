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
  public enum Word {
    HELD,
    BROKEN,
    GROWS
  }

  /** One judgement with its figures. */
  public record Verdict(String name, Word word, String figures) {
    @Override
    public String toString() {
      return word.name().toLowerCase(Locale.ROOT) + "  " + name + ": " + figures;
    }
  }

  /**
   * Calls to the counter for each request that arrives: a claim, what puts it right and what gives
   * back.
   */
  static final double CALLS_A_REQUEST = 1.5;

  /**
   * Bytes for each entry that a change names, with the message around it where it names one only.
   */
  static final double BYTES_A_CHANGE = 260;

  /**
   * Whole lists that a node is told for each start, and for each of the three wrong lists and their
   * mends.
   */
  private static final int LISTS_A_START = 2;

  private static final int LISTS_OF_INCIDENTS = 8;

  /**
   * Share of cold servers that may be sent more than the bound: it is two standard deviations above
   * the mean.
   */
  static final double COLD_BEYOND = 0.05;

  /** Up to this share not served is the customers' quotas and chance. */
  static final double UNSERVED = 0.05;

  /** A cost grows with the fleet where it goes with its size to this power or more. */
  static final double FLAT = 0.15;

  /** One cost of a node in counts. */
  record Cost(String name, boolean growsFlat, ToDoubleFunction<Run> of) {}

  /** A shape and what its run counted. */
  public record Run(Shape shape, Tally tally, double tookMs) {}

  /**
   * The costs whose growth is judged; {@code growsFlat} is said of those known to grow with one
   * list for all.
   */
  static final List<Cost> COSTS =
      List.of(
          new Cost(
              "counter calls a request",
              false,
              r -> (double) r.tally().counterCalls / r.tally().arrived),
          new Cost(
              "bytes a change told",
              false,
              r -> (double) r.tally().changeBytes / Math.max(1, r.tally().changesDue)),
          new Cost("sends a request", false, r -> (double) r.tally().sends / r.tally().arrived),
          new Cost(
              "requests not served",
              false,
              r -> Math.max(UNSERVED, 1 - (double) r.tally().served / r.tally().arrived)),
          new Cost("entries listed", true, r -> r.tally().listEntries),
          new Cost("bytes of a whole list", true, r -> r.tally().listBytes),
          new Cost(
              "changes told a node", true, r -> (double) r.tally().changes / r.shape().detail()),
          new Cost("servers sent to a node", true, r -> r.tally().usedServers));

  private FleetVerdicts() {}

  /** Of one run. */
  public static List<Verdict> of(Run run) {
    Tally t = run.tally();
    Shape shape = run.shape();
    List<Verdict> all = new ArrayList<>();
    long answers = t.served + t.refused + t.failed;
    judge(
        all,
        "one final answer a request",
        t.second == 0 && t.unanswered == 0 && t.arrived == answers + t.lost,
        "%d requests, %d answers, %d died with their node; %d unanswered, %d answered again",
        t.arrived,
        answers,
        t.lost,
        t.unanswered,
        t.second);
    judge(
        all,
        "nothing sent to a server told draining, gone or not at all",
        t.sendsToDown == 0,
        "%d of %d sends",
        t.sendsToDown,
        t.sends);
    judge(
        all,
        "nothing sent for a request that is over",
        t.sendsAfterEnd == 0,
        "%d of %d sends",
        t.sendsAfterEnd,
        t.sends);
    judge(
        all,
        "counter calls a request",
        t.counterCalls <= CALLS_A_REQUEST * t.arrived,
        "%.3f, at most %.1f",
        (double) t.counterCalls / Math.max(1, t.arrived),
        CALLS_A_REQUEST);
    judge(
        all,
        "discovery bytes a change",
        t.changeBytes <= BYTES_A_CHANGE * t.changesDue,
        "%.0f, at most %.0f",
        (double) t.changeBytes / Math.max(1, t.changesDue),
        BYTES_A_CHANGE);
    long lists =
        LISTS_A_START * t.nodeRestarts
            + (shape.incidents() ? LISTS_OF_INCIDENTS * shape.detail() : 0);
    judge(all, "whole lists", t.wholeLists <= lists, "%d, at most %d", t.wholeLists, lists);
    judge(
        all,
        "views agree with discovery at the end",
        t.differing == 0,
        "%d entries differ",
        t.differing);
    long beyond = t.cold.stream().filter(c -> c.sends() > bound(c.part())).count();
    judge(
        all,
        "a cold server's sends",
        beyond <= Math.ceil(COLD_BEYOND * t.cold.size()),
        "%d of %d beyond N + 2 sqrt(N) + 2, at most one in %.0f (%d not judged); worst %s",
        beyond,
        t.cold.size(),
        1 / COLD_BEYOND,
        t.coldUnjudged,
        worst(t));
    judge(
        all,
        "evidence",
        t.arrived > 0 && 2 * t.served >= t.arrived && t.changes > 0,
        "%d of %d served, %d changes told",
        t.served,
        t.arrived,
        t.changes);
    return all;
  }

  static double bound(double part) {
    return part + 2 * Math.sqrt(part) + 2;
  }

  private static String worst(Tally t) {
    Tally.Cold worst = null;
    for (Tally.Cold c : t.cold) {
      worst =
          worst == null || c.sends() / bound(c.part()) > worst.sends() / bound(worst.part())
              ? c
              : worst;
    }
    return worst == null
        ? "none"
        : String.format(
            Locale.ROOT,
            "%d sends where N is %.1f (bound %.1f)",
            worst.sends(),
            worst.part(),
            bound(worst.part()));
  }

  /**
   * How each cost goes with the size, over three runs or more: the power of nodes by least squares.
   */
  public static List<Verdict> slopes(List<Run> runs) {
    List<Verdict> all = new ArrayList<>();
    boolean flat = runs.get(0).shape().flat();
    for (Cost c : COSTS) {
      double power = power(runs, c);
      boolean grows = power > FLAT;
      boolean known = flat && c.growsFlat;
      StringBuilder figures =
          new StringBuilder(String.format(Locale.ROOT, "size to the %.2f (", power));
      for (Run r : runs) {
        figures
            .append(r == runs.get(0) ? "" : ", ")
            .append(
                String.format(
                    Locale.ROOT,
                    "%d x %d: %.3g",
                    r.shape().nodes(),
                    r.shape().servers(),
                    c.of.applyAsDouble(r)));
      }
      all.add(
          new Verdict(
              "growth of " + c.name,
              grows ? known ? Word.GROWS : Word.BROKEN : Word.HELD,
              figures + ")"));
    }
    return all;
  }

  /** Slope of log cost by log nodes; a cost of nothing counts as a thousandth. */
  static double power(List<Run> runs, Cost cost) {
    double mx = 0;
    double my = 0;
    for (Run r : runs) {
      mx += Math.log(r.shape().nodes()) / runs.size();
      my += Math.log(Math.max(1e-3, cost.of.applyAsDouble(r))) / runs.size();
    }
    double xy = 0;
    double xx = 0;
    for (Run r : runs) {
      double dx = Math.log(r.shape().nodes()) - mx;
      xy += dx * (Math.log(Math.max(1e-3, cost.of.applyAsDouble(r))) - my);
      xx += dx * dx;
    }
    return xx == 0 ? 0 : xy / xx;
  }

  private static void judge(
      List<Verdict> all, String name, boolean held, String figures, Object... values) {
    all.add(
        new Verdict(
            name, held ? Word.HELD : Word.BROKEN, String.format(Locale.ROOT, figures, values)));
  }
}
