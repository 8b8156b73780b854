package edgenode.benchmark;

import edgenode.policy.AttemptResult;
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
final class FleetStudies {
  private static final double COUNTER_LATENCY_MS = 2;
  private static final double SERVICE_TIME_MS = 20;
  private static final double COUNTER_TIMEOUT_MS = 50;
  private static final int SERVER_COUNT = 20;

  /**
   * What is played; rates are requests a second, one unit each.
   *
   * @param spread nodes of a customer's set
   * @param customerRate what a customer asks, requests a second
   * @param quotaRate its plan, a second; the burst is twice that, one unit at least
   * @param nodesWithoutCounter so many of the nodes, from the first, lose the counter once the
   *     warm-up is over
   */
  record Scenario(
      int nodes,
      int customers,
      int spread,
      double customerRate,
      double quotaRate,
      double warmUpMs,
      double lengthMs,
      int nodesWithoutCounter) {}

  /**
   * What came of it after the warm-up.
   *
   * @param overQuotaShare units sent over units that the quotas held in that time, the burst among
   *     them
   */
  record Result(
      long requests,
      long sent,
      long calls,
      double callsPerNodeSecond,
      double callsPerRequest,
      double overQuotaShare) {}

  private enum Kind {
    ARRIVAL,
    TIMER,
    ENDED,
    COUNTED
  }

  private record Event(double dueMs, long serial, Kind kind, int node, long id, double value) {}

