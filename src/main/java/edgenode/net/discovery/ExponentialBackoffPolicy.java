package edgenode.net.discovery;

import java.util.SplittableRandom;

/**
 * The delays between calls to discovery that fail: doubled each time, with jitter, since the calls
 * of a whole fleet fail together. Bounded so that a call that is given up after a second, the delay
 * behind it, and a connect and a response of a second in all fit within {@link
 * AgentSource#RECOVERY_LIMIT_MS}.
 */
final class ExponentialBackoffPolicy {
  static final double MAX_DELAY_MS = 3000;

  private final double initialDelayMs;
  private final SplittableRandom random;
  private double delayCeilingMs;

  /**
   * Creates a policy.
   *
   * @param initialDelayMs the longest that the first delay may be
   * @param seed seeds the jitter: the time, which differs between processes
   */
  ExponentialBackoffPolicy(double initialDelayMs, double seed) {
    this.initialDelayMs = initialDelayMs;
    random = new SplittableRandom(Double.doubleToLongBits(seed));
    delayCeilingMs = initialDelayMs;
  }

  /** The next delay (ms): between half of what it may be and all of it. */
  double nextDelayMs() {
    double delayMs = delayCeilingMs * (0.5 + random.nextDouble() / 2);
    delayCeilingMs = Math.min(2 * delayCeilingMs, MAX_DELAY_MS);
    return delayMs;
  }

  /** A call has been answered: the next delay is the first one again. */
  void reset() {
    delayCeilingMs = initialDelayMs;
  }
}
