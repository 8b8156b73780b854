package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What a whole fleet sends to cold endpoints: an engine for each node, in virtual time, on one
 * queue of events. From all nodes together a cold endpoint may get N requests in a window of the
 * rules and 2 root N + 2 more by chance.
 */
class SlowStartFleetTest {
  /** Four runs of 100 nodes take a second: all of them stay within half a minute. */
  private static final int SEEDS = 4;

  /** The endpoint that joins is warm by then. */
  private static final double END_MS = 24_000;

  /** Endpoints restart at one time and another joins later, between the pauses. */
  private static final double RESTART_MS = 4000;

  private static final double JOIN_MS = 7000;
  private static final double WARM_UP_MS = 15_000;

  /** More than is asked for: quotas hold nothing back here. */
  private static final QuotaPlan PLAN = new QuotaPlan("big", 100_000, 100_000, 0, 1, 0, 1, 0, 0, 0);

  private record ScheduledEvent(double atMs, long serial, Runnable action) {}

  /**
   * Traffic over time, as a multiple of the mean: a pause, or a trickle, comes before each burst.
   */
  private enum Traffic {
    STEADY(1, 1),
    PAUSES(0, 1.5),
    TRICKLE(0.1, 3),
    BURSTS(0, 3);

    private final double lull;
    private final double burst;

    Traffic(double lull, double burst) {
      this.lull = lull;
      this.burst = burst;
    }

    double load(double timeMs) {
      if (timeMs > 5000 && timeMs < 7500 || timeMs > 10_500 && timeMs < 15_500) {
        return lull;
      }
      return timeMs > 7500 && timeMs < 9500 || timeMs > 15_500 && timeMs < 17_500 ? burst : 1;
    }
  }

  private static final class SimulatedEndpoint {
    double idleFromMs;
    double startedAtMs = Double.NEGATIVE_INFINITY;

    /** When the requests of the current window came, while it warms up. */
    final ArrayDeque<Double> arrivalsMs = new ArrayDeque<>();

    int requestsWhileCold;
  }

  /**
   * A fleet and its load.
   *
   * @param perSecond requests a second at each node
   * @param overloadFactor an endpoint is overloaded by this many times what it can do
   * @param restartShare the part of the endpoints that restarts
   */
  private record FleetSize(
      int nodes, int endpoints, double perSecond, double overloadFactor, double restartShare) {
    /**
     * Requests that an endpoint that restarts and one that joins would get by their capacity, which
     * is 0.6 on the mean.
     */
    double fairRequests() {
      return 2 * 0.6 * perSecond * nodes / endpoints * WARM_UP_MS / 1000;
    }
  }

