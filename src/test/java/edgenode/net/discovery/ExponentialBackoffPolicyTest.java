package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Waits between failed calls: bounded by the operators' term, and not the same for a whole fleet.
 */
class ExponentialBackoffPolicyTest {
  private static final double GIVEN_UP = 1000;
  private static final double CONNECT = 1000;

  /** For the answer (ms), and for timers that a busy machine fires late. */
  private static final double ANSWER = 500;

  /**
   * A call lost just before discovery can be reached, given up, the wait, and a connect that needs
   * all its time.
   */
  @Test
  void theNextCallIsAnsweredWithinTheTerm() {
    for (double first : new double[] {50, 200}) {
      for (int seed = 0; seed < 100; seed++) {
        ExponentialBackoffPolicy backoff =
            new ExponentialBackoffPolicy(first, 1_700_000_000_000.0 + seed);
        for (int i = 0; i < 20; i++) {
          double wait = backoff.nextDelayMs();
          assertTrue(wait >= first / 2, wait + " ms");
          assertTrue(
              GIVEN_UP + wait + CONNECT + ANSWER < AgentSource.RECOVERY_LIMIT_MS, wait + " ms");
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= first);
      }
    }
  }

  /** A hundred processes that started within a second, whose calls have failed alike. */
  @Test
  void aFleetComesBackSpread() {
    Set<Integer> at = new HashSet<>();
    for (int node = 0; node < 100; node++) {
      ExponentialBackoffPolicy backoff =
          new ExponentialBackoffPolicy(50, 1_700_000_000_000.0 + node * 9.7);
      double wait = 0;
      for (int i = 0; i < 10; i++) {
        wait = backoff.nextDelayMs();
      }
      at.add((int) (wait / 100));
    }
    assertTrue(at.size() >= 12, "of 15 tenths of a second: " + at);
  }
}
