package edgenode.policy;

/**
 * How far an estimate of a customer's bucket is trusted in place of a call to the counter.
 *
 * <p>Inputs: the last reading of the bucket (units), what was spent here since, this node's share
 * of the customer's traffic, the plan's prices, the pace. Reason: the counter cannot serve a call
 * for each request of a large fleet, and a request that waits in vain for an answer earns nothing.
 */
final class UsageEstimator {
  /** Reserved for what other nodes have sent since the last reading: a part of the burst. */
  private static final double MAX_UNSEEN_BURST_SHARE = 0.25;

  /** An add for an under-sampled customer stands for this many times itself at most. */
  private static final double MAX_REPORT_FACTOR = 2.5;

  /** Being over quota is taken to earn less than being within it. */
  private static final double MAX_OVER_QUOTA_WEIGHT = 0.99;

  private final PolicyTimers timers;
  private final CounterCallBudget counterCalls;
  private final Pacer pacer;

  /** Units of under-sampled customers lately: spent, and reported to the counter. */
  private double spentUnits;

  private double reportedUnits;

  UsageEstimator(PolicyTimers timers, CounterCallBudget counterCalls, Pacer pacer) {
    this.timers = timers;
    this.counterCalls = counterCalls;
    this.pacer = pacer;
  }

  /**
   * Whether a request goes by the estimate: where no call can be had or none was answered, being
   * right earns more than being wrong costs, and the estimate covers it.
   */
  boolean covers(Customer customer, PendingRequest request) {
    boolean isUnanswered = customer.isCallUnanswered && timers.nowMs() < customer.nextCallAtMs;
    QuotaPlan plan = customer.plan;
    return !customer.isUnshared
        && (!customer.isCallInFlight || isUnanswered)
        && (isUnanswered || !counterCalls.canCall() || leavesCallToOthers(customer))
        && plan.ceilingRatePerSecond() <= 0
        && !request.incoming.isClientRetry()
        && isTrusted(customer)
        && estimatedUnits(customer) >= request.units() + unseenUnits(customer);
  }

  /** The last calls of a tick are left to customers whose buckets may be short. */
  private boolean leavesCallToOthers(Customer customer) {
    return customer.hasReading
        && counterCalls.isEmptierThan(estimatedUnits(customer), customer.plan.burstUnits());
  }

  private double unseenUnits(Customer customer) {
    double sinceReadingMs = timers.nowMs() - customer.lastReadAtMs;
    return Math.min(
        MAX_UNSEEN_BURST_SHARE * customer.plan.burstUnits(),
        customer.plan.ratePerSecond() / 1000 * sinceReadingMs);
  }

  /** Sending earns more than it costs, by the plan's prices, and endpoints are not overloaded. */
  boolean isTrusted(Customer customer) {
    double cost = customer.plan.overQuotaCost();
    double earned = Math.min(customer.plan.overQuotaWeight(), MAX_OVER_QUOTA_WEIGHT);
    return !pacer.areEndpointsOverloaded() && customer.grantShare > cost / (1 + cost - earned);
  }

  /** What the customer's bucket is taken to hold now. */
  private double estimatedUnits(Customer customer) {
    double sinceEstimateMs = timers.nowMs() - customer.estimatedAtMs;
    return Math.min(
        customer.plan.burstUnits(),
        customer.estimatedUnits + customer.plan.ratePerSecond() / 1000 * sinceEstimateMs);
  }

  /** Units were spent that no reservation covers: all nodes together spend in proportion. */
  void recordUncovered(Customer customer, int units) {
    customer.estimatedUnits = estimatedUnits(customer) - units / customer.usageShare;
    customer.estimatedAtMs = timers.nowMs();
  }

  /** The counter was read. */
  void recordReading(Customer customer, double bucketUnits) {
    customer.lastReadUnits = bucketUnits;
    customer.estimatedUnits = bucketUnits;
    customer.hasReading = true;
    customer.lastReadAtMs = timers.nowMs();
    customer.estimatedAtMs = timers.nowMs();
  }

  void recordSpent(Customer customer, int units) {
    if (customer.isUnderSampled) {
      spentUnits += units;
    }
  }

  /**
   * By how much an add to the counter is multiplied. Of under-sampled customers a part of what is
   * spent is reported; it stands for the rest (Horvitz and Thompson 1952).
   *
   * @param units what the add is for
   */
  double reportFactor(Customer customer, double units) {
    if (!customer.isUnderSampled) {
      return 1;
    }
    reportedUnits += units;
    return Math.max(1, Math.min(MAX_REPORT_FACTOR, spentUnits / reportedUnits));
  }

  void onQuotaTick() {
    spentUnits *= 1 - Ewma.SLOW_WEIGHT;
    reportedUnits *= 1 - Ewma.SLOW_WEIGHT;
  }
}
