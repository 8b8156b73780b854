package edgenode.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The versions that the source in use has reported, and what came out of order. A source may have
 * several replicas behind it, or several connections; one of them may lag, or all may have been
 * restored from an older state.
 */
final class VersionState {
  private long newest = -1;
  private boolean isConfirmed;
  private boolean acceptsAnyVersion;
  private double newestAtMs = Double.NEGATIVE_INFINITY;
  private double onlyOlderSinceMs = Double.NaN;
  private double conflictSinceMs = Double.NaN;
  private final Set<String> contestedIds = new HashSet<>();
  private long olderVersion;
  private Collection<DiscoveredEndpoint> olderEndpoints = List.of();
  private long ignoredVersion = Long.MIN_VALUE;
  private Collection<DiscoveredEndpoint> ignoredEndpoints = List.of();

  /** The newest version, -1 before the first. */
  long newest() {
    return newest;
  }

  /** The version from which changes are wanted, -1 where the complete list is wanted. */
  long resumeVersion() {
    return acceptsAnyVersion ? -1 : newest;
  }

  /**
   * Whether the source itself has reported a list; until then its endpoints are those known at the
   * start.
   */
  boolean isConfirmed() {
    return isConfirmed;
  }

  /** The version of a list that was known at the start. */
  void setInitial(long version) {
    newest = Math.max(-1, version);
  }

  /** Whether a list or change with this version is out of order. */
  boolean isOlder(long version, boolean isComplete) {
    return version < 0
        || version < newest && isConfirmed && !(acceptsAnyVersion && isComplete)
        // A change to a list that the source has not confirmed.
        || version < newest && !isComplete;
  }

  /** A list or change that is in order has arrived. */
  void newerArrived(double nowMs) {
    newestAtMs = nowMs;
    onlyOlderSinceMs = Double.NaN;
  }

  /** A complete list was applied: it ends all conflicts. */
  void completeApplied(long version) {
    isConfirmed = true;
    acceptsAnyVersion = false;
    contestedIds.clear();
    conflictSinceMs = Double.NaN;
    newest = version;
  }

  /** A change was applied. */
  void changeApplied(long version) {
    isConfirmed |= newest >= 0;
    newest = version;
  }

  // ---- out of order ----

  /** Whether a message says the same as one whose content is ignored. */
  boolean isIgnored(long version, Collection<DiscoveredEndpoint> endpoints) {
    return version == ignoredVersion && ignoredEndpoints.equals(endpoints);
  }

  /** Whether the content that last came with this version is ignored. */
  boolean isIgnored(long version) {
    return version == ignoredVersion;
  }

  /** An older version has arrived. */
  void olderArrived(long version, Collection<DiscoveredEndpoint> endpoints) {
    olderVersion = version;
    olderEndpoints = endpoints;
  }

  /** The older version that arrived last. */
  long olderVersion() {
    return olderVersion;
  }

  /** Starts to wait for a version that is in order, unless it waits already. */
  boolean startWaitingForNewer(double nowMs) {
    if (!Double.isNaN(onlyOlderSinceMs)) {
      return false;
    }
    onlyOlderSinceMs = nowMs;
    return true;
  }

  /** Whether only older versions came for at least a time (ms). */
  boolean hasOnlyOlderFor(double durationMs, double nowMs) {
    return !Double.isNaN(onlyOlderSinceMs) && nowMs >= onlyOlderSinceMs + durationMs;
  }

  /** Accepts the next complete list whatever its version. */
  void acceptAnyVersion() {
    onlyOlderSinceMs = Double.NaN;
    acceptsAnyVersion = true;
  }

  // ---- endpoints taken down by an older version ----

  /** An older version takes an endpoint down; returns false where one did already. */
  boolean contest(String endpointId) {
    return contestedIds.add(endpointId);
  }

  boolean isContested(String endpointId) {
    return contestedIds.contains(endpointId);
  }

  /** A version that is in order names the endpoint. */
  void settle(String endpointId) {
    contestedIds.remove(endpointId);
  }

  Set<String> contestedIds() {
    return contestedIds;
  }

  /** Starts the time after which a conflict is resolved, unless it runs already. */
  boolean startConflict(double nowMs) {
    if (!Double.isNaN(conflictSinceMs)) {
      return false;
    }
    conflictSinceMs = nowMs;
    return true;
  }

  boolean isInConflictFor(double durationMs, double nowMs) {
    return !Double.isNaN(conflictSinceMs) && nowMs >= conflictSinceMs + durationMs;
  }

  void endConflict() {
    conflictSinceMs = Double.NaN;
  }

  /** Whether a version that was in order came within a time (ms). */
  boolean hasNewerWithin(double durationMs, double nowMs) {
    return newestAtMs > nowMs - durationMs;
  }

  /** The older version is wrong: its content is ignored from now on. */
  void ignoreOlder() {
    ignoredVersion = olderVersion;
    ignoredEndpoints = olderEndpoints;
    contestedIds.clear();
    conflictSinceMs = Double.NaN;
  }

  /** Whether the same list again needs no evaluation. */
  boolean isSettledAt(long version) {
    return version == newest && contestedIds.isEmpty() && !acceptsAnyVersion && isConfirmed;
  }
}
