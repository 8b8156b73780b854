package edgenode.benchmark;

import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The core's cost of one change, and of one whole list that changes one server, by the length of
 * the list. Run from the repository's root: {@code java -cp target/test-classes:target/classes
 * edgenode.benchmark.ChangeCost}. Prints the median of 11 rounds, and their least and most, in
 * microseconds.
 */
final class ChangeCost {
  private static final int ROUNDS = 11;

  private ChangeCost() {}

  private static DiscoveredEndpoint entry(int i, EndpointState state) {
    return new DiscoveredEndpoint(
        new EndpointInfo("s" + i, 0, "z", state, "m", 0, 1), "127.0.0.1:" + (1000 + i));
  }

  public static void main(String[] args) {
    for (int n : new int[] {10, 1000, 10_000}) {
      Membership core = new Membership(MembershipLimits.defaults(18_000), "a");
      List<DiscoveredEndpoint> all = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        all.add(entry(i, EndpointState.UP));
      }
      double now = 1e6;
      long seq = 1;
      core.endpointsReceived(now, "a", seq, true, all);
      List<Double> one = new ArrayList<>();
      List<Double> whole = new ArrayList<>();
      int turns = Math.max(20, 200_000 / n);
      long told = 0;
      for (int r = 0; r < ROUNDS + 5; r++) {
        long t0 = System.nanoTime();
        for (int k = 0; k < 2000; k++) {
          now += 200;
          told +=
              core.endpointsReceived(
                      now,
                      "a",
                      ++seq,
                      false,
                      List.of(
                          entry(k % n, k / n % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP)))
                  .endpoints()
                  .size();
        }
        long t1 = System.nanoTime();
        for (int k = 0; k < turns; k++) {
          now += 200;
          all.set(k % n, entry(k % n, k % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP));
          told += core.endpointsReceived(now, "a", ++seq, true, all).endpoints().size();
        }
        long t2 = System.nanoTime();
        if (r >= 5) {
          one.add((t1 - t0) / 2000.0 / 1000);
          whole.add((t2 - t1) / (double) turns / 1000);
        }
      }
      one.sort(null);
      whole.sort(null);
      System.out.printf(
          Locale.ROOT,
          "%d servers: a change %.1f us (%.1f to %.1f), a whole list %.0f us (%.0f to"
              + " %.0f); %d differences told%n",
          n,
          one.get(ROUNDS / 2),
          one.get(0),
          one.get(ROUNDS - 1),
          whole.get(ROUNDS / 2),
          whole.get(0),
          whole.get(ROUNDS - 1),
          told);
    }
  }
}
