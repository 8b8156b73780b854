package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Delays between failed calls: bounded by the recovery limit, and spread over a fleet. */
class ExponentialBackoffPolicyTest {
  private static final double CALL_TIMEOUT_MS = 1000;
  private static final double CONNECT_TIMEOUT_MS = 1000;

  /** For the response, and for timers that a busy machine fires late. */
  private static final double RESPONSE_MS = 500;

  /**
   * A call is lost just before discovery can be reached: its timeout, the delay, and a connect that
   * needs all its time.
   */
  @Test
  void nextCallIsAnsweredWithinTheRecoveryLimit() {
    for (double initialDelayMs : new double[] {50, 200}) {
      for (int seed = 0; seed < 100; seed++) {
        ExponentialBackoffPolicy backoff =
            new ExponentialBackoffPolicy(initialDelayMs, 1_700_000_000_000.0 + seed);
        for (int i = 0; i < 20; i++) {
          double delayMs = backoff.nextDelayMs();
          assertTrue(delayMs >= initialDelayMs / 2, delayMs + " ms");
          assertTrue(
              CALL_TIMEOUT_MS + delayMs + CONNECT_TIMEOUT_MS + RESPONSE_MS
                  < AgentSource.RECOVERY_LIMIT_MS,
              delayMs + " ms");
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= initialDelayMs);
      }
    }
  }

  /** A hundred processes that started within a second, whose calls have failed alike. */
  @Test
  void delaysOfAFleetAreSpread() {
    Set<Integer> tenthsOfASecond = new HashSet<>();
    for (int node = 0; node < 100; node++) {
      ExponentialBackoffPolicy backoff =
          new ExponentialBackoffPolicy(50, 1_700_000_000_000.0 + node * 9.7);
      double delayMs = 0;
      for (int i = 0; i < 10; i++) {
        delayMs = backoff.nextDelayMs();
      }
      tenthsOfASecond.add((int) (delayMs / 100));
    }
    assertTrue(tenthsOfASecond.size() >= 12, "of 15 tenths of a second: " + tenthsOfASecond);
  }
}
