package edgenode.benchmark;

import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicyEvents;
import edgenode.policy.QuotaPlan;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Decision modules in virtual time before one counter that answers every call after two
 * milliseconds, or none of those of the nodes that are cut off from it. Each customer's requests
 * come as a Poisson process (exponential gaps) and are dealt evenly over its nodes. One seed, one
 * play.
 */
final class Fleet {
  private static final double COUNTER = 2;
  private static final double SERVED = 20;
  private static final double TIMEOUT = 50;
  private static final int SERVERS = 20;

  /**
   * What is played; rates are requests a second, one unit each.
   *
   * @param spread nodes of a customer's set
   * @param asks what a customer asks, requests a second
   * @param quota its plan, a second; the burst is twice that, one unit at least
   * @param cut so many of the nodes, from the first, lose the counter once the warm-up is over
   */
  record Terms(
      int nodes,
      int customers,
      int spread,
      double asks,
      double quota,
      double warmMs,
      double lengthMs,
      int cut) {}

  /**
   * What came of it after the warm-up.
   *
   * @param beyond units sent over units that the quotas held in that time, the burst among them
   */
  record Played(
      long requests,
      long sent,
      long calls,
      double callsEachNode,
      double callsEachRequest,
      double beyond) {}

  private enum Kind {
    ARRIVAL,
    TIMER,
    ENDED,
    COUNTED
  }

  private record Event(double at, long serial, Kind kind, int node, long id, double value) {}

  private final Terms terms;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
  private final Map<Long, Double> sums = new HashMap<>();
  private final PolicyEvents[] modules;
  private final Random random;
  private double now = Instance.START;
  private final double measuredFrom;
  private long serial;
  private long ids;
  private long requests;
  private long sent;
  private long calls;

  private Fleet(Terms terms, long seed) {
    this.terms = terms;
    random = new Random(seed);
    measuredFrom = now + terms.warmMs;
    modules = new PolicyEvents[terms.nodes];
    List<QuotaPlan> plans =
        List.of(new QuotaPlan("rate", terms.quota, burst(terms), 0, 1, 0, 1, 0, 0, 0));
    List<EndpointInfo> list = Instance.servers(SERVERS);
    for (int i = 0; i < terms.nodes; i++) {
      modules[i] =
          new PolicyEngine(
              Instance.settings(i, terms.nodes, true, plans), seed + i, now, new Node(i));
      modules[i].endpointsChanged(now, list, true);
    }
    for (int c = 0; c < terms.customers; c++) {
      arrival(c);
    }
  }

  private static double burst(Terms terms) {
    return Math.max(1, 2 * terms.quota);
  }

  static Played play(Terms terms, long seed) {
    return new Fleet(terms, seed).run();
  }

  private void add(double at, Kind kind, int node, long id, double value) {
    events.add(new Event(at, serial++, kind, node, id, value));
  }

  private void arrival(int customer) {
    add(now - Math.log(1 - random.nextDouble()) * 1000 / terms.asks, Kind.ARRIVAL, 0, customer, 0);
  }

  private Played run() {
    double end = measuredFrom + terms.lengthMs;
    for (Event e = events.poll(); e != null && e.at <= end; e = events.poll()) {
      now = e.at;
      switch (e.kind) {
        case ARRIVAL -> arrived((int) e.id);
        case TIMER -> modules[e.node].timerFired(now, e.id);
        case ENDED ->
            modules[e.node].attemptEnded(
                now, e.id, 0, CallOutcome.OK, SERVED, true, 0, new double[0]);
        default -> counted(e);
      }
    }
    double seconds = terms.lengthMs / 1000;
    return new Played(
        requests,
        sent,
        calls,
        calls / seconds / terms.nodes,
        (double) calls / Math.max(1, requests),
        sent / (terms.customers * (terms.quota * seconds + burst(terms))));
  }

  private void counted(Event e) {
    if (Double.isNaN(e.value)) {
      modules[e.node].counterCallEnded(now, e.id, CallOutcome.TIMEOUT, TIMEOUT, 0);
    } else {
      modules[e.node].counterCallEnded(now, e.id, CallOutcome.OK, COUNTER, e.value);
    }
  }

