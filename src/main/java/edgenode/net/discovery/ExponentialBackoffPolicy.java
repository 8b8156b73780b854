package edgenode.net.discovery;

import java.util.SplittableRandom;

/**
 * The waits between calls to discovery that fail: doubled each time, with jitter, as a whole
 * fleet's calls fail together. Bounded so that a call that is given up after a second, the wait
 * behind it, and a connect and an answer of a second in all fit within the operators' term of
 * {@link AgentSource#RECOVERY_LIMIT_MS}. Time is only its chance's seed.
 */
final class ExponentialBackoffPolicy {
  /** The longest wait (ms). */
  static final double MAX_DELAY_MS = 3000;

  private final double initialDelayMs;
  private final SplittableRandom random;
  private double delayCeilingMs;

  /**
   * @param initialDelayMs the longest that the first wait may be (ms)
   * @param seed the time: no two processes have the same, to the fraction of a ms
   */
  ExponentialBackoffPolicy(double initialDelayMs, double seed) {
    this.initialDelayMs = initialDelayMs;
    random = new SplittableRandom(Double.doubleToLongBits(seed));
    delayCeilingMs = initialDelayMs;
  }

  /** The next wait (ms): between half of what it may be and all of it. */
  double nextDelayMs() {
    double delayMs = delayCeilingMs * (0.5 + random.nextDouble() / 2);
    delayCeilingMs = Math.min(2 * delayCeilingMs, MAX_DELAY_MS);
    return delayMs;
  }

  /** A call has been answered. */
  void reset() {
    delayCeilingMs = initialDelayMs;
  }
}