  private final Scenario terms;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.dueMs != b.dueMs
                  ? Double.compare(a.dueMs, b.dueMs)
                  : Long.compare(a.serial, b.serial));
  private final Map<Long, Double> totals = new HashMap<>();
  private final PolicyEvents[] policies;
  private final Random random;
  private double nowMs = PolicyHarness.START_MS;
  private final double measuredFromMs;
  private long serial;
  private long lastRequestId;
  private long requests;
  private long sent;
  private long calls;

  private FleetStudies(Scenario terms, long seed) {
    this.terms = terms;
    random = new Random(seed);
    measuredFromMs = nowMs + terms.warmUpMs;
    policies = new PolicyEvents[terms.nodes];
    List<QuotaPlan> plans =
        List.of(new QuotaPlan("rate", terms.quotaRate, burst(terms), 0, 1, 0, 1, 0, 0, 0));
    List<EndpointInfo> endpoints = PolicyHarness.endpointsChanged(SERVER_COUNT);
    for (int i = 0; i < terms.nodes; i++) {
      policies[i] =
          new PolicyEngine(
              PolicyHarness.settings(i, terms.nodes, true, plans),
              seed + i,
              nowMs,
              new NodeActions(i));
      policies[i].endpointsChanged(nowMs, endpoints, true);
    }
    for (int customer = 0; customer < terms.customers; customer++) {
      scheduleArrival(customer);
    }
  }

  private static double burst(Scenario terms) {
    return Math.max(1, 2 * terms.quotaRate);
  }

  static Result play(Scenario terms, long seed) {
    return new FleetStudies(terms, seed).run();
  }

  private void schedule(double dueMs, Kind kind, int node, long id, double value) {
    events.add(new Event(dueMs, serial++, kind, node, id, value));
  }

  private void scheduleArrival(int customer) {
    schedule(
        nowMs - Math.log(1 - random.nextDouble()) * 1000 / terms.customerRate,
        Kind.ARRIVAL,
        0,
        customer,
        0);
  }

  private Result run() {
    double endMs = measuredFromMs + terms.lengthMs;
    for (Event event = events.poll();
        event != null && event.dueMs <= endMs;
        event = events.poll()) {
      nowMs = event.dueMs;
      switch (event.kind) {
        case ARRIVAL -> requestArrived((int) event.id);
        case TIMER -> policies[event.node].timerFired(nowMs, event.id);
        case ENDED ->
            policies[event.node].attemptEnded(
                nowMs,
                event.id,
                0,
                new AttemptResult(CallOutcome.OK, SERVICE_TIME_MS, 0, new double[0]),
                true);
        default -> counterCallEnded(event);
      }
    }
    double seconds = terms.lengthMs / 1000;
    return new Result(
        requests,
        sent,
        calls,
        calls / seconds / terms.nodes,
        (double) calls / Math.max(1, requests),
        sent / (terms.customers * (terms.quotaRate * seconds + burst(terms))));
  }

  private void counterCallEnded(Event event) {
    if (Double.isNaN(event.value)) {
      policies[event.node].counterCallEnded(
          nowMs, event.id, CallOutcome.TIMEOUT, COUNTER_TIMEOUT_MS, 0);
    } else {
      policies[event.node].counterCallEnded(
          nowMs, event.id, CallOutcome.OK, COUNTER_LATENCY_MS, event.value);
    }
  }

  private void requestArrived(int customer) {
    int first = customer % terms.nodes;
    int node = (first + random.nextInt(terms.spread)) % terms.nodes;
    requests += nowMs >= measuredFromMs ? 1 : 0;
    scheduleArrival(customer);
    policies[node].requestArrived(
        nowMs,
        new IncomingRequest(
            ++lastRequestId, "read", "rate", "c" + customer, 2000, 1, terms.spread, first, false));
  }

  private final class NodeActions implements PolicyActions {
    private final int nodeIndex;

    NodeActions(int nodeIndex) {
      this.nodeIndex = nodeIndex;
    }

    @Override
    public void send(long id, String server, double until) {
      sent += nowMs >= measuredFromMs ? 1 : 0;
      schedule(nowMs + SERVICE_TIME_MS, Kind.ENDED, nodeIndex, id, 0);
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void setTimer(double delay, long token) {
      schedule(nowMs + delay, Kind.TIMER, nodeIndex, token, 0);
    }

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
      calls += nowMs >= measuredFromMs ? 1 : 0;
      if (nodeIndex < terms.nodesWithoutCounter && nowMs >= measuredFromMs) {
        schedule(nowMs + COUNTER_TIMEOUT_MS, Kind.COUNTED, nodeIndex, name, Double.NaN);
      } else {
        schedule(
            nowMs + COUNTER_LATENCY_MS,
            Kind.COUNTED,
            nodeIndex,
            name,
            totals.merge(name, amount, Double::sum));
      }
    }

    @Override
    public void subscribe() {}
  }

  // ---- slopes ----

  private static final long[] SEEDS = {1, 2, 3};

  /** The target's customer asks so much: 3.2 million requests/s of 1.4 million customers. */
  static final double TARGET_CUSTOMER_RATE = 3.2e6 / 1.4e6;

  private static final double NODE_RATE = 10;
  private static final int SPREAD = 8;
  private static final double WARM_UP_MS = 15_000;
  private static final double LENGTH_MS = 10_000;

  /**
   * A number of nodes at a rate each, customers as many as ask that in all, at two thirds of their
   * quotas.
   */
  static Scenario fleet(int nodes, double rate, double customerRate, int spread) {
    return new Scenario(
        nodes,
        (int) Math.max(1, Math.round(nodes * rate / customerRate)),
        Math.min(nodes, spread),
        customerRate,
        1.5 * customerRate,
        WARM_UP_MS,
        LENGTH_MS,
        0);
  }

  private interface ResultValue {
    double valueOf(Result played);
  }

  private static CostCurve.Measurement each(int size, Scenario terms, ResultValue value) {
    return CpuMeter.point(
        size, Arrays.stream(SEEDS).mapToDouble(s -> value.valueOf(play(terms, s))).toArray());
  }

  static void counter(BenchmarkRun run) throws InterruptedException {
    int[] fleets = run.sizes().fleets();
    int fewNodes = fleets[0];
    run.measure(
        "calls a request",
        "calls",
        "nodes, " + (int) NODE_RATE + "/s each",
        fleets,
        k -> each(k, fleet(k, NODE_RATE, TARGET_CUSTOMER_RATE, SPREAD), Result::callsPerRequest));
    run.measure(
        "calls a node and second",
        "1/s",
        "requests/s a node, " + fewNodes + " nodes",
        new int[] {10, 80, 582},
        r -> each(r, fleet(fewNodes, r, TARGET_CUSTOMER_RATE, SPREAD), Result::callsPerNodeSecond));
    run.measure(
        "calls a request",
        "calls",
        "nodes of a customer, " + 10 * fewNodes + " nodes",
        new int[] {2, 8, 32, 100},
        s ->
            each(
                s,
                fleet(10 * fewNodes, NODE_RATE, TARGET_CUSTOMER_RATE, s),
                Result::callsPerRequest));
    run.measure(
        "calls a request",
        "calls",
        "requests of a customer in 100 s, " + fewNodes + " nodes",
        new int[] {23, 229, 2286, 22_860},
        a -> each(a, fleet(fewNodes, 4 * NODE_RATE, a / 100.0, SPREAD), Result::callsPerRequest));
  }

  /**
   * Customers that ask three times their quota, before a counter that some of their nodes have lost
   * for a minute.
   */
  static Scenario outage(int spread, int nodesWithoutCounter) {
    return new Scenario(spread, 20, spread, 30, 10, 20_000, 60_000, nodesWithoutCounter);
  }

  static void counterOutages(BenchmarkRun run) throws InterruptedException {
    int[] spreads = {2, 5, 10, 50, 100};
    run.measure(
        "sent over quota, counter there",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, outage(k, 0), Result::overQuotaShare));
    run.measure(
        "sent over quota, counter lost by all",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, outage(k, k), Result::overQuotaShare));
    run.measure(
        "sent over quota, counter lost by a fifth of its nodes",
        "parts",
        "nodes of a customer",
        new int[] {5, 10, 50, 100},
        k -> each(k, outage(k, k / 5), Result::overQuotaShare));
    run.measure(
        "sent over quota, counter lost by all, one unit in 10 s",
        "parts",
        "nodes of a customer",
        spreads,
        k -> each(k, new Scenario(k, 20, k, 0.3, 0.1, 60_000, 60_000, k), Result::overQuotaShare));
  }
}
