package edgenode.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Requests are spread by customer, unevenly; a crash is detected only after a while. */
class ClientLoadBalancerTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private final ClientLoadBalancer loadBalancer = new ClientLoadBalancer(3, 1000, 5);

  private int[] route(double now) {
    int[] all = new int[3];
    for (int i = 0; i < 3000; i++) {
      all[loadBalancer.selectNode(CUSTOMER, now)]++;
    }
    return all;
  }

  @Test
  void failureIsDetectedLateAndARestartAtOnce() {
    assertTrue(route(0)[1] > 0);
    loadBalancer.nodeDown(1, 100);
    assertTrue(route(1099)[1] > 0, "not noticed yet");
    assertEquals(0, route(1100)[1]);
    loadBalancer.nodeUp(1);
    assertTrue(route(1200)[1] > 0);
  }

  @Test
  void routesAllRequestsThoughNoNodeIsInRotation() {
    for (int i = 0; i < 3; i++) {
      loadBalancer.nodeDown(i, 0);
    }
    assertEquals(3000, Arrays.stream(route(5000)).sum());
  }

  @Test
  void hotNodeGetsItsShareUntilItIsReset() {
    int before = route(0)[2];
    loadBalancer.crowd(2, 0.8);
    int crowded = route(0)[2];
    assertTrue(crowded > 0.8 * 3000 - 100 && crowded > before, crowded + " after " + before);
    loadBalancer.crowd(2, 0);
    assertTrue(Math.abs(route(0)[2] - before) < 200);
  }

  /** The same shares until they are drawn anew, and the same draw for the same seed. */
  @Test
  void reshuffleMovesRequestsOfACustomer() {
    int[] one = route(0);
    int[] two = route(0);
    for (int i = 0; i < 3; i++) {
      assertTrue(Math.abs(one[i] - two[i]) < 200, Arrays.toString(one) + Arrays.toString(two));
    }
    loadBalancer.reshuffle();
    int[] three = route(0);
    int moved = 0;
    for (int i = 0; i < 3; i++) {
      moved = Math.max(moved, Math.abs(three[i] - one[i]));
    }
    assertTrue(moved > 200, Arrays.toString(one) + Arrays.toString(three));
    ClientLoadBalancer same = new ClientLoadBalancer(3, 1000, 5);
    ClientLoadBalancer other = new ClientLoadBalancer(3, 1000, 6);
    int[] dealt = new int[3];
    int[] otherwise = new int[3];
    for (int i = 0; i < 3000; i++) {
      dealt[same.selectNode(CUSTOMER, 0)]++;
      otherwise[other.selectNode(CUSTOMER, 0)]++;
    }
    assertEquals(Arrays.toString(one), Arrays.toString(dealt));
    assertNotEquals(Arrays.toString(one), Arrays.toString(otherwise));
  }

  @Test
  void loadBalancerWithoutNodesIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new ClientLoadBalancer(0, 1000, 1));
  }
}
