package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Where discovery must be asked: calls to it that fail are made again, in time and not by the whole
 * fleet at once.
 */
class DiscoveryBackoffTest {
  /** What discovery has, and a failed call kept back, counts as told after this (ms). */
  private static final double RECOVERY_BOUND_MS = 6000;

  /** A call that is lost is given up after this (ms). */
  private static final double CALL_TIMEOUT_MS = 2000;

  private static FakeGateway pollingGateway(long seed) {
    FakeGateway gateway = new FakeGateway();
    gateway.mustPollDiscovery = true;
    gateway.seed = seed * 0x9e3779b97f4a7c15L; // a new one is any number of 64 bits
    gateway.start();
    assertEquals(1, gateway.count("subscribe"));
    return gateway;
  }

  /** Fails the call that is out; ms until the next. */
  private static double failAndAwaitNextCall(FakeGateway gateway) {
    long before = gateway.count("subscribe");
    double failed = gateway.nowMs;
    gateway.engine.discoveryFailed(failed);
    while (gateway.count("subscribe") == before) {
      assertTrue(gateway.nowMs - failed < 10 * RECOVERY_BOUND_MS, "no call any more");
      gateway.advanceTo(gateway.nowMs + 1);
    }
    return gateway.nowMs - failed;
  }

  /**
   * Discovery can be reached just after a call that is lost: that is given up, the next is made,
   * and it may take a second until its answer.
   */
  @Test
  void theNextCallIsMadeInTimeHoweverManyHaveFailed() {
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

  /**
   * A hundred subscriptions that break at one moment, and calls that go on failing, come back
   * spread.
   */
  @Test
  void aFleetDoesNotAskAtOnce() {
    for (int failures : new int[] {1, 6}) {
      Map<Integer, Integer> at = new TreeMap<>();
      for (long seed = 0; seed < 100; seed++) {
        FakeGateway gateway = pollingGateway(seed);
        double wait = 0;
        for (int i = 0; i < failures; i++) {
          wait = failAndAwaitNextCall(gateway);
        }
        at.merge((int) (wait / 100), 1, Integer::sum);
      }
      int most = at.values().stream().mapToInt(n -> n).max().orElse(0);
      assertTrue(most <= 25, "of a hundred within 100 ms, after " + failures + " failures: " + at);
      assertTrue(at.size() >= 8, at.toString());
    }
  }
}
