package edgenode.simulation.fleet;

/**
 * A customer. Its token bucket is the true quota over all nodes, which no node sees; it tells the
 * units within the quota from those beyond.
 */
final class Tenant {
  private static final double MIN_BURST_UNITS = 4;
  private static final double BURST_SECONDS = 2;

  final String name;
  final String plan;

  /** Requests a second over all nodes. */
  final double requestsPerSecond;

  /** Nodes that its requests come through. */
  final int spread;

  private final double quotaPerSecond;
  private double tokens;
  private double refilledMs;

  Tenant(String name, int planStep, int spread, double requestsPerSecond, double nowMs) {
    this.name = name;
    this.spread = spread;
    this.requestsPerSecond = requestsPerSecond;
    plan = "p" + planStep;
    quotaPerSecond = FleetAssumptions.planRatePerSecond(planStep);
    tokens = Math.max(MIN_BURST_UNITS, BURST_SECONDS * quotaPerSecond);
    refilledMs = nowMs;
  }

  /** Takes one unit from the quota; false where the quota has none, and nothing is taken. */
  boolean takeUnit(double nowMs) {
    tokens =
        Math.min(
            Math.max(MIN_BURST_UNITS, BURST_SECONDS * quotaPerSecond),
            tokens + quotaPerSecond * (nowMs - refilledMs) / 1000);
    refilledMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
