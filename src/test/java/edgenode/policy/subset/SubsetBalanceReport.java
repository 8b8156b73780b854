package edgenode.policy.subset;

import java.util.Arrays;
import java.util.Locale;
import java.util.Random;

/**
 * How even the subsets of a whole fleet are, by arithmetic on the places of nodes and endpoints as
 * {@link EndpointSubset} has them: nodes that hold an endpoint, endpoints that a node holds, and
 * the load of an endpoint in parts of the mean, where each node spreads its traffic evenly over
 * what it holds. The last columns: a tenth of the nodes, in a row, removed; and traffic of the
 * nodes spread log-normally with a mean of 1 (sigma 0.8: one in a hundred has over 4).
 *
 * <p>Run from the repository's root, after {@code mvn -DskipTests package}: {@code java -cp
 * target/test-classes:target/classes edgenode.policy.subset.SubsetBalanceReport}.
 */
final class SubsetBalanceReport {
  /** Of the log of a node's traffic. */
  private static final double SIGMA = 0.8;

  private record FleetSize(int nodes, int endpoints, int minEndpoints, int minNodes) {}

  private final FleetSize size;
  private final long[] offsets;
  private final double fraction;
  private final int[] nodesOfEndpoint;
  private final int[] nodesLeftOfEndpoint;
  private final double[] load;
  private final double[] unevenLoad;
  private final int[] endpointsOfNode;

  private SubsetBalanceReport(FleetSize size) {
    this.size = size;
    offsets = new long[size.endpoints];
    for (int i = 0; i < size.endpoints; i++) {
      offsets[i] = EndpointSubset.offsetOf("s-" + Integer.toHexString(i), 0);
    }
    Arrays.sort(offsets);
    double byEndpoints = size.minEndpoints / (double) size.endpoints;
    fraction = Math.min(1, Math.max(byEndpoints, size.minNodes / (double) size.nodes));
    nodesOfEndpoint = new int[size.endpoints];
    nodesLeftOfEndpoint = new int[size.endpoints];
    load = new double[size.endpoints];
    unevenLoad = new double[size.endpoints];
    endpointsOfNode = new int[size.nodes];
  }

  /** Prints the table. */
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
    int minNodes = EndpointSubset.MIN_NODES_PER_ENDPOINT;
    report(new FleetSize(100, 200, 256, minNodes));
    report(new FleetSize(100, 400, 256, minNodes));
    report(new FleetSize(100, 4000, 256, minNodes));
    report(new FleetSize(14, 400, 64, minNodes));
    report(new FleetSize(1000, 4000, 256, minNodes));
    report(new FleetSize(5500, 40_000, 256, minNodes));
    report(new FleetSize(5500, 190_000, 256, minNodes));
    report(new FleetSize(5500, 190_000, 512, minNodes));
    for (int fewer : new int[] {1, 2, 4, 16}) {
      System.out.println("with " + fewer + " holders at least:");
      report(new FleetSize(5500, 190_000, 64, fewer));
    }
  }

  private static void report(FleetSize size) {
    SubsetBalanceReport report = new SubsetBalanceReport(size);
    Random random = new Random(1);
    for (int node = 0; node < size.nodes; node++) {
      double traffic = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
      report.addNode(node, traffic);
    }
    report.print();
  }

  private void addNode(int node, double traffic) {
    int endpoints = size.endpoints;
    long from = EndpointSubset.arcStart(node) >>> 2;
    int first = Arrays.binarySearch(offsets, from);
    first = first < 0 ? -first - 1 : first;
    int count = 0;
    while (count < endpoints && isOnArc(offsets[(first + count) % endpoints], from)) {
      count++;
    }
    endpointsOfNode[node] = count;
    boolean isRemoved = node >= size.nodes / 2 && node < size.nodes / 2 + size.nodes / 10;
    for (int i = 0; i < count; i++) {
      int endpoint = (first + i) % endpoints;
      nodesOfEndpoint[endpoint]++;
      nodesLeftOfEndpoint[endpoint] += isRemoved ? 0 : 1;
      load[endpoint] += 1.0 / count * endpoints / size.nodes;
      unevenLoad[endpoint] += traffic / count * endpoints / size.nodes;
    }
  }

  private boolean isOnArc(long offset, long from) {
    return fraction >= 1
        || (offset - from & EndpointSubset.CIRCLE_LENGTH - 1)
            < fraction * EndpointSubset.CIRCLE_LENGTH;
  }

  private void print() {
    Arrays.sort(load);
    Arrays.sort(unevenLoad);
    int last = size.endpoints - 1;
    int at99 = size.endpoints * 99 / 100;
    System.out.printf(
        Locale.ROOT,
        "%6d %7d %6d | %6d %6.2f %6d   | %6d %6.1f %6d  | %5.2f %5.2f %5.2f %5.2f"
            + " | %6d %6d | %5.2f %5.2f %5.2f%n",
        size.nodes,
        size.endpoints,
        size.minEndpoints,
        Arrays.stream(nodesOfEndpoint).min().orElse(0),
        Arrays.stream(nodesOfEndpoint).average().orElse(0),
        Arrays.stream(nodesOfEndpoint).max().orElse(0),
        Arrays.stream(endpointsOfNode).min().orElse(0),
        Arrays.stream(endpointsOfNode).average().orElse(0),
        Arrays.stream(endpointsOfNode).max().orElse(0),
        load[0],
        standardDeviation(load),
        load[at99],
        load[last],
        Arrays.stream(nodesLeftOfEndpoint).min().orElse(0),
        Arrays.stream(nodesLeftOfEndpoint).max().orElse(0),
        standardDeviation(unevenLoad),
        unevenLoad[at99],
        unevenLoad[last]);
  }

  private static double standardDeviation(double[] values) {
    double mean = Arrays.stream(values).average().orElse(0);
    return Math.sqrt(
        Arrays.stream(values).map(value -> (value - mean) * (value - mean)).average().orElse(0));
  }
}
