package edgenode.membership;

/**
 * Whether one endpoint is alive, by its connections and responses: it is unreachable after several
 * failed connects in a row while it has no connection, until a connect succeeds.
 */
final class EndpointLiveness {
  private final MembershipLimits limits;
  private double lastSeenMs = Double.NEGATIVE_INFINITY;
  private int refusedConnects;
  private int timedOutConnects;
  private boolean isUnreachable;

  EndpointLiveness(MembershipLimits limits) {
    this.limits = limits;
  }

  boolean isUnreachable() {
    return isUnreachable;
  }

  /** Whether it was seen alive within {@link MembershipLimits#livenessWindowMs}. */
  boolean isAlive(double nowMs) {
    return nowMs - lastSeenMs < limits.livenessWindowMs();
  }

  /** When it counts as alive no longer unless it is seen again (ms). */
  double aliveUntilMs() {
    return lastSeenMs + limits.livenessWindowMs();
  }

  /** Whether it was ever seen alive, and no connect has failed since. */
  boolean isHealthy() {
    return lastSeenMs > Double.NEGATIVE_INFINITY && !hasFailedConnects();
  }

  boolean hasFailedConnects() {
    return refusedConnects + timedOutConnects > 0;
  }

  /** Whether enough connects were refused to tell that its process has ended. */
  boolean wasRefused() {
    return refusedConnects >= limits.refusedConnectThreshold();
  }

  /** A connection or a response of it was seen. */
  void seen(double nowMs) {
    lastSeenMs = nowMs;
  }

  /** Connects no longer fail, or the endpoint was removed. */
  void resetFailures() {
    refusedConnects = 0;
    timedOutConnects = 0;
  }

  /**
   * A connect failed while no connection was established.
   *
   * @return whether the endpoint has become unreachable by it
   */
  boolean connectFailed(double nowMs, boolean isRefused) {
    if (isRefused) {
      refusedConnects++;
    } else {
      timedOutConnects++;
    }
    boolean isPastThreshold =
        wasRefused() || timedOutConnects >= limits.connectTimeoutThreshold() && !isAlive(nowMs);
    if (isUnreachable || !isPastThreshold) {
      return false;
    }
    isUnreachable = true;
    return true;
  }

  void markReachable() {
    isUnreachable = false;
  }
}
