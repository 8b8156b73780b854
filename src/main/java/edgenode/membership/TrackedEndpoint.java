package edgenode.membership;

import edgenode.policy.EndpointState;

/** What {@link Membership} remembers of one endpoint, until it was removed for long enough. */
final class TrackedEndpoint {
  final EndpointLiveness liveness;
  final FlapDamping damping;

  /** As last reported to the caller, null while it is not in the view. */
  private DiscoveredEndpoint visible;

  /** When it was removed from the view (ms), NaN while it is in it and before. */
  private double removedAtMs = Double.NaN;

  private boolean isResponseAfterRemovalReported;

  TrackedEndpoint(MembershipLimits limits) {
    liveness = new EndpointLiveness(limits);
    damping = new FlapDamping(limits);
  }

  /** As last reported to the caller, null while it is not in the view. */
  DiscoveredEndpoint visible() {
    return visible;
  }

  boolean isVisiblyUp() {
    return visible != null && visible.info().state() == EndpointState.UP;
  }

  /** It is in the view as given. */
  void show(DiscoveredEndpoint endpoint) {
    visible = endpoint;
    removedAtMs = Double.NaN;
    isResponseAfterRemovalReported = false;
  }

  /** It leaves the view. */
  void hide(double nowMs) {
    visible = null;
    removedAtMs = nowMs;
  }

  /** When it was last removed or went down (ms), whichever is later. */
  double inactiveSinceMs() {
    return Double.isNaN(removedAtMs)
        ? damping.downAtMs()
        : Math.max(damping.downAtMs(), removedAtMs);
  }

  /**
   * It responded.
   *
   * @param graceMs how long after its removal responses to earlier requests may still come
   * @return whether it must be reported as removed and still responding: true once
   */
  boolean isUnexpectedResponse(double nowMs, double graceMs) {
    if (Double.isNaN(removedAtMs)
        || nowMs - removedAtMs <= graceMs
        || isResponseAfterRemovalReported) {
      return false;
    }
    isResponseAfterRemovalReported = true;
    return true;
  }
}
