package edgenode.eventloop;

/**
 * How long events wait for a busy event loop, estimated by how late its timers run. A decaying
 * maximum: one late timer raises the estimate at once, and without further ones it halves every
 * {@link #HALF_LIFE_MS}. No I/O and no clock of its own; a sample costs a comparison and one power.
 *
 * <p>The system does not tell when bytes came that have only now been read: a timer that fell due
 * in the same pass of the loop waited for the same work, and its delay is known.
 */
final class QueueingDelayEstimator {
  /**
   * In ms: a start or a burst keeps a loop busy for some hundreds of ms, with short passes in
   * between.
   */
  static final double HALF_LIFE_MS = 500;

  private double peakMs;
  private double peakAtMs = Double.NEGATIVE_INFINITY;

  /**
   * A timer has run.
   *
   * @param nowMs the time (ms)
   * @param delayMs by how much it was late (ms); less than 0 counts as in time
   */
  void sample(double nowMs, double delayMs) {
    if (delayMs >= estimateMs(nowMs)) {
      peakMs = Math.max(0, delayMs);
      peakAtMs = nowMs;
    }
  }

  /** For how long (ms) what is handled at this time may have waited; 0 before the first sample. */
  double estimateMs(double nowMs) {
    return peakMs == 0 ? 0 : peakMs * Math.pow(0.5, Math.max(0, nowMs - peakAtMs) / HALF_LIFE_MS);
  }
}
