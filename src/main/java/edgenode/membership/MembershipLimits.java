package edgenode.membership;

/**
 * The times (ms) and shares by which {@link Membership} weighs what it is told.
 *
 * @param recoveryDelayMs a server that comes back up is shown so this much later; doubled for each
 *     time that it went down within {@code flapWindow}, up to {@code upAfterMost}
 * @param maxRecoveryDelayMs the longest such wait
 * @param flapWindowMs how long a fall is remembered
 * @param minRetainedShare a whole list that leaves less than this share (0 to 1) of the servers
 *     shown up is held
 * @param shrunkListQuarantineMs how long servers that such a list lacks are kept while they answer
 * @param emptyListQuarantineMs the same where it leaves none
 * @param livenessWindowMs a server answers if one came within this time
 * @param staleVersionTimeoutMs how long a source that goes back in versions may take servers down,
 *     before all are asked anew
 * @param retiredSourceTtlMs how long after its end a source that was left may keep servers down
 * @param staleViewAfterMs a view that nothing has confirmed for so long is told as old
 * @param warmUpMs an address is remembered as cold for so long after its server's start
 * @param refusedConnectThreshold so many refused connects in a row, none standing, make a server
 *     dead
 * @param connectTimeoutThreshold the same for connects that never came up
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

  /** A share that every list reaches which names a server at all. */
  private static final double EMPTY_ONLY = 1e-9;

  public MembershipLimits {
    if (!(recoveryDelayMs >= 0
        && maxRecoveryDelayMs >= recoveryDelayMs
        && flapWindowMs >= 0
        && minRetainedShare >= 0
        && minRetainedShare <= 1
        && shrunkListQuarantineMs >= 0
        && emptyListQuarantineMs >= shrunkListQuarantineMs
        && livenessWindowMs > 0
        && staleVersionTimeoutMs > 0
        && retiredSourceTtlMs >= 0
        && staleViewAfterMs > 0
        && warmUpMs >= 0
        && refusedConnectThreshold > 0
        && connectTimeoutThreshold > 0)) {
      throw new IllegalArgumentException("limits of membership are out of range: " + this);
    }
  }

  /** The defaults; {@code warm} is the platform's time (ms) for a server to get warm. */
  public static MembershipLimits defaults(double warmUpMs) {
    return new MembershipLimits(
        100, 1600, 10_000, 0.5, 2000, 30_000, 1000, 2000, 2000, 5000, warmUpMs, 2, 3);
  }

  /**
   * The limits on the platform, whose page has it that what a whole list does not name is gone,
   * also where it still answers: no list is held but an empty one.
   */
  public static MembershipLimits platform(double warmUpMs) {
    MembershipLimits defaults = defaults(warmUpMs);
    return new MembershipLimits(
        defaults.recoveryDelayMs,
        defaults.maxRecoveryDelayMs,
        defaults.flapWindowMs,
        EMPTY_ONLY,
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
