package edgenode.policy;

/**
 * Whether a request may be sent again, and whether it may be rejected rather than failed.
 *
 * <p>Inputs: the idempotency of its class, its attempts, the time (ms). Two attempts of a request
 * are never in flight together: there are no hedged requests.
 */
final class RetryPolicy {
  private final PolicyTimers timers;
  private final double timerResolutionMs;
  private final int maxAttempts;

  RetryPolicy(PolicySettings settings, PolicyTimers timers) {
    this.timers = timers;
    timerResolutionMs = settings.timerResolutionMs();
    maxAttempts = settings.capabilities().maxAttempts();
  }

  /** Whether another attempt is allowed and of use, once all attempts have ended. */
  boolean shouldRetry(PendingRequest request) {
    double nowMs = timers.nowMs();
    return nowMs < request.usefulUntilMs
        && nowMs < request.lastAnswerMs(timerResolutionMs)
        && request.attempts.size() < maxAttempts
        && isRepeatable(request);
  }

  /** Whether another attempt does no harm, wherever it goes. */
  private boolean isRepeatable(PendingRequest request) {
    Attempt first = request.firstThatMayHaveRun();
    if (first == null) {
      return true;
    }
    RequestClass requestClass = request.requestClass();
    return switch (requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case KEYED ->
          timers.nowMs() - first.sentAtMs
              < requestClass.idempotencyWindowMs() - 2 * timerResolutionMs;
      case NOT_IDEMPOTENT -> false;
    };
  }

  /**
   * Whether the final answer may be a rejection, after which the client may safely send the request
   * again: nothing ran, or repeating it does no harm.
   */
  boolean canReject(PendingRequest request) {
    RequestClass requestClass = request.requestClass();
    return requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.KEYED
            && requestClass.group() == IdempotencyGroup.ALL
        || request.firstThatMayHaveRun() == null;
  }
}
