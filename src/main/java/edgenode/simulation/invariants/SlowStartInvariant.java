package edgenode.simulation.invariants;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fourth rule, as a budget: within any span of the stated length a cold server gets no more
 * than N requests of mean work, N being so many times what its present capacity could do in it, and
 * a few for chance. A request counts whether it was taken or turned away. The rule is broken where
 * what nodes sent once they had been told of the start is more than that by itself, and where all
 * is more and over two thirds of it came from nodes that had been told (the standing test's term).
 * Discovery tells all nodes at one moment, so a send after that is one of a node that was told.
 *
 * <p>The standing test grants 2 x root of N + 2 beyond N; this judge grants {@value #MOST_CHANCE}
 * at most, which is less from N = 1 on: many nodes that each send one more are no chance here
 * either.
 */
public final class SlowStartInvariant implements InvariantChecker {
  /** Requests beyond the budget that chance may bring, at most. */
  private static final int MOST_CHANCE = 4;

  /** Of a fall, the share that has to come from nodes that had been told. */
  private static final double TOLD_SHARE = 2.0 / 3;

  /**
   * A request that came: how old the server was (ms), by which node, and whether that had been told
   * of the start.
   */
  private record Send(double age, int node, boolean told) {}

  private static final class Cold {
    private final Event.Born born;
    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private int toldSends;
    private boolean told;
    private boolean broken;

    Cold(Event.Born born) {
      this.born = born;
    }

    void add(Send send, double since) {
      sends.add(send);
      toldSends += send.told ? 1 : 0;
      while (sends.peek().age < since) {
        toldSends -= sends.poll().told ? 1 : 0;
      }
    }
  }

  private final InvariantTerms terms;
  private final Map<String, Cold> cold = new HashMap<>();
  private final Map<String, Integer> askedOf = new HashMap<>();
  private final List<Violation> breaches = new ArrayList<>();

  public SlowStartInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "no-cold-server-pushed-over";
  }

  /**
   * Work (ms of one core) that the server can do between two ages (ms); its speed grows evenly
   * until it is warm.
   */
  static double capacity(Event.Born born, double from, double to) {
    double warm = born.size().warmMs();
    double share = born.size().coldShare();
    double cores = born.size().cores();
    double rising = Math.max(0, Math.min(to, warm) - Math.min(from, warm));
    double mid = (Math.min(from, warm) + Math.min(to, warm)) / 2;
    double speed = warm > 0 ? share + (1 - share) * mid / warm : 1;
    return cores * (rising * speed + (to - from - rising));
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Asked asked) {
      askedOf.put(asked.id(), asked.node());
    } else if (event instanceof Event.Born born && born.cold()) {
      cold.put(born.server(), new Cold(born));
    } else if (event instanceof Event.Died died) {
      cold.remove(died.server());
    } else if (event instanceof Event.Told told && told.health().equals("active")) {
      Cold server = cold.get(told.server());
      if (server != null) {
        server.told = true;
      }
    } else if (event instanceof Event.Came came) {
      Cold server = cold.get(came.server());
      if (server != null && !server.broken) {
        came(server, came);
      }
    }
  }

  private void came(Cold server, Event.Came came) {
    double span = terms.rules().overloadWindowMs();
    double age = came.at() - server.born.at();
    if (age > server.born.size().warmMs()) {
      cold.remove(came.server());
      return;
    }
    server.add(new Send(age, askedOf.getOrDefault(came.id(), -1), server.told), age - span);
    // a span of the whole length, so that a burst right after the start is held against all of it
    double from = Math.max(0, age - span);
    double can = capacity(server.born, from, from + span) / server.born.size().workMs();
    double most = granted(terms.rules().overloadFactor() * can);
    int all = server.sends.size();
    if (server.toldSends > most || all > most && server.toldSends > TOLD_SHARE * all) {
      server.broken = true;
      breaches.add(
          new Violation(
              rule(),
              came.at(),
              came.id(),
              String.format(
                  Locale.ROOT,
                  "%s got %d requests of %.1f ms within %.0f ms, %.0f ms after its start, %d of them by nodes that had"
                      + " been told of it: %.1f times what it could do, from %d nodes",
                  came.server(),
                  all,
                  server.born.size().workMs(),
                  span,
                  age,
                  server.toldSends,
                  all / can,
                  server.sends.stream().mapToInt(Send::node).distinct().count())));
    }
  }

  /** Requests within a span that a cold server has to bear, where the settings allow it so many. */
  static double granted(double allowed) {
    return allowed + Math.min(MOST_CHANCE, 2 * Math.sqrt(allowed) + 2);
  }

  @Override
  public List<Violation> verdict(double at) {
    return List.copyOf(breaches);
  }
}
