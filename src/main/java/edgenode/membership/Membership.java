package edgenode.membership;

import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One view of the endpoints out of several sources, each of which may be late, partial or wrong. It
 * does no I/O: the time (ms) is an argument that never goes back, and the same calls give the same
 * results. Not thread safe; used on the event loop.
 *
 * <p>A source has a numbering of versions of its own. One source is in use; a source that was
 * retired still counts against endpoints until it is closed. The rules, in the order in which they
 * are applied to an endpoint:
 *
 * <ol>
 *   <li>It is down as soon as any source that is not closed says so, also with a version that is
 *       out of order: an older version may take endpoints down, never up. A newer complete list
 *       ends that ({@link SourceVersions}).
 *   <li>It is removed if the complete list of the source in use lacks it, unless that list leaves
 *       less than a share of the endpoints; then it stays in use for a limited time, as long as it
 *       responds ({@link ShrinkQuarantine}).
 *   <li>It is down while connects to it fail and it has no connection, whatever the lists say
 *       ({@link EndpointLiveness}).
 *   <li>It is down while another endpoint is listed at its address that has started later ({@link
 *       AddressOwners}).
 *   <li>It comes up again with a delay, which grows each time that it has gone down lately ({@link
 *       FlapDamping}).
 * </ol>
 *
 * An address stays warming up, also where the endpoint that made it so has been forgotten ({@link
 * AddressWarmUps}).
 *
 * <p>Cost: O(log n) for each endpoint that a change names, O(n log n) for a complete list, O(1) for
 * a connection or a response.
 */
public final class Membership {
  private final MembershipLimits limits;
  private final UpdateContext context = new UpdateContext();
  private final EndpointTable table;
  private final AddressWarmUps warmUps;
  private final ShrinkQuarantine quarantine;
  private final ViewFreshness freshness;
  private final SourceVersions sources;
  private boolean hasReportedView;

  /**
   * Creates an empty view.
   *
   * @param sourceId the name of the first source
   */
  public Membership(MembershipLimits limits, String sourceId) {
    this.limits = limits;
    table = new EndpointTable(limits);
    warmUps = new AddressWarmUps(limits, context);
    quarantine = new ShrinkQuarantine(limits);
    freshness = new ViewFreshness(limits, context);
    sources = new SourceVersions(limits, context, table, warmUps, quarantine, sourceId);
  }

  // ---- sources ----

  /**
   * Takes a list that was known at the start, perhaps an old one. It is in use until a source
   * reports; its version says where a watch may resume.
   */
  public MembershipUpdate loadInitialList(
      double timeMs, long version, Collection<DiscoveredEndpoint> endpoints) {
    begin(timeMs);
    sources.loadInitialList(version, endpoints);
    return end();
  }

  /**
   * The version from which a watch of the source in use resumes.
   *
   * @return -1 where the complete list must be requested
   */
  public long resumeVersion() {
    return sources.current().versions.resumeVersion();
  }

  /**
   * Another source is in use from now on: versions start anew, and what the former source says
   * still counts against endpoints. Its effects are reported by the next call.
   */
  public void switchSource(double timeMs, String sourceId) {
    begin(timeMs);
    sources.switchTo(sourceId);
  }

  /** A source that was retired has closed its last connection. */
  public MembershipUpdate sourceClosed(double timeMs, String sourceId) {
    begin(timeMs);
    sources.close(sourceId);
    return end();
  }

  /** A source says that nothing has changed since its last report. */
  public MembershipUpdate sourceConfirmed(double timeMs, String sourceId) {
    begin(timeMs);
    if (isInUse(sourceId)) {
      freshness.confirm(sourceId);
    }
    return end();
  }

  /**
   * Takes a complete list that equals the last one byte for byte, in O(1).
   *
   * @return false where it must be given to {@link #endpointsReceived} in full: it is not the
   *     newest version, a conflict is open, or something else is due
   */
  public boolean confirmUnchanged(double timeMs, String sourceId, long version) {
    if (!sources.isSettled(sourceId, version)
        || freshness.isStale()
        || nextTickMs() <= timeMs) { // what is due is reported with the list
      return false;
    }
    context.advanceTo(timeMs);
    sources.current().versions.newerArrived(context.nowMs());
    freshness.confirm(sourceId);
    return true;
  }

  /**
   * Takes what a source reports.
   *
   * @param sourceId the source that reports it; one that is not known is ignored
   * @param version the version; below 0 where there is none: it can only take endpoints down
   * @param isComplete whether it is the complete list
   * @param endpoints the endpoints that it names; the last one of an id counts
   */
  public MembershipUpdate endpointsReceived(
      double timeMs,
      String sourceId,
      long version,
      boolean isComplete,
      Collection<DiscoveredEndpoint> endpoints) {
    begin(timeMs);
    if (isInUse(sourceId)) {
      freshness.confirm(sourceId);
      sources.receive(version, isComplete, endpoints);
    } else {
      sources.receiveFromRetired(sourceId, isComplete, endpoints);
    }
    return end();
  }

