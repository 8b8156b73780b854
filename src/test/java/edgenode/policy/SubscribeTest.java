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
class SubscribeTest {
  /** What discovery has, and a failed call kept back, counts as told after this (ms). */
  private static final double TERM = 6000;

  /** A call that is lost is given up after this (ms). */
  private static final double GIVEN_UP = 2000;

  private static Bench asking(long seed) {
    Bench b = new Bench();
    b.ask = true;
    b.seed = seed * 0x9e3779b97f4a7c15L; // a new one is any number of 64 bits
    b.start();
    assertEquals(1, b.count("subscribe"));
    return b;
  }

  /** Fails the call that is out; ms until the next. */
  private static double untilTheNext(Bench b) {
    long before = b.count("subscribe");
    double failed = b.now;
    b.module.discoveryFailed(failed);
    while (b.count("subscribe") == before) {
      assertTrue(b.now - failed < 10 * TERM, "no call any more");
      b.to(b.now + 1);
    }
    return b.now - failed;
  }

  /**
   * Discovery can be reached just after a call that is lost: that is given up, the next is made,
   * and it may take a second until its answer.
   */
  @Test
  void theNextCallIsMadeInTimeHoweverManyHaveFailed() {
    double worst = 0;
    for (long seed = 0; seed < 100; seed++) {
      Bench b = asking(seed);
      for (int i = 0; i < 12; i++) {
        b.to(b.now + GIVEN_UP);
        worst = Math.max(worst, GIVEN_UP + untilTheNext(b));
      }
    }
    System.out.printf(
        "calls to discovery: the next is made %.0f ms at worst after one that is lost%n", worst);
    assertTrue(worst <= TERM - 1000, "after " + worst + " ms");
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
        Bench b = asking(seed);
        double wait = 0;
        for (int i = 0; i < failures; i++) {
          wait = untilTheNext(b);
        }
        at.merge((int) (wait / 100), 1, Integer::sum);
      }
      int most = at.values().stream().mapToInt(n -> n).max().orElse(0);
      assertTrue(most <= 25, "of a hundred within 100 ms, after " + failures + " failures: " + at);
      assertTrue(at.size() >= 8, at.toString());
    }
  }
}
