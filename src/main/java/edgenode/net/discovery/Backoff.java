package edgenode.net.discovery;

import java.util.SplittableRandom;

/**
 * The waits between calls to discovery that fail: doubled each time, with jitter, as a whole
 * fleet's calls fail together. Bounded so that a call that is given up after a second, the wait
 * behind it, and a connect and an answer of a second in all fit within the operators' term of
 * {@link AgentSource#TERM}. Time is only its chance's seed.
 */
final class Backoff {
  /** The longest wait (ms). */
  static final double MOST = 3000;

  private final double first;
  private final SplittableRandom random;
  private double most;

  /**
   * @param first the longest that the first wait may be (ms)
   * @param seed the time: no two processes have the same, to the fraction of a ms
   */
  Backoff(double first, double seed) {
    this.first = first;
    random = new SplittableRandom(Double.doubleToLongBits(seed));
    most = first;
  }

  /** The next wait (ms): between half of what it may be and all of it. */
  double next() {
    double wait = most * (0.5 + random.nextDouble() / 2);
    most = Math.min(2 * most, MOST);
    return wait;
  }

  /** A call has been answered. */
  void reset() {
    most = first;
  }
}
