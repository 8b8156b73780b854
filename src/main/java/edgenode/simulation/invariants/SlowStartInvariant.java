package edgenode.simulation.invariants;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fourth rule, as a budget: within any span of the stated length a warming-up endpoint gets no
 * more than N requests of mean work, N being so many times what its present capacity could do in
 * it, and a few for chance. A request counts whether it was taken or turned away. The rule is
 * broken where what nodes sent once they had been told of the start is more than that by itself,
 * and where all is more and over two thirds of it came from nodes that had been told (the standing
 * test's term). Discovery tells all nodes at one moment, so a send after that is one of a node that
 * was told.
 *
 * <p>The standing test grants 2 x root of N + 2 beyond N; this checker grants {@value #MOST_CHANCE}
 * at most, which is less from N = 1 on: many nodes that each send one more are no chance here
 * either.
 */
public final class SlowStartInvariant implements InvariantChecker {
  /** Requests beyond the budget that chance may bring, at most. */
  private static final int MAX_CHANCE_REQUESTS = 4;

  /** Of a fall, the share that has to come from nodes that had been told. */
  private static final double NOTIFIED_SHARE = 2.0 / 3;

  /**
   * A request that came: how old the server was (ms), by which node, and whether that had been told
   * of the start.
   */
  private record Send(double ageMs, int node, boolean isNotified) {}

  private static final class WarmingUpEndpoint {
    private final Event.Born born;
    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private int sendsOfNotifiedNodes;
    private boolean isNotified;
    private boolean isViolated;

    WarmingUpEndpoint(Event.Born born) {
      this.born = born;
    }

    void add(Send send, double since) {
      sends.add(send);
      sendsOfNotifiedNodes += send.isNotified ? 1 : 0;
      while (sends.peek().ageMs < since) {
        sendsOfNotifiedNodes -= sends.poll().isNotified ? 1 : 0;
      }
    }
  }

  private final InvariantTerms terms;
  private final Map<String, WarmingUpEndpoint> warmingUp = new HashMap<>();
  private final Map<String, Integer> nodeByRequest = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** A checker that has seen nothing yet. */
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
  public void onEvent(Event event) {
    if (event instanceof Event.Asked asked) {
      nodeByRequest.put(asked.id(), asked.node());
    } else if (event instanceof Event.Born born && born.cold()) {
      warmingUp.put(born.server(), new WarmingUpEndpoint(born));
    } else if (event instanceof Event.Died died) {
      warmingUp.remove(died.server());
    } else if (event instanceof Event.Told listChange && listChange.health().equals("active")) {
      WarmingUpEndpoint server = warmingUp.get(listChange.server());
      if (server != null) {
        server.isNotified = true;
      }
    } else if (event instanceof Event.Came arrival) {
      WarmingUpEndpoint server = warmingUp.get(arrival.server());
      if (server != null && !server.isViolated) {
        arrived(server, arrival);
      }
    }
  }

  private void arrived(WarmingUpEndpoint server, Event.Came arrival) {
    double spanMs = terms.rules().overloadWindowMs();
    double ageMs = arrival.at() - server.born.at();
    if (ageMs > server.born.size().warmMs()) {
      warmingUp.remove(arrival.server());
      return;
    }
    server.add(
        new Send(ageMs, nodeByRequest.getOrDefault(arrival.id(), -1), server.isNotified),
        ageMs - spanMs);
    // a span of the whole length, so that a burst right after the start is held against all of it
    double from = Math.max(0, ageMs - spanMs);
    double possibleRequests =
        capacity(server.born, from, from + spanMs) / server.born.size().workMs();
    double maxRequests = granted(terms.rules().overloadFactor() * possibleRequests);
    int all = server.sends.size();
    if (server.sendsOfNotifiedNodes > maxRequests
        || all > maxRequests && server.sendsOfNotifiedNodes > NOTIFIED_SHARE * all) {
      server.isViolated = true;
      violations.add(
          new Violation(
              rule(),
              arrival.at(),
              arrival.id(),
              String.format(
                  Locale.ROOT,
                  "%s got %d requests of %.1f ms within %.0f ms, %.0f ms after its start, %d of them by nodes that had"
                      + " been told of it: %.1f times what it could do, from %d nodes",
                  arrival.server(),
                  all,
                  server.born.size().workMs(),
                  spanMs,
                  ageMs,
                  server.sendsOfNotifiedNodes,
                  all / possibleRequests,
                  server.sends.stream().mapToInt(Send::node).distinct().count())));
    }
  }

  /**
   * Requests within a span that a warming-up endpoint has to bear, where the settings allow it so
   * many.
   */
  static double granted(double allowed) {
    return allowed + Math.min(MAX_CHANCE_REQUESTS, 2 * Math.sqrt(allowed) + 2);
  }

  @Override
  public List<Violation> violations(double at) {
    return List.copyOf(violations);
  }
}
