package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Where discovery must be polled: calls that fail are made again, in time and not by the whole
 * fleet at once.
 */
class DiscoveryBackoffTest {
  /** A change that failed calls delay counts as known after this: the operators' bound. */
  private static final double RECOVERY_BOUND_MS = 6000;

  /** A call that is lost times out after this. */
  private static final double CALL_TIMEOUT_MS = 2000;

  private static FakeGateway pollingGateway(long seed) {
    FakeGateway gateway = new FakeGateway();
    gateway.mustPollDiscovery = true;
    gateway.seed = seed * 0x9e3779b97f4a7c15L; // seeds are any numbers of 64 bits
    gateway.start();
    assertEquals(1, gateway.actionCount("subscribe"));
    return gateway;
  }

  /** Fails the call that is in flight, and waits for the next: how long that took (ms). */
  private static double failAndAwaitNextCall(FakeGateway gateway) {
    long before = gateway.actionCount("subscribe");
    double failedAtMs = gateway.nowMs;
    gateway.engine.discoveryFailed(failedAtMs);
    while (gateway.actionCount("subscribe") == before) {
      assertTrue(gateway.nowMs - failedAtMs < 10 * RECOVERY_BOUND_MS, "no further call");
      gateway.advanceTo(gateway.nowMs + 1);
    }
    return gateway.nowMs - failedAtMs;
  }

  /**
   * Discovery can be reached again just after a call was lost: that call times out, the next is
   * made, and its answer may take a second.
   */
  @Test
  void nextCallIsMadeInTimeHoweverManyHaveFailed() {
    double worst = 0;
    for (long seed = 0; seed < 100; seed++) {
      FakeGateway gateway = pollingGateway(seed);
      for (int i = 0; i < 12; i++) {
        gateway.advanceTo(gateway.nowMs + CALL_TIMEOUT_MS);
        worst = Math.max(worst, CALL_TIMEOUT_MS + failAndAwaitNextCall(gateway));
      }
    }
    System.out.printf(
        "calls to discovery: the next is made %.0f ms at worst after one that is lost%n", worst);
    assertTrue(worst <= RECOVERY_BOUND_MS - 1000, "after " + worst + " ms");
  }

  /** A hundred subscriptions that break at one moment are not renewed at one moment. */
  @Test
  void fleetDoesNotCallDiscoveryAtOnce() {
    for (int failures : new int[] {1, 6}) {
      Map<Integer, Integer> callsByTenth = new TreeMap<>();
      for (long seed = 0; seed < 100; seed++) {
        FakeGateway gateway = pollingGateway(seed);
        double waitMs = 0;
        for (int i = 0; i < failures; i++) {
          waitMs = failAndAwaitNextCall(gateway);
        }
        callsByTenth.merge((int) (waitMs / 100), 1, Integer::sum);
      }
      int most = callsByTenth.values().stream().mapToInt(n -> n).max().orElse(0);
      assertTrue(
          most <= 25,
          "of a hundred within 100 ms, after " + failures + " failures: " + callsByTenth);
      assertTrue(callsByTenth.size() >= 8, callsByTenth.toString());
    }
  }
}
