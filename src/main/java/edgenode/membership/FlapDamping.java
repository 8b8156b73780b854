package edgenode.membership;

/**
 * Delays the return of one endpoint that went down: by {@link MembershipLimits#recoveryDelayMs},
 * doubled for each time that it went down within {@link MembershipLimits#flapWindowMs}, up to
 * {@link MembershipLimits#maxRecoveryDelayMs}. It goes down at once.
 */
final class FlapDamping {
  /** Bounds the exponent; the longest delay is reached long before. */
  private static final int MAX_FALLS = 16;

  private final MembershipLimits limits;
  private double upAtMs = Double.NEGATIVE_INFINITY;
  private double downAtMs = Double.NEGATIVE_INFINITY;
  private int recentFalls;

  FlapDamping(MembershipLimits limits) {
    this.limits = limits;
  }

  /** When it last went down (ms), negative infinity where it never has. */
  double downAtMs() {
    return downAtMs;
  }

  /**
   * The endpoint could come up now.
   *
   * @return whether it must stay down, until {@link #upAtMs}
   */
  boolean isSuppressed(double nowMs) {
    return nowMs < upAtMs;
  }

  boolean hasBeenDown() {
    return downAtMs > Double.NEGATIVE_INFINITY;
  }

  boolean isRecoveryScheduled() {
    return upAtMs != Double.NEGATIVE_INFINITY;
  }

  /** Starts the delay; returns when it ends (ms). */
  double scheduleRecovery(double nowMs) {
    upAtMs =
        nowMs
            + Math.min(
                limits.maxRecoveryDelayMs(), limits.recoveryDelayMs() * Math.pow(2, recentFalls));
    return upAtMs;
  }

  void cancelRecovery() {
    upAtMs = Double.NEGATIVE_INFINITY;
  }

  /** It went down. */
  void wentDown(double nowMs) {
    recentFalls =
        nowMs - downAtMs < limits.flapWindowMs() ? Math.min(recentFalls + 1, MAX_FALLS) : 0;
    downAtMs = nowMs;
    upAtMs = Double.NEGATIVE_INFINITY;
  }
}
