package edgenode.benchmark;

import edgenode.policy.Decide;
import edgenode.policy.Gateway;
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

  private static final class Host implements Gateway.Actions {
    @Override
    public void send(long id, String server, double until) {
      sends++;
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void refuse(long id, double retryAfter) {}

    @Override
    public void fail(long id) {}

    @Override
    public void timer(double delay, long token) {}

    @Override
    public void probe(String server) {}

    @Override
    public void count(long name, double amount, double keepFor) {}

    @Override
    public void subscribe() {}
  }

  private static Gateway.Server server(int i, Gateway.State state) {
    return new Gateway.Server(
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
    Gateway.Settings settings =
        new Gateway.Settings(
            3,
            nodes,
            "a",
            2,
            false,
            false,
            1,
            List.of(),
            List.of(
                new Gateway.RequestClass(
                    "read", Gateway.Effect.SAFE, Gateway.Group.CELL, 600, 2000, 1, 0, 0, false),
                new Gateway.RequestClass(
                    "cell",
                    Gateway.Effect.KEYED,
                    Gateway.Group.CELL,
                    600,
                    2000,
                    1,
                    0,
                    5000,
                    false)),
            List.of(new Gateway.Plan("big", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0)),
            new Gateway.Allowed(true, true, true, true, false, false, 5, 2000, 50, 15_000),
            new Gateway.Rules(16, 250, 0.2, 15_000, 2, 2000),
            new Gateway.Prices(0.05, 0.01, 0.02, 0, 0.03));
    List<Gateway.Server> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      all.add(server(i, Gateway.State.UP));
    }
    long before = heap();
    Decide module = new Decide(settings, 1, 0, new Host());
    double whole = cpu();
    module.servers(0, all, true);
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
        module.arrived(now, new Gateway.Request(id, "read", "big", "c", 2000, 1, 1, 0, false));
        if (id >= 16) {
          module.ended(now, id - 16, 0, Gateway.Outcome.OK, 20, true, 0, new double[0]);
        }
      }
      double t1 = cpu();
      for (int i = 0; i < turns; i++) {
        int of = (i / 2 * 7919 + r) % n;
        module.servers(
            now, List.of(server(of, i % 2 == 0 ? Gateway.State.GONE : Gateway.State.UP)), false);
      }
      double t2 = cpu();
      for (int i = 0; i < 8; i++) {
        now += 250;
        module.timer(now, 0);
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
    if (module.avoided(now) < 0) {
      throw new IllegalStateException("held to here, for the bytes");
    }
  }
}
