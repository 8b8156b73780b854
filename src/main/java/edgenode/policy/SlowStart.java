package edgenode.policy;

import java.util.Random;

/**
 * What an endpoint that has just started may get: a token bucket of attempts, by this node's mean
 * to a warm endpoint and the part of its capacity that this one has by now.
 *
 * <p>Inputs: start times, attempts sent to warm endpoints (a second), the rule's figures. Reason:
 * an endpoint that warms up bears a part of its load only, from all nodes together.
 */
final class SlowStart {
  private final RuleLimits rules;
  private final PolicyTimers timers;
  private final Random random;

  /** The budget of an endpoint over what its capacity allows: half of what would overload it. */
  private final double budgetFactor;

  /** Moving average of this node's attempts to one warm endpoint. */
  private double warmRatePerSecond;

  private double warmAttemptsInTick;

  SlowStart(PolicySettings settings, PolicyTimers timers, Random random) {
    rules = settings.rules();
    this.timers = timers;
    this.random = random;
    budgetFactor = Math.max(1, rules.overloadFactor() / 2);
  }

  /** The least part of its capacity that an endpoint can have by now, 1 when it is warm. */
  double capacityShare(Endpoint endpoint) {
    double ageMs = timers.nowMs() - endpoint.warmUpStartMs;
    double warmUpMs = rules.warmUpMs();
    if (ageMs >= warmUpMs) {
      return 1;
    }
    double coldShare = rules.coldCapacityShare();
    return coldShare + (1 - coldShare) * Math.max(0, ageMs) / warmUpMs;
  }

  boolean isWarm(Endpoint endpoint) {
    return capacityShare(endpoint) >= 1;
  }

  /** Whether an endpoint may get an attempt now. */
  boolean hasBudget(Endpoint endpoint) {
    return isWarm(endpoint) || refill(endpoint) >= 1;
  }

  private double refill(Endpoint endpoint) {
    double ratePerMs = warmRatePerSecond / 1000 * capacityShare(endpoint) * budgetFactor;
    double nowMs = timers.nowMs();
    endpoint.slowStartTokens =
        Math.min(
            Math.max(1, ratePerMs * rules.overloadWindowMs()),
            endpoint.slowStartTokens + ratePerMs * (nowMs - endpoint.slowStartRefilledAtMs));
    endpoint.slowStartRefilledAtMs = nowMs;
    return endpoint.slowStartTokens;
  }

  /** An endpoint was listed: it may have started a moment ago. */
  void endpointListed(Endpoint endpoint, double startedAtMs) {
    if (startedAtMs > 0 && startedAtMs + rules.warmUpMs() > timers.nowMs()) {
      startWarmUp(endpoint, startedAtMs);
    }
  }

  /**
   * An endpoint is warming up since a time. Its budget starts anywhere under one attempt: one of
   * each node at once would be far too much.
   */
  void startWarmUp(Endpoint endpoint, double sinceMs) {
    if (isWarm(endpoint)) {
      endpoint.slowStartTokens = random.nextDouble();
      endpoint.slowStartRefilledAtMs = timers.nowMs();
    }
    endpoint.warmUpStartMs = Math.max(endpoint.warmUpStartMs, sinceMs);
  }

  void recordAttempt(Endpoint endpoint) {
    endpoint.slowStartTokens -= 1;
    if (isWarm(endpoint)) {
      warmAttemptsInTick++;
    }
  }

  /**
   * Learns the mean rate of a warm endpoint.
   *
   * @param endpoints those of the subset
   */
  void onQuotaTick(Iterable<Endpoint> endpoints) {
    long warm = 0;
    for (Endpoint endpoint : endpoints) {
      if (endpoint.isListed && isWarm(endpoint)) {
        warm++;
      }
    }
    if (warm > 0) {
      double perSecond = warmAttemptsInTick * 1000 / PolicyTimers.QUOTA_TICK_MS / warm;
      warmRatePerSecond += (perSecond - warmRatePerSecond) * Ewma.FAST_WEIGHT;
    }
    warmAttemptsInTick = 0;
  }
}
