package edgenode.membership;

import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Orders what the sources report. Versions order what comes from one source; two sources are not
 * ordered at all. One source is in use; those that were retired may still take endpoints down.
 */
final class SourceVersions {
  private final MembershipLimits limits;
  private final UpdateContext context;
  private final EndpointTable table;
  private final AddressWarmUps warmUps;
  private final ShrinkQuarantine quarantine;
  private final AddressOwners addressOwners = new AddressOwners();
  private final List<SourceState> retired = new ArrayList<>();
  private SourceState current;

  SourceVersions(
      MembershipLimits limits,
      UpdateContext context,
      EndpointTable table,
      AddressWarmUps warmUps,
      ShrinkQuarantine quarantine,
      String sourceId) {
    this.limits = limits;
    this.context = context;
    this.table = table;
    this.warmUps = warmUps;
    this.quarantine = quarantine;
    current = new SourceState(sourceId);
  }

  /** The source in use. */
  SourceState current() {
    return current;
  }

  // ---- reports ----

  /** Takes a list that was known at the start, unless a source has reported already. */
  void loadInitialList(long version, Collection<DiscoveredEndpoint> endpoints) {
    if (current.versions.isConfirmed() || current.versions.newest() >= 0) {
      return;
    }
    current.versions.setInitial(version);
    current.markListed();
    for (DiscoveredEndpoint endpoint : endpoints) {
      put(endpoint);
      context.dirtyEndpoints().add(endpoint.id());
    }
  }

  /** Another source is in use from now on. */
  void switchTo(String sourceId) {
    retired.add(current);
    current = new SourceState(sourceId);
  }

  /** A retired source has closed its last connection. */
  void close(String sourceId) {
    for (SourceState source : retired) {
      if (source.id.equals(sourceId) && !source.isClosed()) {
        source.close(context.nowMs());
        context.checkSourcesAt(context.nowMs() + limits.retiredSourceTtlMs());
      }
    }
  }

  /** Takes a list or a change of the source in use. */
  void receive(long version, boolean isComplete, Collection<DiscoveredEndpoint> endpoints) {
    VersionState versions = current.versions;
    if (versions.isOlder(version, isComplete)) {
      receiveOlder(version, isComplete, endpoints);
      return;
    }
    versions.newerArrived(context.nowMs());
    if (isComplete) {
      current.markListed();
      replaceList(endpoints);
      versions.completeApplied(version);
      context.dirtyEndpoints().addAll(table.ids());
      return;
    }
    for (DiscoveredEndpoint endpoint : endpoints) {
      put(endpoint);
      context.dirtyEndpoints().add(endpoint.id());
      versions.settle(endpoint.id());
    }
    versions.changeApplied(version);
  }

  /** Takes a list or a change of a retired source; one that is not known is ignored. */
  void receiveFromRetired(
      String sourceId, boolean isComplete, Collection<DiscoveredEndpoint> endpoints) {
    for (SourceState source : retired) {
      if (!source.id.equals(sourceId)) {
        continue;
      }
      if (isComplete) {
        context.dirtyEndpoints().addAll(source.endpoints().keySet());
        source.endpoints().clear();
        source.markListed();
      }
      for (DiscoveredEndpoint endpoint : endpoints) {
        source.put(endpoint, context.nowMs());
        context.dirtyEndpoints().add(endpoint.id());
      }
    }
  }

  /** Whether the list of this version needs no evaluation when it comes again. */
  boolean isSettled(String sourceId, long version) {
    return sourceId.equals(current.id) && current.versions.isSettledAt(version);
  }

  /** A process of a listed endpoint has started just now. */
  void recordStart(String endpointId) {
    DiscoveredEndpoint endpoint = current.endpoint(endpointId);
    if (endpoint != null && endpoint.info().startedAtMs() + limits.warmUpMs() < context.nowMs()) {
      warmUps.record(endpoint.address(), context.nowMs());
      put(endpoint);
    }
  }

  private void put(DiscoveredEndpoint reported) {
    DiscoveredEndpoint endpoint = warmUps.apply(reported);
    boolean isRemoved = endpoint.info().state() == EndpointState.REMOVED;
    if (isRemoved) {
      remove(endpoint.id());
    } else {
      current.putListed(endpoint, context.nowMs());
      takeAddress(reported);
    }
    table.track(endpoint.id());
    if (isRemoved) {
      quarantine.cancel(endpoint.id());
    }
  }

