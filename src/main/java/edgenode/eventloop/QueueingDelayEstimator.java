package edgenode.eventloop;

/**
 * Estimates how long events wait for a busy event loop, from how late its timers run. A decaying
 * maximum: a late timer raises the estimate at once, and without another one it halves every {@link
 * #HALF_LIFE_MS}. A sample costs a comparison and one power.
 *
 * <p>The system does not say when bytes arrived that are read now. A timer that was due in the same
 * pass of the loop has waited for the same work, and its delay is known.
 */
final class QueueingDelayEstimator {
  /** A start or a burst keeps a loop busy for some 100 ms, with short passes in between. */
  static final double HALF_LIFE_MS = 500;

  private double peakMs;
  private double peakAtMs = Double.NEGATIVE_INFINITY;

  /**
   * A timer has run.
   *
   * @param delayMs by how much it was late; less than 0 counts as in time
   */
  void sample(double nowMs, double delayMs) {
    if (delayMs >= estimateMs(nowMs)) {
      peakMs = Math.max(0, delayMs);
      peakAtMs = nowMs;
    }
  }

  /** How long an event that is handled now may have waited; 0 before the first late timer. */
  double estimateMs(double nowMs) {
    return peakMs == 0 ? 0 : peakMs * Math.pow(0.5, Math.max(0, nowMs - peakAtMs) / HALF_LIFE_MS);
  }
}
