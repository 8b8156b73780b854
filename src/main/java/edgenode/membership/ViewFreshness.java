package edgenode.membership;

/** How long ago a source last confirmed the view; a view that is stale is reported and stays. */
final class ViewFreshness {
  private final MembershipLimits limits;
  private final UpdateContext context;
  private double confirmedAtMs = Double.NaN;
  private boolean isStale;

  ViewFreshness(MembershipLimits limits, UpdateContext context) {
    this.limits = limits;
    this.context = context;
  }

  /** Whether the view was reported as stale and has not been confirmed since. */
  boolean isStale() {
    return isStale;
  }

  /** The source in use has reported something. */
  void confirm(String sourceId) {
    confirmedAtMs = context.nowMs();
    if (isStale) {
      isStale = false;
      context.report("the endpoint list is confirmed again by " + sourceId);
    }
  }

  /** Reports the view as stale where nothing has confirmed it for too long. */
  void check(String sourceId) {
    double ageMs = context.nowMs() - confirmedAtMs;
    if (!isStale && !Double.isNaN(confirmedAtMs) && ageMs >= limits.staleViewAfterMs()) {
      isStale = true;
      context.report(
          "the endpoint list is stale: no update from "
              + sourceId
              + " for "
              + Math.round(ageMs)
              + " ms; the last list stays in use");
    }
  }

  /** When {@link #check} is due (ms), infinite where it is not. */
  double deadlineMs() {
    return isStale || Double.isNaN(confirmedAtMs)
        ? Double.POSITIVE_INFINITY
        : confirmedAtMs + limits.staleViewAfterMs();
  }

  /** Time since the last confirmation (ms), infinite where there was none. */
  double ageMs(double nowMs) {
    return Double.isNaN(confirmedAtMs)
        ? Double.POSITIVE_INFINITY
        : Math.max(0, nowMs - confirmedAtMs);
  }
}
