package edgenode.membership;

import edgenode.policy.EndpointState;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What one source has reported. Once it is retired, its reports can only take endpoints down, until
 * it is closed and some time has passed.
 */
final class SourceState {
  final String id;
  final VersionState versions = new VersionState();

  /** Those of a retired source include removed ones, which speak against the endpoint. */
  private final Map<String, DiscoveredEndpoint> endpoints = new LinkedHashMap<>();

  private final Map<String, Double> reportedAtMs = new HashMap<>();
  private final Map<String, Double> removedAtMs = new HashMap<>();
  private boolean hasList;
  private double closedAtMs = Double.NaN;

  SourceState(String id) {
    this.id = id;
  }

  /** The endpoint as this source has it, or null. */
  DiscoveredEndpoint endpoint(String endpointId) {
    return endpoints.get(endpointId);
  }

  /** The endpoints in the order in which they were first reported. */
  Map<String, DiscoveredEndpoint> endpoints() {
    return endpoints;
  }

  /** Whether it has reported a complete list, or one was known of it at the start. */
  boolean hasList() {
    return hasList;
  }

  void markListed() {
    hasList = true;
  }

  /** Records an endpoint in any state. */
  void put(DiscoveredEndpoint endpoint, double nowMs) {
    endpoints.put(endpoint.id(), endpoint);
    reportedAtMs.put(endpoint.id(), nowMs);
  }

  /** An endpoint is listed, possibly again. */
  void putListed(DiscoveredEndpoint endpoint, double nowMs) {
    put(endpoint, nowMs);
    removedAtMs.remove(endpoint.id());
  }

  /** An endpoint is listed no longer. */
  void remove(String endpointId, double nowMs) {
    endpoints.remove(endpointId);
    reportedAtMs.remove(endpointId);
    removedAtMs.put(endpointId, nowMs);
  }

  /** Ids of the endpoints that it has removed lately. */
  Set<String> removedIds() {
    return removedAtMs.keySet();
  }

  /** Forgets removals that are older than a time (ms). */
  void forgetRemovals(double ageMs, double nowMs) {
    removedAtMs.values().removeIf(atMs -> atMs + ageMs <= nowMs);
  }

  /**
   * Whether this source, being retired, takes an endpoint down: it reported it as draining or
   * removed, and the endpoint's process has not started since.
   */
  boolean vetoes(DiscoveredEndpoint endpoint) {
    double startedAtMs = endpoint.info().startedAtMs();
    DiscoveredEndpoint own = endpoints.get(endpoint.id());
    if (own == null) {
      Double removed = removedAtMs.get(endpoint.id());
      return removed != null && startedAtMs <= removed;
    }
    return own.info().state() != EndpointState.UP
        && startedAtMs <= Math.max(own.info().startedAtMs(), reportedAtMs.get(endpoint.id()));
  }

  /** It has closed its last connection. */
  void close(double nowMs) {
    closedAtMs = nowMs;
  }

  boolean isClosed() {
    return !Double.isNaN(closedAtMs);
  }

  /** Whether it was closed for at least a time (ms). */
  boolean isClosedFor(double durationMs, double nowMs) {
    return isClosed() && nowMs >= closedAtMs + durationMs;
  }
}
