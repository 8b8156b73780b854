package edgenode.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What the parts of {@link Membership} share during a call: the time, the endpoints that must be
 * evaluated before it returns, the timers, and what the caller will be notified of.
 */
final class UpdateContext {
  private final DeadlineQueue deadlines = new DeadlineQueue();
  private final Set<String> dirtyEndpoints = new LinkedHashSet<>();
  private final List<String> messages = new ArrayList<>();
  private boolean mustResync;
  private double nowMs = Double.NEGATIVE_INFINITY;

  double nowMs() {
    return nowMs;
  }

  /** Sets the time (ms), which never goes back. */
  void advanceTo(double timeMs) {
    nowMs = Math.max(nowMs, timeMs);
  }

  DeadlineQueue deadlines() {
    return deadlines;
  }

  /** Evaluates an endpoint again at a time (ms). */
  void evaluateAt(double atMs, String endpointId) {
    deadlines.schedule(nowMs, atMs, endpointId);
  }

  /** Checks the timeouts of sources and removes what has expired, at a time (ms). */
  void checkSourcesAt(double atMs) {
    deadlines.schedule(nowMs, atMs, null);
  }

  /** The endpoints to evaluate before the call returns, in the order in which they are reported. */
  Set<String> dirtyEndpoints() {
    return dirtyEndpoints;
  }

  /** Adds a line for the log. */
  void report(String message) {
    messages.add(message);
  }

  /** Asks the caller to have all sources fetch the complete list on new connections. */
  void requestResync() {
    mustResync = true;
  }

  boolean hasNotifications() {
    return !messages.isEmpty() || mustResync;
  }

  /** The update that ends a call; messages and the request for a resync are reported once. */
  MembershipUpdate takeUpdate(List<DiscoveredEndpoint> endpoints, boolean isComplete) {
    MembershipUpdate update =
        new MembershipUpdate(endpoints, isComplete, List.copyOf(messages), mustResync);
    messages.clear();
    mustResync = false;
    return update;
  }
}
