package edgenode.policy.subset;

import java.util.Arrays;
import java.util.Locale;
import java.util.Random;

/**
 * How even the subsets of a whole fleet are, by arithmetic on the places of nodes and servers, as
 * {@link EndpointSubset} has them: nodes that hold a server, servers that a node holds, and the
 * load of a server in parts of the mean, where each node spreads its traffic evenly over what it
 * holds and none looks at answers. Run from the repository's root, after {@code mvn -DskipTests
 * package}: {@code java -cp target/test-classes:target/classes
 * edgenode.policy.subset.SubsetBalance}. The last columns: a tenth of the nodes by number gone, and
 * traffic of the nodes spread log-normally with a mean of 1 (sigma 0.8: one in a hundred has over
 * 4).
 */
final class SubsetBalanceReport {
  private SubsetBalanceReport() {}

  public static void main(String[] args) {
    System.out.printf(
        "%6s %7s %6s | %-22s | %-22s | %-28s | %-22s | %s%n",
        "nodes",
        "servers",
        "bound",
        "holders least/mean/most",
        "size least/mean/most",
        "load least/sd/99%/most",
        "tenth gone least/most",
        "uneven nodes sd/99%/most");
    for (int[] w :
        new int[][] {
          {100, 200, 256},
          {100, 400, 256},
          {100, 4000, 256},
          {14, 400, 64},
          {1000, 4000, 256},
          {5500, 40_000, 256},
          {5500, 190_000, 256},
          {5500, 190_000, 512}
        }) {
      fleet(w[0], w[1], w[2], EndpointSubset.MIN_NODES_PER_ENDPOINT);
    }
    for (int holders : new int[] {1, 2, 4, 16}) {
      System.out.println("with " + holders + " holders at least:");
      fleet(5500, 190_000, 64, holders);
    }
  }

  private static void fleet(int nodes, int servers, int bound, int holders) {
    long[] at = new long[servers];
    for (int i = 0; i < servers; i++) {
      at[i] = EndpointSubset.offsetOf("s-" + Integer.toHexString(i), 0);
    }
    Arrays.sort(at);
    double share = Math.min(1, Math.max(bound / (double) servers, holders / (double) nodes));
    Random random = new Random(1);
    int[] held = new int[servers];
    int[] without = new int[servers];
    double[] load = new double[servers];
    double[] uneven = new double[servers];
    int[] size = new int[nodes];
    for (int m = 0; m < nodes; m++) {
      double traffic = Math.exp(0.8 * random.nextGaussian() - 0.32);
      long from = EndpointSubset.arcStart(m) >>> 2;
      int first = Arrays.binarySearch(at, from);
      first = first < 0 ? -first - 1 : first;
      int k = 0;
      while (k < servers && share >= 1
          || k < servers
              && (at[(first + k) % servers] - from & EndpointSubset.CIRCLE_LENGTH - 1)
                  < share * EndpointSubset.CIRCLE_LENGTH) {
        k++;
      }
      size[m] = k;
      boolean gone = m >= nodes / 2 && m < nodes / 2 + nodes / 10;
      for (int i = 0; i < k; i++) {
        int s = (first + i) % servers;
        held[s]++;
        without[s] += gone ? 0 : 1;
        load[s] += 1.0 / k * servers / nodes;
        uneven[s] += traffic / k * servers / nodes;
      }
    }
    Arrays.sort(load);
    Arrays.sort(uneven);
    System.out.printf(
        Locale.ROOT,
        "%6d %7d %6d | %6d %6.2f %6d   | %6d %6.1f %6d  | %5.2f %5.2f %5.2f %5.2f"
            + " | %6d %6d | %5.2f %5.2f %5.2f%n",
        nodes,
        servers,
        bound,
        Arrays.stream(held).min().orElse(0),
        Arrays.stream(held).average().orElse(0),
        Arrays.stream(held).max().orElse(0),
        Arrays.stream(size).min().orElse(0),
        Arrays.stream(size).average().orElse(0),
        Arrays.stream(size).max().orElse(0),
        load[0],
        sd(load),
        load[servers * 99 / 100],
        load[servers - 1],
        Arrays.stream(without).min().orElse(0),
        Arrays.stream(without).max().orElse(0),
        sd(uneven),
        uneven[servers * 99 / 100],
        uneven[servers - 1]);
  }

  private static double sd(double[] x) {
    double mean = Arrays.stream(x).average().orElse(0);
    return Math.sqrt(Arrays.stream(x).map(v -> (v - mean) * (v - mean)).average().orElse(0));
  }
}