  private boolean isInUse(String sourceId) {
    return sourceId.equals(sources.current().id);
  }

  // ---- connections to endpoints ----

  /** The endpoint sent a successful response; an id that is not known is ignored. */
  public MembershipUpdate responded(double timeMs, String id) {
    TrackedEndpoint endpoint = table.get(id);
    if (endpoint == null) {
      return MembershipUpdate.NONE;
    }
    context.advanceTo(timeMs);
    endpoint.liveness.seen(context.nowMs());
    endpoint.liveness.resetFailures();
    if (!endpoint.isUnexpectedResponse(context.nowMs(), limits.livenessWindowMs())) {
      return MembershipUpdate.NONE;
    }
    return new MembershipUpdate(
        List.of(),
        false,
        List.of("endpoint " + id + " is listed as removed and still responds"),
        false);
  }

  /**
   * A connect to the endpoint failed; an id that is not known is ignored.
   *
   * @param isRefused whether it was refused; otherwise it timed out
   * @param openConnections connections to the endpoint that are established: it counts only where
   *     there are none
   */
  public MembershipUpdate connectFailed(
      double timeMs, String id, boolean isRefused, int openConnections) {
    TrackedEndpoint endpoint = table.get(id);
    if (endpoint == null) {
      return MembershipUpdate.NONE;
    }
    begin(timeMs);
    if (openConnections <= 0 && endpoint.liveness.connectFailed(context.nowMs(), isRefused)) {
      table.unreachableIds().add(id);
      context.dirtyEndpoints().add(id);
    }
    return end();
  }

  /**
   * A connection to the endpoint was established; an id that is not known is ignored. After refused
   * connects it is a new process, which is warming up, whatever the lists say yet.
   */
  public MembershipUpdate connected(double timeMs, String id) {
    TrackedEndpoint endpoint = table.get(id);
    if (endpoint == null) {
      return MembershipUpdate.NONE;
    }
    EndpointLiveness liveness = endpoint.liveness;
    liveness.seen(Math.max(context.nowMs(), timeMs));
    if (!liveness.isUnreachable() && !liveness.hasFailedConnects()) {
      return MembershipUpdate.NONE;
    }
    begin(timeMs);
    if (liveness.isUnreachable()) {
      liveness.markReachable();
      table.unreachableIds().remove(id);
      context.dirtyEndpoints().add(id);
      if (liveness.wasRefused()) {
        sources.recordStart(id);
      }
    }
    liveness.resetFailures();
    return end();
  }

  /**
   * Endpoints to which a connect should be tried now and then: those that are unreachable, and
   * those in use against the list.
   */
  public Collection<String> endpointsToCheck() {
    if (table.unreachableIds().isEmpty() && quarantine.activeIds().isEmpty()) {
      return List.of();
    }
    Set<String> ids = new LinkedHashSet<>(table.unreachableIds());
    ids.addAll(quarantine.activeIds());
    return ids;
  }

  // ---- time ----

  /** When {@link #tick} is due next (ms), infinite where it is not. */
  public double nextTickMs() {
    return Math.min(context.deadlines().earliestMs(), freshness.deadlineMs());
  }

  /** Applies what time alone has changed. */
  public MembershipUpdate tick(double timeMs) {
    begin(timeMs);
    return end();
  }

  /** The view in figures; O(n). */
  public MembershipStats stats(double timeMs) {
    int visible = 0;
    for (TrackedEndpoint endpoint : table.all()) {
      visible += endpoint.visible() != null ? 1 : 0;
    }
    return new MembershipStats(
        visible,
        table.upCount(),
        quarantine.activeIds().size(),
        table.unreachableIds().size(),
        freshness.ageMs(timeMs),
        sources.current().versions.newest());
  }

  /** The size of the largest collection, for tests that endpoints are forgotten. */
  int trackedCount() {
    SourceState current = sources.current();
    return Math.max(
        Math.max(table.ids().size(), Math.max(current.endpoints().size(), sources.addressCount())),
        Math.max(
            current.removedIds().size(), Math.max(warmUps.size(), context.deadlines().size())));
  }

  /** Whether the content that last came with this version is ignored, for tests. */
  boolean isIgnored(long version) {
    return sources.current().versions.isIgnored(version);
  }

  // ---- the view ----

