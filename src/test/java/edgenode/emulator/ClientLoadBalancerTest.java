package edgenode.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The front deals by customer, unevenly, and knows of a death only after a while. */
class ClientLoadBalancerTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private final ClientLoadBalancer front = new ClientLoadBalancer(3, 1000, 5);

  private int[] deal(double now) {
    int[] all = new int[3];
    for (int i = 0; i < 3000; i++) {
      all[front.node(CUSTOMER, now)]++;
    }
    return all;
  }

  @Test
  void aDeathIsNoticedLateAndAReturnAtOnce() {
    assertTrue(deal(0)[1] > 0);
    front.down(1, 100);
    assertTrue(deal(1099)[1] > 0, "not noticed yet");
    assertEquals(0, deal(1100)[1]);
    front.up(1);
    assertTrue(deal(1200)[1] > 0);
  }

  @Test
  void whereItKnowsOfNoneItSendsAllTheSame() {
    for (int i = 0; i < 3; i++) {
      front.down(i, 0);
    }
    assertEquals(3000, Arrays.stream(deal(5000)).sum());
  }

  @Test
  void aCrowdIsItsShareAndEndsWithIt() {
    int before = deal(0)[2];
    front.crowd(2, 0.8);
    int crowded = deal(0)[2];
    assertTrue(crowded > 0.8 * 3000 - 100 && crowded > before, crowded + " after " + before);
    front.crowd(2, 0);
    assertTrue(Math.abs(deal(0)[2] - before) < 200);
  }

  /** The same shares until they are drawn anew, and the same draw for the same seed. */
  @Test
  void aReshuffleMovesACustomersRequests() {
    int[] one = deal(0);
    int[] two = deal(0);
    for (int i = 0; i < 3; i++) {
      assertTrue(Math.abs(one[i] - two[i]) < 200, Arrays.toString(one) + Arrays.toString(two));
    }
    front.reshuffle();
    int[] three = deal(0);
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
      dealt[same.node(CUSTOMER, 0)]++;
      otherwise[other.node(CUSTOMER, 0)]++;
    }
    assertEquals(Arrays.toString(one), Arrays.toString(dealt));
    assertNotEquals(Arrays.toString(one), Arrays.toString(otherwise));
  }

  @Test
  void aFrontOfNoNodesIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> new ClientLoadBalancer(0, 1000, 1));
  }
}
