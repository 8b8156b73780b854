package edgenode.benchmark;

import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.Capabilities;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicySettings;
import edgenode.policy.Prices;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The decision module's cost of a request, of a change and of a server, by the length of the list,
 * at one node of 5,500 (or of the number given): CPU time of the thread, median of 9 rounds. A
 * request arrives, is sent, and ends in time, 16 of them out at once; a change takes one server
 * out, or in. Run from the repository's root: {@code java -Xmx1500m -cp
 * target/test-classes:target/classes edgenode.benchmark.SubsetCost [NODES]}.
 */
final class SubsetCost {
  private static final int ROUNDS = 9;
  private static int sends;

  private SubsetCost() {}

  private static final class Host implements PolicyActions {
    @Override
    public void send(long id, String server, double until) {
      sends++;
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void setTimer(double delay, long token) {}

    @Override
    public void checkHealth(String server) {}

    @Override
    public void addToCounter(long name, double amount, double keepFor) {}

    @Override
    public void subscribe() {}
  }

  private static EndpointInfo server(int i, EndpointState state) {
    return new EndpointInfo(
        "s-" + Integer.toHexString(i), i / 40, i / 40 % 3 == 0 ? "a" : "b", state, "m", 0, 1);
  }

  private static double cpu() {
    return ManagementFactory.getThreadMXBean().isCurrentThreadCpuTimeSupported()
        ? ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1000.0
        : System.nanoTime() / 1000.0;
  }

  private static long heap() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static double median(List<Double> of) {
    of.sort(null);
    return of.get(of.size() / 2);
  }

  public static void main(String[] args) {
    int nodes = args.length > 0 ? Integer.parseInt(args[0]) : 5500;
    System.out.println(
        "servers | us a request | us a change | us an idle edge | ms a whole list | bytes a server");
    for (int n : new int[] {40, 400, 4000, 40_000, 190_000}) {
      measure(nodes, n);
    }
  }

  private static void measure(int nodes, int n) {
    PolicySettings settings =
        new PolicySettings(
            3,
            nodes,
            "a",
            2,
            false,
            false,
            1,
            List.of(),
            List.of(
                new RequestClass(
                    "read",
                    Idempotency.IDEMPOTENT,
                    IdempotencyGroup.CELL,
                    600,
                    2000,
                    1,
                    0,
                    0,
                    false),
                new RequestClass(
                    "cell",
                    Idempotency.KEYED,
                    IdempotencyGroup.CELL,
                    600,
                    2000,
                    1,
                    0,
                    5000,
                    false)),
            List.of(new QuotaPlan("big", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0)),
            new Capabilities(true, true, true, true, false, false, 5, 2000, 50, 15_000),
            new RuleLimits(16, 250, 0.2, 15_000, 2, 2000),
            new Prices(0.05, 0.01, 0.02, 0, 0.03));
    List<EndpointInfo> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      all.add(server(i, EndpointState.UP));
    }
    long before = heap();
    PolicyEngine module = new PolicyEngine(settings, 1, 0, new Host());
    double whole = cpu();
    module.endpointsChanged(0, all, true);
    whole = cpu() - whole;
    double bytes = (heap() - before) / (double) n;
    double now = 1;
    long id = 0;
    List<Double> request = new ArrayList<>();
    List<Double> change = new ArrayList<>();
    List<Double> edge = new ArrayList<>();
    int turns = Math.max(8, Math.min(2000, 400_000 / n));
    for (int r = 0; r < ROUNDS; r++) {
      double t0 = cpu();
      for (int i = 0; i < turns; i++, id++) {
        now += 0.01; // no edge in between
        module.requestArrived(
            now, new IncomingRequest(id, "read", "big", "c", 2000, 1, 1, 0, false));
        if (id >= 16) {
          module.attemptEnded(
              now, id - 16, 0, new AttemptResult(CallOutcome.OK, 20, 0, new double[0]), true);
        }
      }
      double t1 = cpu();
      for (int i = 0; i < turns; i++) {
        int of = (i / 2 * 7919 + r) % n;
        module.endpointsChanged(
            now, List.of(server(of, i % 2 == 0 ? EndpointState.REMOVED : EndpointState.UP)), false);
      }
      double t2 = cpu();
      for (int i = 0; i < 8; i++) {
        now += 250;
        module.timerFired(now, 0);
      }
      double t3 = cpu();
      request.add((t1 - t0) / turns);
      change.add((t2 - t1) / turns);
      edge.add((t3 - t2) / 8);
    }
    System.out.printf(
        Locale.ROOT,
        "%d | %.1f | %.1f | %.1f | %.1f | %.0f | (%d sends)%n",
        n,
        median(request),
        median(change),
        median(edge),
        whole / 1000,
        bytes,
        sends);
    if (module.ejectedCount(now) < 0) {
      throw new IllegalStateException("held to here, for the bytes");
    }
  }
}
