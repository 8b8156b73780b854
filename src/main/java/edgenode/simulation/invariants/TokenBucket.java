package edgenode.simulation.invariants;

/**
 * A store of units that starts full, fills at a rate and holds its burst at most (a token bucket).
 * Times in ms.
 */
final class TokenBucket {
  /** Sums of parts of units that are one unit, but for the last bit. */
  private static final double ROUNDING = 1e-9;

  private final double unitsPerSecond;
  private final double burst;
  private double units;
  private double updatedAtMs;

  /**
   * @param rate units a second
   */
  TokenBucket(double rate, double burst, double now) {
    this.unitsPerSecond = rate;
    this.burst = burst;
    units = burst;
    updatedAtMs = now;
  }

  /** What it holds now. */
  double units(double now) {
    units = Math.min(burst, units + unitsPerSecond * Math.max(0, now - updatedAtMs) / 1000);
    updatedAtMs = Math.max(updatedAtMs, now);
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