  /** Another endpoint that was at the address gets nothing new, whatever the list says yet. */
  private void takeAddress(DiscoveredEndpoint endpoint) {
    context.dirtyEndpoints().add(endpoint.id()); // added endpoints are reported before removed
    if (addressOwners.isListedElsewhere(endpoint)) {
      context.dirtyEndpoints().addAll(addressOwners.removed(endpoint.id()));
    }
    String supersededId = addressOwners.listed(endpoint);
    if (supersededId != null) {
      context.dirtyEndpoints().add(supersededId);
      context.report(
          "endpoint "
              + endpoint.id()
              + " is listed at the address of "
              + supersededId
              + ", which gets no further requests");
    }
    String heldId = quarantine.idAt(endpoint.address());
    if (heldId != null && !heldId.equals(endpoint.id())) {
      quarantine.cancel(heldId);
      context.dirtyEndpoints().add(heldId);
    }
  }

  private void remove(String endpointId) {
    current.remove(endpointId, context.nowMs());
    context.dirtyEndpoints().addAll(addressOwners.removed(endpointId));
    context.checkSourcesAt(context.nowMs() + limits.flapWindowMs());
  }

  // ---- complete lists ----

  /** What the list lacks is removed, unless it lacks too much at once. */
  private void replaceList(Collection<DiscoveredEndpoint> endpoints) {
    Map<String, DiscoveredEndpoint> before = new LinkedHashMap<>(current.endpoints());
    if (before.isEmpty()) {
      table.copyVisibleTo(before); // the first list after a change of the source
    }
    current.endpoints().clear();
    for (DiscoveredEndpoint endpoint : endpoints) {
      put(endpoint);
      context.dirtyEndpoints().add(endpoint.id()); // added endpoints are reported before removed
    }
    int upAfter = countUp();
    boolean isSuspicious = quarantine.isSuspicious(table.upCount(), upAfter);
    double untilMs = context.nowMs() + quarantine.durationMs(upAfter);
    int held = 0;
    for (String id : before.keySet()) {
      context.dirtyEndpoints().add(id);
      if (current.endpoint(id) != null) {
        continue;
      }
      remove(id);
      if (isSuspicious && hold(id, untilMs)) {
        held++;
      }
    }
    if (held > 0) {
      reportQuarantine(upAfter, held);
    }
  }

  private int countUp() {
    int count = 0;
    for (DiscoveredEndpoint endpoint : current.endpoints().values()) {
      count += endpoint.info().state() == EndpointState.UP ? 1 : 0;
    }
    return count;
  }

  /** Keeps an endpoint in use that the list lacks; returns false where it is not kept anew. */
  private boolean hold(String id, double untilMs) {
    TrackedEndpoint endpoint = table.get(id);
    if (endpoint == null
        || quarantine.isHeld(id, context.nowMs())
        || !endpoint.isVisiblyUp()
        || !endpoint.liveness.isHealthy()
        || addressOwners.isTakenByOther(endpoint.visible().address(), id)) {
      return false;
    }
    quarantine.hold(id, endpoint.visible(), untilMs);
    endpoint.liveness.seen(context.nowMs()); // it is probed from now on and has time to respond
    return true;
  }

  private void reportQuarantine(int upAfter, int held) {
    context.report(
        "the list of "
            + current.id
            + " shrank from "
            + table.upCount()
            + " endpoints to "
            + upAfter
            + " at once: "
            + held
            + " missing endpoints stay in use for "
            + Math.round(quarantine.durationMs(upAfter))
            + " ms while they respond");
  }

  // ---- versions out of order ----

  /** An older version, or none, can only take endpoints down. */
  private void receiveOlder(
      long version, boolean isComplete, Collection<DiscoveredEndpoint> endpoints) {
    VersionState versions = current.versions;
    if (versions.isIgnored(version, endpoints)) {
      return;
    }
    versions.olderArrived(version, endpoints);
    Set<String> namedIds = new HashSet<>();
    for (DiscoveredEndpoint endpoint : endpoints) {
      namedIds.add(endpoint.id());
      if (endpoint.info().state() != EndpointState.UP) {
        contest(endpoint.id());
      }
    }
    if (isComplete && version >= 0) {
      for (String id : current.endpoints().keySet()) {
        if (!namedIds.contains(id)) {
          contest(id);
        }
      }
    }
    if (version < 0) {
      context.report(
          current.id + " sent a negative version: only its drains and removals are applied");
    }
    if (versions.startWaitingForNewer(context.nowMs())) {
      context.checkSourcesAt(context.nowMs() + limits.staleVersionTimeoutMs());
    }
  }