  /** One run of a fleet. */
  private static final class SimulatedFleet {
    private final PriorityQueue<ScheduledEvent> queue =
        new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::atMs)
                .thenComparingLong(ScheduledEvent::serial));
    private final SimulatedEndpoint[] endpoints;
    private final PolicyEngine[] engines;
    private final Map<Long, Double> counterSums = new HashMap<>();
    private final Random random;
    private final Traffic traffic;
    private final double perSecond;
    private final RuleLimits rules;
    private final double warmRequestsPerMs;
    private final int restarts;
    private final double remainingMs;
    private double nowMs;
    private long serial;
    private double worstRatio;
    private String worstCase = "";

    SimulatedFleet(FleetSize size, double keepAliveMs, Traffic traffic, long seed) {
      perSecond = size.perSecond;
      random = new Random(seed);
      // as in FakeGateway: 0.2 of the capacity at first, warm after 15 s, a window of 2 s
      rules = new RuleLimits(16, 250, 0.2, WARM_UP_MS, size.overloadFactor, 2000);
      this.traffic = traffic;
      restarts = Math.max(1, (int) (size.restartShare * size.endpoints));
      // the mean load uses half of it
      warmRequestsPerMs = 2 * perSecond * size.nodes / size.endpoints / 1000;
      endpoints = new SimulatedEndpoint[size.endpoints];
      Arrays.setAll(endpoints, i -> new SimulatedEndpoint());
      double objectiveMs = 40 / warmRequestsPerMs; // long: a queue at a cold one is no matter here
      remainingMs = 4 * objectiveMs;
      engines = new PolicyEngine[size.nodes];
      for (int i = 0; i < size.nodes; i++) {
        PolicySettings settings = settings(i, size.nodes, objectiveMs, keepAliveMs);
        engines[i] = new PolicyEngine(settings, seed * 1000 + i, 0, new SimulatedNode(i));
      }
    }

    private PolicySettings settings(
        int nodeIndex, int nodeCount, double objectiveMs, double keepAliveMs) {
      RequestClass read =
          new RequestClass(
              "read",
              Idempotency.IDEMPOTENT,
              IdempotencyGroup.CELL,
              objectiveMs,
              4 * objectiveMs,
              1,
              0,
              0,
              false);
      return new PolicySettings(
          nodeIndex,
          nodeCount,
          "a",
          2,
          false,
          false,
          1,
          List.of(),
          List.of(read),
          List.of(PLAN),
          new Capabilities(false, false, false, true, false, true, 3, 2000, 50, keepAliveMs),
          rules,
          new Prices(0.05, 0.01, 0.02, 0, 0.03));
    }

    void at(double timeMs, Runnable action) {
      queue.add(new ScheduledEvent(timeMs, serial++, action));
    }

    /** The shell of the engine at one node. */
    private final class SimulatedNode implements PolicyActions {
      private final int index;
      private final Map<Long, Integer> attempts = new HashMap<>();

      SimulatedNode(int index) {
        this.index = index;
      }

      @Override
      public void send(long id, String endpointId, double untilMs) {
        int number = attempts.merge(id, 1, Integer::sum) - 1;
        double sentAtMs = nowMs;
        SimulatedEndpoint endpoint = endpoints[Integer.parseInt(endpointId.substring(1))];
        at(answerAtMs(endpoint), () -> answer(id, number, nowMs - sentAtMs));
      }

      private void answer(long id, int number, double tookMs) {
        engines[index].attemptEnded(
            nowMs, id, number, new AttemptResult(CallOutcome.OK, tookMs, 0, new double[0]), true);
      }

      @Override
      public void cancel(long id, int attempt) {}

      @Override
      public void reject(long id, double retryAfterMs) {}

      @Override
      public void fail(long id) {}

      @Override
      public void setTimer(double delayMs, long token) {
        // late, as shells are: on the very instant of a quota tick rounding may name it again
        at(nowMs + delayMs + 0.1, () -> engines[index].timerFired(nowMs, token));
      }

      @Override
      public void checkHealth(String endpointId) {}

      @Override
      public void addToCounter(long name, double amount, double keepMs) {
        double total = counterSums.merge(name, amount, Double::sum);
        at(nowMs + 1, () -> engines[index].counterCallEnded(nowMs, name, CallOutcome.OK, 1, total));
      }

      @Override
      public void subscribe() {}
    }

    private double capacityShare(double ageMs) {
      double coldShare = rules.coldCapacityShare();
      return Math.min(1, coldShare + (1 - coldShare) * Math.max(0, ageMs) / rules.warmUpMs());
    }

    /** Counts a request against the bound. When it is answered: one after the other. */
    private double answerAtMs(SimulatedEndpoint endpoint) {
      double ageMs = nowMs - endpoint.startedAtMs;
      if (ageMs < rules.warmUpMs()) {
        endpoint.requestsWhileCold++;
        countInWindow(endpoint, ageMs);
      }
      endpoint.idleFromMs =
          Math.max(nowMs, endpoint.idleFromMs)
              + (0.5 + random.nextDouble()) / warmRequestsPerMs / capacityShare(ageMs);
      return endpoint.idleFromMs;
    }

    private void countInWindow(SimulatedEndpoint endpoint, double ageMs) {
      double windowMs = rules.overloadWindowMs();
      endpoint.arrivalsMs.add(nowMs);
      while (endpoint.arrivalsMs.peek() <= nowMs - windowMs) {
        endpoint.arrivalsMs.poll();
      }
      // a whole window, so that a burst right after the start is held against all of it
      double middleMs = Math.max(0, ageMs - windowMs) + windowMs / 2;
      double bound =
          rules.overloadFactor() * warmRequestsPerMs * windowMs * capacityShare(middleMs);
      int count = endpoint.arrivalsMs.size();
      double ratio = count / (bound + 2 * Math.sqrt(bound) + 2);
      if (ratio > worstRatio) {
        worstRatio = ratio;
        worstCase = String.format(Locale.ROOT, "%d, N %.1f, at %.0f", count, bound, nowMs);
      }
    }

    private void list(int number, EndpointState state) {
      double startedAtMs = Math.max(0, endpoints[number].startedAtMs);
      EndpointInfo info = new EndpointInfo("s" + number, 0, "a", state, "k", startedAtMs, 1);
      for (PolicyEngine engine : engines) {
        engine.endpointsChanged(nowMs, List.of(info), false);
      }
    }

    private void start(int number) {
      endpoints[number].startedAtMs = nowMs;
      list(number, EndpointState.UP);
    }

    private void arrive(int node, long count) {
      double load = traffic.load(nowMs);
      if (load > 0) {
        long id = count * engines.length + node;
        String customer = "c" + count % 3;
        engines[node].requestArrived(
            nowMs,
            new IncomingRequest(
                id, "read", "big", customer, remainingMs, 1, engines.length, 0, false));
      }
      double waitMs =
          load > 0
              ? -Math.log(1 - random.nextDouble()) * 1000 / perSecond / load
              : 20 * random.nextDouble(); // looks again whether the pause is over
      at(nowMs + waitMs, () -> arrive(node, count + 1));
    }

    SimulatedFleet run() {
      for (int i = 0; i < endpoints.length - 1; i++) {
        list(i, EndpointState.UP);
      }
      for (int i = 0; i < engines.length; i++) {
        int node = i;
        at(random.nextDouble() * 1000 / perSecond, () -> arrive(node, 1));
      }
      for (int i = 0; i < restarts; i++) {
        int number = i;
        at(RESTART_MS - 1000, () -> list(number, EndpointState.REMOVED));
        at(RESTART_MS, () -> start(number));
      }
      at(JOIN_MS, () -> start(endpoints.length - 1));
      while (queue.peek().atMs < END_MS) {
        ScheduledEvent due = queue.poll();
        nowMs = due.atMs;
        due.action.run();
      }
      return this;
    }

    /** Requests that the first endpoint that restarted and the one that joined got while cold. */
    int requestsWhileCold() {
      return endpoints[0].requestsWhileCold + endpoints[endpoints.length - 1].requestsWhileCold;
    }
  }

  /**
   * With the factor of the settings, 3, and with 2, which is stricter; one endpoint restarts, or
   * most at one time.
   */
  @ParameterizedTest
  @CsvSource({
    "3, 6, 20, 2, 0",
    "20, 12, 5, 2, 0",
    "30, 12, 2, 2, 0",
    "30, 30, 5, 2, 0",
    "100, 50, 2, 2, 0",
    "3, 6, 20, 3, 0.6",
    "20, 12, 5, 3, 0.6",
    "30, 30, 5, 3, 0.6",
    "100, 50, 2, 3, 0.6"
  })
  void allNodesTogetherKeepAColdEndpointsBound(
      int nodes, int endpoints, double perSecond, double overloadFactor, double restartShare) {
    FleetSize size = new FleetSize(nodes, endpoints, perSecond, overloadFactor, restartShare);
    double worst = 0;
    double leastUsed = 1;
    StringBuilder runs = new StringBuilder();
    for (Traffic traffic : Traffic.values()) {
      for (double keepAliveMs : new double[] {0, 4000}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          SimulatedFleet fleet = new SimulatedFleet(size, keepAliveMs, traffic, seed).run();
          double used = fleet.requestsWhileCold() / size.fairRequests();
          worst = Math.max(worst, fleet.worstRatio);
          if (traffic == Traffic.STEADY && keepAliveMs > 0) { // else idle warm ones do better
            leastUsed = Math.min(leastUsed, used);
          }
          runs.append(
              String.format(
                  Locale.ROOT,
                  "%n  %s, keep-alive %.0f, seed %d: %.2f of the bound (%s), %.2f of the fair part",
                  traffic,
                  keepAliveMs,
                  seed,
                  fleet.worstRatio,
                  fleet.worstCase,
                  used));
        }
      }
    }
    System.out.printf(
        Locale.ROOT, "%s: worst %.2f of the bound, used %.2f%n", size, worst, leastUsed);
    assertTrue(worst <= 1, "a cold endpoint got more than N + 2 root N + 2 in a window: " + runs);
    assertTrue(leastUsed > 0.25, "cold endpoints are used: " + runs);
  }
}