  private void begin(double timeMs) {
    context.advanceTo(timeMs);
    DeadlineQueue deadlines = context.deadlines();
    while (deadlines.earliestMs() <= context.nowMs()) {
      String id = deadlines.removeEarliest();
      if (id != null) {
        context.dirtyEndpoints().add(id);
      } else {
        sources.checkTimeouts();
      }
    }
    freshness.check(sources.current().id);
  }

  private MembershipUpdate end() {
    List<DiscoveredEndpoint> changed = new ArrayList<>();
    for (String id : context.dirtyEndpoints().toArray(new String[0])) {
      TrackedEndpoint endpoint = table.get(id);
      if (endpoint != null) {
        evaluate(id, endpoint, changed);
      }
    }
    context.dirtyEndpoints().clear();
    if (changed.isEmpty() && !context.hasNotifications()) {
      return MembershipUpdate.NONE;
    }
    boolean isFirstView = !hasReportedView && !changed.isEmpty();
    hasReportedView |= isFirstView;
    return context.takeUpdate(changed, isFirstView);
  }

  /** Applies the rules to an endpoint, and adds it to {@code changed} where its view differs. */
  private void evaluate(String id, TrackedEndpoint endpoint, List<DiscoveredEndpoint> changed) {
    DiscoveredEndpoint wanted = damp(id, endpoint, wanted(id, endpoint));
    if (wanted == null) {
      remove(id, endpoint, changed);
      return;
    }
    if (!wanted.equals(endpoint.visible())) {
      changed.add(wanted);
    }
    endpoint.show(wanted);
  }

  /** The endpoint as sources and connections have it; null where it is removed. */
  private DiscoveredEndpoint wanted(String id, TrackedEndpoint endpoint) {
    DiscoveredEndpoint reported = sources.reported(id);
    if (reported == null) {
      return quarantined(id, endpoint);
    }
    quarantine.release(id);
    boolean isDown =
        reported.info().state() != EndpointState.UP
            || endpoint.liveness.isUnreachable()
            || sources.isTakenDown(reported);
    return isDown ? draining(reported) : reported;
  }

  /** The endpoint that no list has, as it stays in use; null where it does not. */
  private DiscoveredEndpoint quarantined(String id, TrackedEndpoint endpoint) {
    EndpointLiveness liveness = endpoint.liveness;
    if (quarantine.isHeld(id, context.nowMs())
        && liveness.isAlive(context.nowMs())
        && !liveness.isUnreachable()
        && !sources.isVetoed(quarantine.endpoint(id))) {
      context.evaluateAt(Math.min(quarantine.untilMs(id), liveness.aliveUntilMs()), id);
      quarantine.markActive(id);
      return quarantine.endpoint(id);
    }
    quarantine.release(id);
    return null;
  }

  /** Delays the return of an endpoint that was down, and counts its falls. */
  private DiscoveredEndpoint damp(String id, TrackedEndpoint endpoint, DiscoveredEndpoint wanted) {
    FlapDamping damping = endpoint.damping;
    DiscoveredEndpoint damped = wanted;
    boolean wasUp = endpoint.isVisiblyUp();
    boolean isUp = wanted != null && wanted.info().state() == EndpointState.UP;
    if (isUp && !wasUp && damping.hasBeenDown()) {
      if (!damping.isRecoveryScheduled()) {
        context.evaluateAt(damping.scheduleRecovery(context.nowMs()), id);
      }
      if (damping.isSuppressed(context.nowMs())) {
        isUp = false;
        damped = draining(wanted);
      }
    } else if (!isUp) {
      damping.cancelRecovery();
    }
    if (wasUp && !isUp) {
      damping.wentDown(context.nowMs());
      context.evaluateAt(context.nowMs() + limits.flapWindowMs(), id); // then it may be forgotten
    }
    table.countUp((isUp ? 1 : 0) - (wasUp ? 1 : 0));
    return damped;
  }

  private void remove(String id, TrackedEndpoint endpoint, List<DiscoveredEndpoint> changed) {
    DiscoveredEndpoint visible = endpoint.visible();
    if (visible != null) {
      changed.add(visible.withState(EndpointState.REMOVED, visible.info().startedAtMs()));
      endpoint.hide(context.nowMs());
    }
    endpoint.liveness.markReachable();
    endpoint.liveness.resetFailures();
    table.unreachableIds().remove(id);
    double inactiveSinceMs = endpoint.inactiveSinceMs();
    if (context.nowMs() - inactiveSinceMs >= limits.flapWindowMs()) {
      table.forget(id);
    } else {
      context.evaluateAt(inactiveSinceMs + limits.flapWindowMs(), id);
    }
  }

  private static DiscoveredEndpoint draining(DiscoveredEndpoint endpoint) {
    return endpoint.withState(EndpointState.DRAINING, endpoint.info().startedAtMs());
  }
}
