package edgenode.simulation.invariants;

/**
 * A store of units that starts full, fills at a rate and holds its burst at most (a token bucket).
 * Times in ms.
 */
final class Bucket {
  /** Sums of parts of units that are one unit, but for the last bit. */
  private static final double ROUNDING = 1e-9;

  private final double rate;
  private final double burst;
  private double units;
  private double at;

  /**
   * @param rate units a second
   */
  Bucket(double rate, double burst, double now) {
    this.rate = rate;
    this.burst = burst;
    units = burst;
    at = now;
  }

  /** What it holds now. */
  double units(double now) {
    units = Math.min(burst, units + rate * Math.max(0, now - at) / 1000);
    at = Math.max(at, now);
    return units;
  }

  boolean holds(double now, double wanted) {
    return units(now) + ROUNDING >= wanted;
  }

  /** May take it below nothing. */
  void take(double now, double wanted) {
    units = units(now) - wanted;
  }
}
