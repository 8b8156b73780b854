package edgenode.emulator;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * The front that deals each customer's requests among the edge nodes of its set. It takes in a node
 * as soon as that answers, and notices a death late: until then what it sends there is refused. A
 * pure core.
 */
public final class ClientLoadBalancer {
  private static final double NEVER = Double.POSITIVE_INFINITY;

  private final int nodes;
  private final double notice;
  private final Random random;
  private final Map<String, double[]> shares = new HashMap<>();

  /** When each node went down, infinite while it is up. */
  private final double[] downAt;

  private int busiest = -1;
  private double crowd;

  /**
   * @param noticeMs how long it goes on sending to a node that has died
   */
  public ClientLoadBalancer(int nodes, double noticeMs, long seed) {
    if (nodes < 1) {
      throw new IllegalArgumentException("a front of no edge nodes");
    }
    this.nodes = nodes;
    notice = noticeMs;
    random = new Random(seed);
    downAt = new double[nodes];
    Arrays.fill(downAt, NEVER);
  }

  public void down(int node, double now) {
    downAt[node] = now;
  }

  public void up(int node) {
    downAt[node] = NEVER;
  }

  /** That share (0 to 1) of all requests goes to one node; a share of 0 ends it. */
  public void crowd(int node, double share) {
    busiest = node;
    crowd = share;
  }

  /** All customers' requests move to other nodes at one stroke. */
  public void reshuffle() {
    shares.clear();
  }

  private boolean taken(int node, double now) {
    return now < downAt[node] + notice;
  }

  /** Where a customer's next request goes. */
  public int node(String customer, double now) {
    double draw = random.nextDouble();
    double other = random.nextDouble();
    if (crowd > 0 && other < crowd && taken(busiest, now)) {
      return busiest;
    }
    double[] weights = shares.computeIfAbsent(customer, c -> weights());
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += taken(i, now) ? weights[i] : 0;
    }
    if (sum == 0) {
      return (int) (draw * weights.length); // it knows of none: as it comes
    }
    double left = draw * sum;
    int last = 0;
    for (int i = 0; i < weights.length; i++) {
      if (taken(i, now)) {
        last = i;
        left -= weights[i];
        if (left < 0) {
          break;
        }
      }
    }
    return last;
  }

  /** Uneven, as clients are. */
  private double[] weights() {
    double[] all = new double[nodes];
    for (int i = 0; i < all.length; i++) {
      all[i] = -Math.log(1 - random.nextDouble());
    }
    return all;
  }
}