  private void contest(String id) {
    if (quarantine.isHeld(id, context.nowMs())) {
      quarantine.cancel(id);
      context.dirtyEndpoints().add(id);
    }
    if (current.endpoint(id) != null && current.versions.contest(id)) {
      context.dirtyEndpoints().add(id);
      if (current.versions.startConflict(context.nowMs())) {
        context.checkSourcesAt(context.nowMs() + limits.staleVersionTimeoutMs());
      }
    }
  }

  // ---- time ----

  /** Removes retired sources, resolves conflicts that took too long, and forgets old removals. */
  void checkTimeouts() {
    removeClosedSources();
    double nowMs = context.nowMs();
    double timeoutMs = limits.staleVersionTimeoutMs();
    if (current.versions.hasOnlyOlderFor(timeoutMs, nowMs)) {
      current.versions.acceptAnyVersion();
      requestResync();
    }
    if (current.versions.isInConflictFor(timeoutMs, nowMs)) {
      resolveConflict();
    }
    warmUps.removeExpired();
    current.forgetRemovals(limits.flapWindowMs(), nowMs);
  }

  private void removeClosedSources() {
    for (Iterator<SourceState> sources = retired.iterator(); sources.hasNext(); ) {
      SourceState source = sources.next();
      if (!source.isClosedFor(limits.retiredSourceTtlMs(), context.nowMs())) {
        continue;
      }
      if (!current.versions.isConfirmed()) { // its successor has not reported yet
        context.checkSourcesAt(context.nowMs() + limits.retiredSourceTtlMs());
        continue;
      }
      sources.remove();
      context.dirtyEndpoints().addAll(source.endpoints().keySet());
      context.dirtyEndpoints().addAll(source.removedIds());
    }
  }

  /**
   * One replica or connection stays behind while another is ahead and alive: the latter is right.
   */
  private void resolveConflict() {
    VersionState versions = current.versions;
    if (versions.contestedIds().isEmpty()) {
      versions.endConflict();
    } else if (versions.hasNewerWithin(limits.staleVersionTimeoutMs(), context.nowMs())) {
      context.dirtyEndpoints().addAll(versions.contestedIds());
      versions.ignoreOlder();
      requestResync();
    } else {
      context.checkSourcesAt(context.nowMs() + limits.staleVersionTimeoutMs());
    }
  }

  private void requestResync() {
    context.requestResync();
    context.report(
        "version conflict: "
            + current.id
            + " sent version "
            + current.versions.olderVersion()
            + " after "
            + current.versions.newest()
            + "; requesting the complete list again");
  }

  // ---- what counts ----

  /**
   * The endpoint as the source in use reports it, or the one before while that one has not reported
   * yet; null where it is not listed.
   */
  DiscoveredEndpoint reported(String id) {
    DiscoveredEndpoint endpoint = current.endpoint(id);
    if (endpoint != null || current.versions.isConfirmed()) {
      return endpoint;
    }
    for (int i = retired.size() - 1; i >= 0; i--) {
      if (retired.get(i).hasList()) {
        endpoint = retired.get(i).endpoint(id);
        boolean isListed = endpoint != null && endpoint.info().state() != EndpointState.REMOVED;
        return isListed ? endpoint : null;
      }
    }
    return null;
  }

  /** Whether an older version, a retired source or another process at its address does. */
  boolean isTakenDown(DiscoveredEndpoint endpoint) {
    return current.versions.isContested(endpoint.id())
        || isVetoed(endpoint)
        || addressOwners.isSuperseded(endpoint.id());
  }

  /** Whether a retired source takes the endpoint down. */
  boolean isVetoed(DiscoveredEndpoint endpoint) {
    for (SourceState source : retired) {
      if (source.vetoes(endpoint)) {
        return true;
      }
    }
    return false;
  }

  /** Endpoints whose addresses are remembered, for tests that they are forgotten. */
  int addressCount() {
    return addressOwners.size();
  }
}
