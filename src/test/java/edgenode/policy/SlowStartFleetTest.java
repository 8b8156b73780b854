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
 * What a whole fleet sends to cold servers: each node a module of its own, in virtual time, on one
 * queue of events. A cold server bears N requests in a span of the rules and 2 root N + 2 more by
 * chance, from all nodes together.
 */
class SlowStartFleetTest {
  /** A play of 100 nodes takes a quarter of a second: all of them stay within half a minute. */
  private static final int SEEDS = 4;

  /** The server that joins is warm by then. */
  private static final double END = 24_000;

  /** One server comes back at one time and another joins later, between the pauses. */
  private static final double RESTART = 4000;

  private static final double JOIN = 7000;
  private static final double WARM = 15_000;

  /** Quotas are no matter here: far more than is asked. */
  private static final QuotaPlan PLAN = new QuotaPlan("big", 100_000, 100_000, 0, 1, 0, 1, 0, 0, 0);

  private record ScheduledEvent(double at, long serial, Runnable what) {}

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

    double load(double at) {
      return at > 5000 && at < 7500 || at > 10_500 && at < 15_500
          ? lull
          : at > 7500 && at < 9500 || at > 15_500 && at < 17_500 ? burst : 1;
    }
  }

  private static final class SimulatedEndpoint {
    double free;
    double startedAt = Double.NEGATIVE_INFINITY;
    final ArrayDeque<Double> came = new ArrayDeque<>();
    int got;
  }

  /**
   * Requests a second a node; a fall is so many times what a server can; the part of the servers
   * that restarts.
   */
  private record FleetSize(int nodes, int servers, double perNode, double factor, double part) {
    /**
     * What a server that restarts and one that joins would get if it went by their warmth: 0.6 on
     * the mean.
     */
    double fair() {
      return 2 * 0.6 * perNode * nodes / servers * WARM / 1000;
    }
  }

  /** One day of a fleet. */
  private static final class SimulatedFleet {
    private final PriorityQueue<ScheduledEvent> queue =
        new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at)
                .thenComparingLong(ScheduledEvent::serial));
    private final SimulatedEndpoint[] servers;
    private final PolicyEngine[] nodes;
    private final Map<Long, Double> totals = new HashMap<>();
    private final Random random;
    private final Traffic traffic;
    private final double perNode;
    private final RuleLimits rules;
    private final double warmSpeed;
    private final int restarts;
    private final double patience;
    private double now;
    private long serial;
    private double worst;
    private String worstAt = "";

    SimulatedFleet(FleetSize of, double keepAlive, Traffic traffic, long seed) {
      int size = of.nodes;
      int servers = of.servers;
      perNode = of.perNode;
      random = new Random(seed);
      // as the settings and Bench have them: 0.2 of a warm one at first, warm after 15 s, a fall
      // within 2 s
      rules = new RuleLimits(16, 250, 0.2, WARM, of.factor, 2000);
      this.traffic = traffic;
      restarts = Math.max(1, (int) (of.part * servers));
      warmSpeed = 2 * perNode * size / servers / 1000; // half used by the mean load: requests a ms
      this.servers = new SimulatedEndpoint[servers];
      Arrays.setAll(this.servers, i -> new SimulatedEndpoint());
      double aim = 40 / warmSpeed; // waiting behind a cold one is no matter here either
      RequestClass read =
          new RequestClass(
              "read", Idempotency.IDEMPOTENT, IdempotencyGroup.CELL, aim, 4 * aim, 1, 0, 0, false);
      patience = 4 * aim;
      nodes = new PolicyEngine[size];
      for (int i = 0; i < size; i++) {
        nodes[i] =
            new PolicyEngine(
                new PolicySettings(
                    i,
                    size,
                    "a",
                    2,
                    false,
                    false,
                    1,
                    List.of(),
                    List.of(read),
                    List.of(PLAN),
                    new Capabilities(
                        false, false, false, true, false, true, 3, 2000, 50, keepAlive),
                    rules,
                    new Prices(0.05, 0.01, 0.02, 0, 0.03)),
                seed * 1000 + i,
                0,
                new SimulatedNode(i));
      }
    }

    void at(double time, Runnable what) {
      queue.add(new ScheduledEvent(time, serial++, what));
    }

    /** The module's host at one node. */
    private final class SimulatedNode implements PolicyActions {
      private final int me;
      private final Map<Long, Integer> attempts = new HashMap<>();

      SimulatedNode(int me) {
        this.me = me;
      }

      @Override
      public void send(long id, String name, double until) {
        int number = attempts.merge(id, 1, Integer::sum) - 1;
        double sent = now;
        at(
            came(servers[Integer.parseInt(name.substring(1))]),
            () ->
                nodes[me].attemptEnded(
                    now, id, number, CallOutcome.OK, now - sent, true, 0, new double[0]));
      }

      @Override
      public void cancel(long id, int attempt) {}

      @Override
      public void reject(long id, double retryAfter) {}

      @Override
      public void fail(long id) {}

      @Override
      public void setTimer(double delay, long token) {
        // late, as hosts are: on the very instant of an edge rounding may name that edge again, for
        // ever
        at(now + delay + 0.1, () -> nodes[me].timerFired(now, token));
      }

      @Override
      public void checkHealth(String server) {}

      @Override
      public void addToCounter(long name, double amount, double keepFor) {
        double total = totals.merge(name, amount, Double::sum);
        at(now + 1, () -> nodes[me].counterCallEnded(now, name, CallOutcome.OK, 1, total));
      }

      @Override
      public void subscribe() {}
    }

    private double share(double age) {
      return Math.min(
          1,
          rules.coldCapacityShare()
              + (1 - rules.coldCapacityShare()) * Math.max(0, age) / rules.warmUpMs());
    }

    /** Counts a request against the term; tells when its answer is ready: one after the other. */
    private double came(SimulatedEndpoint s) {
      double age = now - s.startedAt;
      if (age < rules.warmUpMs()) {
        s.got++;
        s.came.add(now);
        while (s.came.peek() <= now - rules.overloadWindowMs()) {
          s.came.poll();
        }
        // a whole span, so that a burst right after the start is held against all of it
        double middle = Math.max(0, age - rules.overloadWindowMs()) + rules.overloadWindowMs() / 2;
        double n = rules.overloadFactor() * warmSpeed * rules.overloadWindowMs() * share(middle);
        double ratio = s.came.size() / (n + 2 * Math.sqrt(n) + 2);
        if (ratio > worst) {
          worst = ratio;
          worstAt = String.format(Locale.ROOT, "%d, N %.1f, at %.0f", s.came.size(), n, now);
        }
      }
      s.free = Math.max(now, s.free) + (0.5 + random.nextDouble()) / warmSpeed / share(age);
      return s.free;
    }

    private void tell(int server, EndpointState state) {
      EndpointInfo told =
          new EndpointInfo(
              "s" + server, 0, "a", state, "k", Math.max(0, servers[server].startedAt), 1);
      for (PolicyEngine node : nodes) {
        node.endpointsChanged(now, List.of(told), false);
      }
    }

    private void start(int server) {
      servers[server].startedAt = now;
      tell(server, EndpointState.UP);
    }

    private void arrive(int node, long count) {
      double load = traffic.load(now);
      if (load > 0) {
        nodes[node].requestArrived(
            now,
            new IncomingRequest(
                count * nodes.length + node,
                "read",
                "big",
                "c" + count % 3,
                patience,
                1,
                nodes.length,
                0,
                false));
      }
      double wait =
          load > 0
              ? -Math.log(1 - random.nextDouble()) * 1000 / perNode / load
              : 20 * random.nextDouble(); // looks again whether the pause is over
      at(now + wait, () -> arrive(node, count + 1));
    }

    SimulatedFleet play() {
      for (int i = 0; i < servers.length - 1; i++) {
        tell(i, EndpointState.UP);
      }
      for (int i = 0; i < nodes.length; i++) {
        int node = i;
        at(random.nextDouble() * 1000 / perNode, () -> arrive(node, 1));
      }
      for (int i = 0; i < restarts; i++) {
        int server = i;
        at(RESTART - 1000, () -> tell(server, EndpointState.REMOVED));
        at(RESTART, () -> start(server));
      }
      at(JOIN, () -> start(servers.length - 1));
      while (queue.peek().at < END) {
        ScheduledEvent due = queue.poll();
        now = due.at;
        due.what.run();
      }
      return this;
    }

    int used() {
      return servers[0].got + servers[servers.length - 1].got;
    }
  }

  /**
   * With the factor of the settings, 3, and with 2, which is stricter; one server restarts, or most
   * at one time.
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
  void allNodesTogetherKeepAColdServersTerm(
      int nodes, int servers, double perNode, double factor, double part) {
    FleetSize size = new FleetSize(nodes, servers, perNode, factor, part);
    double worst = 0;
    double leastUsed = 1;
    StringBuilder days = new StringBuilder();
    for (Traffic traffic : Traffic.values()) {
      for (double keepAlive : new double[] {0, 4000}) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          SimulatedFleet day = new SimulatedFleet(size, keepAlive, traffic, seed).play();
          double used = day.used() / size.fair();
          worst = Math.max(worst, day.worst);
          if (traffic == Traffic.STEADY
              && keepAlive > 0) { // else others that are idle as well do better
            leastUsed = Math.min(leastUsed, used);
          }
          days.append(
              String.format(
                  Locale.ROOT,
                  "%n  %s, kept %.0f, seed %d: %.2f of the term (%s), %.2f of"
                      + " the fair part used",
                  traffic,
                  keepAlive,
                  seed,
                  day.worst,
                  day.worstAt,
                  used));
        }
      }
    }
    System.out.printf(
        Locale.ROOT, "%s: worst %.2f of the term, used %.2f%n", size, worst, leastUsed);
    assertTrue(worst <= 1, "a cold server got more than N + 2 root N + 2 within a span: " + days);
    assertTrue(leastUsed > 0.25, "cold servers are of use: " + days);
  }
}