  private void arrived(int customer) {
    int first = customer % terms.nodes;
    int node = (first + random.nextInt(terms.spread)) % terms.nodes;
    requests += now >= measuredFrom ? 1 : 0;
    arrival(customer);
    modules[node].requestArrived(
        now,
        new IncomingRequest(
            ++ids, "read", "rate", "c" + customer, 2000, 1, terms.spread, first, false));
  }

  private final class Node implements PolicyActions {
    private final int me;

    Node(int me) {
      this.me = me;
    }

    @Override
    public void send(long id, String server, double until) {
      sent += now >= measuredFrom ? 1 : 0;
      add(now + SERVED, Kind.ENDED, me, id, 0);
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void setTimer(double delay, long token) {
      add(now + delay, Kind.TIMER, me, token, 0);
    }

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
      calls += now >= measuredFrom ? 1 : 0;
      if (me < terms.cut && now >= measuredFrom) {
        add(now + TIMEOUT, Kind.COUNTED, me, name, Double.NaN);
      } else {
        add(now + COUNTER, Kind.COUNTED, me, name, sums.merge(name, amount, Double::sum));
      }
    }

    @Override
    public void subscribe() {}
  }

  // ---- slopes ----

  private static final long[] SEEDS = {1, 2, 3};

  /** The target's customer asks so much: 3.2 million requests/s of 1.4 million customers. */
  static final double ASKS = 3.2e6 / 1.4e6;

  private static final double RATE = 10;
  private static final int SPREAD = 8;
  private static final double WARM = 15_000;
  private static final double LENGTH = 10_000;

  /**
   * A number of nodes at a rate each, customers as many as ask that in all, at two thirds of their
   * quotas.
   */
  static Terms fleet(int nodes, double rate, double asks, int spread) {
    return new Terms(
        nodes,
        (int) Math.max(1, Math.round(nodes * rate / asks)),
        Math.min(nodes, spread),
        asks,
        1.5 * asks,
        WARM,
        LENGTH,
        0);
  }

  private interface Of {
    double of(Played played);
  }

  private static Slope.Point each(int size, Terms terms, Of of) {
    return Meter.point(
        size, Arrays.stream(SEEDS).mapToDouble(s -> of.of(play(terms, s))).toArray());
  }

  static void counter(Run run) throws InterruptedException {
    int[] fleets = run.sizes().fleets();
    int few = fleets[0];
    run.slope(
        "calls a request",
        "calls",
        "nodes, " + (int) RATE + "/s each",
        fleets,
        k -> each(k, fleet(k, RATE, ASKS, SPREAD), Played::callsEachRequest));
    run.slope(
        "calls a node and second",
        "1/s",
        "requests/s a node, " + few + " nodes",
        new int[] {10, 80, 582},
        r -> each(r, fleet(few, r, ASKS, SPREAD), Played::callsEachNode));
    run.slope(
        "calls a request",
        "calls",
        "nodes of a customer, " + 10 * few + " nodes",
        new int[] {2, 8, 32, 100},
        s -> each(s, fleet(10 * few, RATE, ASKS, s), Played::callsEachRequest));
    run.slope(
        "calls a request",
        "calls",
        "requests of a customer in 100 s, " + few + " nodes",
        new int[] {23, 229, 2286, 22_860},
        a -> each(a, fleet(few, 4 * RATE, a / 100.0, SPREAD), Played::callsEachRequest));
  }

  /**
   * Customers that ask three times their quota, before a counter that some of their nodes have lost
   * for a minute.
   */
  static Terms cut(int spread, int cut) {
    return new Terms(spread, 20, spread, 30, 10, 20_000, 60_000, cut);
  }

  static void cutOff(Run run) throws InterruptedException {
    int[] spreads = {2, 5, 10, 50, 100};
    run.slope(
        "sent over quota, counter there",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, cut(k, 0), Played::beyond));
    run.slope(
        "sent over quota, counter lost by all",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, cut(k, k), Played::beyond));
    run.slope(
        "sent over quota, counter lost by a fifth of its nodes",
        "parts",
        "nodes of a customer",
        new int[] {5, 10, 50, 100},
        k -> each(k, cut(k, k / 5), Played::beyond));
    run.slope(
        "sent over quota, counter lost by all, one unit in 10 s",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, new Terms(k, 20, k, 0.3, 0.1, 60_000, 60_000, k), Played::beyond));
  }
}
