package edgenode.emulator;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Emulates a client-side load balancer that spreads each customer's requests over the edge nodes,
 * with uneven weights. A node is back in rotation as soon as it is up; a crash is detected late,
 * and until then requests still go there. No I/O; not safe for use by several threads.
 */
public final class ClientLoadBalancer {
  private static final double NEVER = Double.POSITIVE_INFINITY;

  private final int nodeCount;
  private final double detectionDelayMs;
  private final Random random;
  private final Map<String, double[]> weightsByCustomer = new HashMap<>();

  /** When each node went down (ms); infinite while it is up. */
  private final double[] downSinceMs;

  private int hotNode = -1;
  private double crowd;

  /**
   * Creates a load balancer with all nodes up.
   *
   * @param detectionDelayMs how long it goes on sending to a node that has crashed
   */
  public ClientLoadBalancer(int nodeCount, double detectionDelayMs, long seed) {
    if (nodeCount < 1) {
      throw new IllegalArgumentException("a load balancer needs at least one edge node");
    }
    this.nodeCount = nodeCount;
    this.detectionDelayMs = detectionDelayMs;
    random = new Random(seed);
    downSinceMs = new double[nodeCount];
    Arrays.fill(downSinceMs, NEVER);
  }

  /** The node crashes at this time. */
  public void nodeDown(int node, double nowMs) {
    downSinceMs[node] = nowMs;
  }

  /** The node is in rotation again. */
  public void nodeUp(int node) {
    downSinceMs[node] = NEVER;
  }

  /** Sends this share (0 to 1) of all requests to one node; a share of 0 ends that. */
  public void crowd(int node, double share) {
    hotNode = node;
    crowd = share;
  }

  /** Draws the weights of all customers anew: their requests move to other nodes at once. */
  public void reshuffle() {
    weightsByCustomer.clear();
  }

  private boolean isInRotation(int node, double nowMs) {
    return nowMs < downSinceMs[node] + detectionDelayMs;
  }

  /** Chooses the node of a customer's next request. */
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
      return (int) (draw * weights.length); // no node is in rotation: any of them
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

  /** Exponentially distributed, so uneven. */
  private double[] drawWeights() {
    double[] weights = new double[nodeCount];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = -Math.log(1 - random.nextDouble());
    }
    return weights;
  }
}
