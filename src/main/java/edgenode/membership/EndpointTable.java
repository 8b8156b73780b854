package edgenode.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** All endpoints that {@link Membership} remembers, and what it counts of them. */
final class EndpointTable {
  private final MembershipLimits limits;
  private final Map<String, TrackedEndpoint> byId = new HashMap<>();
  private final Set<String> unreachableIds = new LinkedHashSet<>();
  private int upCount;

  EndpointTable(MembershipLimits limits) {
    this.limits = limits;
  }

  /** The endpoint of an id, or null where nothing is remembered of it. */
  TrackedEndpoint get(String id) {
    return byId.get(id);
  }

  /** Remembers an endpoint from now on. */
  void track(String id) {
    byId.computeIfAbsent(id, newId -> new TrackedEndpoint(limits));
  }

  void forget(String id) {
    byId.remove(id);
  }

  Set<String> ids() {
    return byId.keySet();
  }

  Collection<TrackedEndpoint> all() {
    return byId.values();
  }

  /** The endpoints in the view, by id. */
  void copyVisibleTo(Map<String, DiscoveredEndpoint> target) {
    for (Map.Entry<String, TrackedEndpoint> entry : byId.entrySet()) {
      if (entry.getValue().visible() != null) {
        target.put(entry.getKey(), entry.getValue().visible());
      }
    }
  }

  /** Ids of the endpoints to which connects fail, in the order in which that was found. */
  Set<String> unreachableIds() {
    return unreachableIds;
  }

  /** How many endpoints of the view may get requests. */
  int upCount() {
    return upCount;
  }

  void countUp(int change) {
    upCount += change;
  }
}
