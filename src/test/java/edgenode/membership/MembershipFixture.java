package edgenode.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A membership and the view that its updates make, for tests of its rules; times are ms. */
abstract class MembershipFixture {
  static final MembershipLimits LIMITS = MembershipLimits.defaults(18_000);
  static final String SOURCE_A = "a:1";
  static final String SOURCE_B = "b:1";
  Membership membership = new Membership(LIMITS, SOURCE_A);
  final Map<String, DiscoveredEndpoint> view = new TreeMap<>();
  final List<String> messages = new ArrayList<>();
  boolean mustResync;
  double nowMs = 1_000_000;

  static DiscoveredEndpoint endpoint(
      String id, String address, EndpointState state, double startedAtMs) {
    return new DiscoveredEndpoint(
        new EndpointInfo(id, 1, "z", state, "m", startedAtMs, 1), address);
  }

  static DiscoveredEndpoint up(String id) {
    return endpoint(id, id + ":1", EndpointState.UP, 0);
  }

  static DiscoveredEndpoint down(String id) {
    return endpoint(id, id + ":1", EndpointState.DRAINING, 0);
  }

  static DiscoveredEndpoint removed(String id) {
    return endpoint(id, null, EndpointState.REMOVED, 0);
  }

  void apply(MembershipUpdate update) {
    messages.addAll(update.messages());
    mustResync |= update.mustResync();
    for (DiscoveredEndpoint endpoint : update.endpoints()) {
      if (endpoint.info().state() == EndpointState.REMOVED) {
        assertTrue(view.remove(endpoint.id()) != null, "removed, never reported: " + endpoint);
      } else {
        boolean isRepeated = endpoint.equals(view.put(endpoint.id(), endpoint));
        assertFalse(isRepeated, "reported again: " + endpoint);
      }
    }
  }

  void receive(String sourceId, long version, boolean isComplete, DiscoveredEndpoint... reported) {
    apply(
        membership.endpointsReceived(
            nowMs, sourceId, version, isComplete, Arrays.asList(reported)));
  }

  void advance(double durationMs) {
    double untilMs = nowMs + durationMs;
    while (membership.nextTickMs() <= untilMs) {
      nowMs = Math.max(nowMs, membership.nextTickMs());
      apply(membership.tick(nowMs));
    }
    nowMs = untilMs;
    apply(membership.tick(nowMs));
  }

  /** Ids of the endpoints that are up. */
  String upEndpoints() {
    return view.values().stream()
        .filter(e -> e.info().state() == EndpointState.UP)
        .map(DiscoveredEndpoint::id)
        .collect(Collectors.joining(" "));
  }

  void start(String... ids) {
    receive(
        SOURCE_A,
        40,
        true,
        Arrays.stream(ids).map(MembershipFixture::up).toArray(DiscoveredEndpoint[]::new));
    for (String id : ids) {
      apply(membership.connected(nowMs, id));
    }
    assertEquals(String.join(" ", ids), upEndpoints());
  }
}
