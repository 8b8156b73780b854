package edgenode.membership;

/**
 * The times (ms) and thresholds by which {@link Membership} weighs what is reported.
 *
 * @param recoveryDelayMs an endpoint that comes back is up so much later; doubled for each time
 *     that it went down within {@code flapWindowMs}, up to {@code maxRecoveryDelayMs}
 * @param maxRecoveryDelayMs the longest such delay
 * @param flapWindowMs how long it is remembered that an endpoint went down, or was removed
 * @param minRetainedShare a complete list that leaves less than this share (0 to 1) of the
 *     endpoints up is not applied at once
 * @param shrunkListQuarantineMs how long endpoints that such a list lacks stay in use while they
 *     respond
 * @param emptyListQuarantineMs the same where the list leaves none
 * @param livenessWindowMs an endpoint is alive if a response came within this time
 * @param staleVersionTimeoutMs how long versions may be out of order before all sources fetch the
 *     complete list again
 * @param retiredSourceTtlMs how long after it was closed a retired source may keep endpoints down
 * @param staleViewAfterMs a view that nothing has confirmed for so long is reported as stale
 * @param warmUpMs how long after its start a process is warming up
 * @param refusedConnectThreshold so many refused connects in a row, with none established, make an
 *     endpoint unreachable
 * @param connectTimeoutThreshold the same for connects that timed out
 */
public record MembershipLimits(
    double recoveryDelayMs,
    double maxRecoveryDelayMs,
    double flapWindowMs,
    double minRetainedShare,
    double shrunkListQuarantineMs,
    double emptyListQuarantineMs,
    double livenessWindowMs,
    double staleVersionTimeoutMs,
    double retiredSourceTtlMs,
    double staleViewAfterMs,
    double warmUpMs,
    int refusedConnectThreshold,
    int connectTimeoutThreshold) {

  private static final double DEFAULT_RECOVERY_DELAY_MS = 100;
  private static final double DEFAULT_MAX_RECOVERY_DELAY_MS = 1600;
  private static final double DEFAULT_FLAP_WINDOW_MS = 10_000;
  private static final double DEFAULT_MIN_RETAINED_SHARE = 0.5;
  private static final double DEFAULT_SHRUNK_LIST_QUARANTINE_MS = 2000;
  private static final double DEFAULT_EMPTY_LIST_QUARANTINE_MS = 30_000;
  private static final double DEFAULT_LIVENESS_WINDOW_MS = 1000;
  private static final double DEFAULT_STALE_VERSION_TIMEOUT_MS = 2000;
  private static final double DEFAULT_RETIRED_SOURCE_TTL_MS = 2000;
  private static final double DEFAULT_STALE_VIEW_AFTER_MS = 5000;
  private static final int DEFAULT_REFUSED_CONNECT_THRESHOLD = 2;
  private static final int DEFAULT_CONNECT_TIMEOUT_THRESHOLD = 3;

  /** A minRetainedShare under which only a list without any endpoint that is up is quarantined. */
  private static final double EMPTY_LISTS_ONLY = 1e-9;

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException where one is out of range
   */
  public MembershipLimits {
    require(recoveryDelayMs >= 0, "recoveryDelayMs", recoveryDelayMs);
    require(maxRecoveryDelayMs >= recoveryDelayMs, "maxRecoveryDelayMs", maxRecoveryDelayMs);
    require(flapWindowMs >= 0, "flapWindowMs", flapWindowMs);
    require(minRetainedShare >= 0 && minRetainedShare <= 1, "minRetainedShare", minRetainedShare);
    require(shrunkListQuarantineMs >= 0, "shrunkListQuarantineMs", shrunkListQuarantineMs);
    require(
        emptyListQuarantineMs >= shrunkListQuarantineMs,
        "emptyListQuarantineMs",
        emptyListQuarantineMs);
    require(livenessWindowMs > 0, "livenessWindowMs", livenessWindowMs);
    require(staleVersionTimeoutMs > 0, "staleVersionTimeoutMs", staleVersionTimeoutMs);
    require(retiredSourceTtlMs >= 0, "retiredSourceTtlMs", retiredSourceTtlMs);
    require(staleViewAfterMs > 0, "staleViewAfterMs", staleViewAfterMs);
    require(warmUpMs >= 0, "warmUpMs", warmUpMs);
    require(refusedConnectThreshold > 0, "refusedConnectThreshold", refusedConnectThreshold);
    require(connectTimeoutThreshold > 0, "connectTimeoutThreshold", connectTimeoutThreshold);
  }

  private static void require(boolean isValid, String limit, double found) {
    if (!isValid) {
      throw new IllegalArgumentException("membership limit out of range: " + limit + " " + found);
    }
  }

  /** The defaults for other installations than the platform. */
  public static MembershipLimits defaults(double warmUpMs) {
    return new MembershipLimits(
        DEFAULT_RECOVERY_DELAY_MS,
        DEFAULT_MAX_RECOVERY_DELAY_MS,
        DEFAULT_FLAP_WINDOW_MS,
        DEFAULT_MIN_RETAINED_SHARE,
        DEFAULT_SHRUNK_LIST_QUARANTINE_MS,
        DEFAULT_EMPTY_LIST_QUARANTINE_MS,
        DEFAULT_LIVENESS_WINDOW_MS,
        DEFAULT_STALE_VERSION_TIMEOUT_MS,
        DEFAULT_RETIRED_SOURCE_TTL_MS,
        DEFAULT_STALE_VIEW_AFTER_MS,
        warmUpMs,
        DEFAULT_REFUSED_CONNECT_THRESHOLD,
        DEFAULT_CONNECT_TIMEOUT_THRESHOLD);
  }

  /**
   * The limits on the platform, whose rule is that an endpoint which a complete list lacks is
   * removed, also while it still responds: only an empty list is not applied at once.
   */
  public static MembershipLimits platform(double warmUpMs) {
    MembershipLimits defaults = defaults(warmUpMs);
    return new MembershipLimits(
        defaults.recoveryDelayMs,
        defaults.maxRecoveryDelayMs,
        defaults.flapWindowMs,
        EMPTY_LISTS_ONLY,
        defaults.shrunkListQuarantineMs,
        defaults.emptyListQuarantineMs,
        defaults.livenessWindowMs,
        defaults.staleVersionTimeoutMs,
        defaults.retiredSourceTtlMs,
        defaults.staleViewAfterMs,
        warmUpMs,
        defaults.refusedConnectThreshold,
        defaults.connectTimeoutThreshold);
  }
}
