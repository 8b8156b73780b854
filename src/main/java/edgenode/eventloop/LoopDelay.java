package edgenode.eventloop;

/**
 * How long events wait for a busy event loop, estimated by how late its timers run. A decaying
 * maximum: one late timer raises the estimate at once, and without further ones it halves every
 * {@link #HALF_LIFE}. No I/O and no clock of its own; a sample costs a comparison and one power.
 *
 * <p>The system does not tell when bytes came that have only now been read: a timer that fell due
 * in the same pass of the loop waited for the same work, and its delay is known.
 */
final class LoopDelay {
  /**
   * In ms: a start or a burst keeps a loop busy for some hundreds of ms, with short passes in
   * between.
   */
  static final double HALF_LIFE = 500;

  private double peak;
  private double peakAt = Double.NEGATIVE_INFINITY;

  /**
   * A timer has run.
   *
   * @param now the time (ms)
   * @param delay by how much it was late (ms); less than 0 counts as in time
   */
  void sample(double now, double delay) {
    if (delay >= estimate(now)) {
      peak = Math.max(0, delay);
      peakAt = now;
    }
  }

  /** For how long (ms) what is handled at this time may have waited; 0 before the first sample. */
  double estimate(double now) {
    return peak == 0 ? 0 : peak * Math.pow(0.5, Math.max(0, now - peakAt) / HALF_LIFE);
  }
}
