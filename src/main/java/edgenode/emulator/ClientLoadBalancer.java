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

  private final int nodeCount;
  private final double detectionDelayMs;
  private final Random random;
  private final Map<String, double[]> weightsByCustomer = new HashMap<>();

  /** When each node went down, infinite while it is up. */
  private final double[] downSinceMs;

  private int hotNode = -1;
  private double crowd;

  /**
   * @param detectionDelayMs how long it goes on sending to a node that has died
   */
  public ClientLoadBalancer(int nodeCount, double detectionDelayMs, long seed) {
    if (nodeCount < 1) {
      throw new IllegalArgumentException("a front of no edge nodes");
    }
    this.nodeCount = nodeCount;
    this.detectionDelayMs = detectionDelayMs;
    random = new Random(seed);
    downSinceMs = new double[nodeCount];
    Arrays.fill(downSinceMs, NEVER);
  }

  public void nodeDown(int node, double nowMs) {
    downSinceMs[node] = nowMs;
  }

  public void nodeUp(int node) {
    downSinceMs[node] = NEVER;
  }

  /** That share (0 to 1) of all requests goes to one node; a share of 0 ends it. */
  public void crowd(int node, double share) {
    hotNode = node;
    crowd = share;
  }

  /** All customers' requests move to other nodes at one stroke. */
  public void reshuffle() {
    weightsByCustomer.clear();
  }

  private boolean isInRotation(int node, double nowMs) {
    return nowMs < downSinceMs[node] + detectionDelayMs;
  }

  /** Where a customer's next request goes. */
  public int selectNode(String customer, double nowMs) {
    double draw = random.nextDouble();
    double hotNodeDraw = random.nextDouble();
    if (crowd > 0 && hotNodeDraw < crowd && isInRotation(hotNode, nowMs)) {
      return hotNode;
    }
    double[] weights = weightsByCustomer.computeIfAbsent(customer, c -> drawWeights());
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += isInRotation(i, nowMs) ? weights[i] : 0;
    }
    if (sum == 0) {
      return (int) (draw * weights.length); // it knows of none: as it comes
    }
    double remaining = draw * sum;
    int chosen = 0;
    for (int i = 0; i < weights.length; i++) {
      if (isInRotation(i, nowMs)) {
        chosen = i;
        remaining -= weights[i];
        if (remaining < 0) {
          break;
        }
      }
    }
    return chosen;
  }

  /** Uneven, as clients are. */
  private double[] drawWeights() {
    double[] weights = new double[nodeCount];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = -Math.log(1 - random.nextDouble());
    }
    return weights;
  }
}
