package edgenode.policy;

/**
 * How many attempts of this node an endpoint may have in flight: additive increase, multiplicative
 * decrease.
 *
 * <p>Inputs: answer times against latency objectives (ms). A limit under one is a pause between
 * attempts, as one attempt of every node can be too much for an endpoint.
 */
final class ConcurrencyLimiter {
  /** The limit of a new endpoint: about two for each core of a small machine. */
  static final double INITIAL_LIMIT = 4;

  /** A slow answer takes a tenth off: some answers are slow by themselves. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Least limit: an attempt in eight half objectives still shows soon when it gets better. */
  private static final double MIN_LIMIT = 1.0 / 8;

  /**
   * Slow is over a quarter of the objective: the rest is for the queue here and another attempt.
   */
  private static final double SLOW_DIVISOR = 4;

  private final PolicyTimers timers;
  private final double meanObjectiveMs;

  ConcurrencyLimiter(PolicyTimers timers, double meanObjectiveMs) {
    this.timers = timers;
    this.meanObjectiveMs = meanObjectiveMs;
  }

  boolean hasCapacity(Endpoint endpoint) {
    double limit = endpoint.concurrencyLimit;
    if (!endpoint.inFlight.isEmpty()) {
      return !endpoint.isOnTrial && endpoint.inFlight.size() + 1 <= limit;
    }
    return limit >= 1 || timers.nowMs() >= endpoint.lastSentMs + meanObjectiveMs / 2 / limit;
  }

  /** An attempt was answered, or timed out, and is no longer in flight. */
  void recordAnswer(Endpoint endpoint, double tookMs, double objectiveMs) {
    double limit = endpoint.concurrencyLimit;
    if (tookMs > objectiveMs / SLOW_DIVISOR) {
      endpoint.concurrencyLimit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
    } else if (endpoint.inFlight.size() + 1 >= (int) limit) {
      endpoint.concurrencyLimit += 1 / Math.max(1, limit);
    }
  }
}
