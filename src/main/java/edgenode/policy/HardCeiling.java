package edgenode.policy;

/**
 * The hard ceiling of a plan, which nothing may exceed whatever the counter says: a token bucket of
 * this node's even part.
 *
 * <p>Inputs: the plan's ceiling (units a second, burst units) and the customer's node spread. The
 * bucket is empty at the start, and its burst is rounded down, so that all nodes together stay
 * under the ceiling. A rate of 0 means no ceiling.
 */
final class HardCeiling {
  private final PolicyTimers timers;

  HardCeiling(PolicyTimers timers) {
    this.timers = timers;
  }

  boolean hasRoom(Customer customer, PendingRequest request) {
    QuotaPlan plan = customer.plan;
    if (plan.ceilingRatePerSecond() <= 0) {
      return true;
    }
    double nowMs = timers.nowMs();
    double seconds = (nowMs - customer.ceilingRefilledAtMs) / 1000;
    customer.ceilingUnits =
        Math.min(
            Math.floor(plan.ceilingBurstUnits() / customer.nodeSpread),
            customer.ceilingUnits + seconds * plan.ceilingRatePerSecond() / customer.nodeSpread);
    customer.ceilingRefilledAtMs = nowMs;
    return customer.ceilingUnits >= request.units();
  }

  void spend(Customer customer, int units) {
    customer.ceilingUnits -= units;
  }
}
