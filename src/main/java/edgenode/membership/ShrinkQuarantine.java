package edgenode.membership;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Keeps endpoints in use that a complete list lacks, while they respond and for a limited time, if
 * that list leaves less than {@link MembershipLimits#minRetainedShare} of the endpoints: it may be
 * the list of a registry that has just lost its data.
 */
final class ShrinkQuarantine {
  private record Hold(DiscoveredEndpoint endpoint, double untilMs) {}

  private final MembershipLimits limits;
  private final Map<String, Hold> holds = new HashMap<>();
  private final Map<String, String> idsByAddress = new HashMap<>();
  private final Set<String> activeIds = new LinkedHashSet<>();

  ShrinkQuarantine(MembershipLimits limits) {
    this.limits = limits;
  }

  /** Whether a list that leaves so many endpoints up shrinks too much to be applied at once. */
  boolean isSuspicious(int upBefore, int upAfter) {
    return upBefore > 0 && upAfter < limits.minRetainedShare() * upBefore;
  }

  /** How long endpoints are kept that a list with so many endpoints lacks (ms). */
  double durationMs(int upAfter) {
    return upAfter == 0 ? limits.emptyListQuarantineMs() : limits.shrunkListQuarantineMs();
  }

  /** Keeps an endpoint as it is until a time. */
  void hold(String id, DiscoveredEndpoint endpoint, double untilMs) {
    holds.put(id, new Hold(endpoint, untilMs));
    idsByAddress.put(endpoint.address(), id);
  }

  /** The endpoint that is kept at an address, or null. */
  String idAt(String address) {
    return idsByAddress.get(address);
  }

  boolean isHeld(String id, double nowMs) {
    Hold hold = holds.get(id);
    return hold != null && hold.untilMs > nowMs;
  }

  /** The endpoint as it is kept; only while {@link #isHeld}. */
  DiscoveredEndpoint endpoint(String id) {
    return holds.get(id).endpoint;
  }

  double untilMs(String id) {
    return holds.get(id).untilMs;
  }

  /** The endpoint is in use because it is kept. */
  void markActive(String id) {
    activeIds.add(id);
  }

  /** Keeps it no longer. */
  void release(String id) {
    cancel(id);
    activeIds.remove(id);
  }

  /** No list lacks it any more, or its removal was reported: the next evaluation releases it. */
  void cancel(String id) {
    Hold hold = holds.remove(id);
    if (hold != null) {
      idsByAddress.remove(hold.endpoint.address(), id);
    }
  }

  /** Ids of the endpoints that are in use only because they are kept. */
  Set<String> activeIds() {
    return activeIds;
  }
}
