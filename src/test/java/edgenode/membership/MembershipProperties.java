package edgenode.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * The view against a model that knows the truth: a source whose list changes, reported by a watch
 * and by polls that lag, repeat, lose and go back, and by changes to sources that are behind.
 * Random interleavings from one seed each.
 */
class MembershipProperties {
  private static final MembershipLimits LIMITS = MembershipLimits.defaults(18_000);
  private static final int STEPS = 300;

  /** All versions of a source's list, so that a connection may report any of them. */
  private static final class SourceHistory {
    final List<Map<String, DiscoveredEndpoint>> versions = new ArrayList<>();
    final long firstVersion;

    SourceHistory(long firstVersion, Map<String, DiscoveredEndpoint> firstList) {
      this.firstVersion = firstVersion;
      versions.add(firstList);
    }

    long newest() {
      return firstVersion + versions.size() - 1;
    }

    Map<String, DiscoveredEndpoint> at(long version) {
      return versions.get((int) (version - firstVersion));
    }

    List<DiscoveredEndpoint> listAt(long version) {
      return List.copyOf(at(version).values());
    }

    TreeSet<String> upEndpoints() {
      TreeSet<String> ids = new TreeSet<>();
      at(newest())
          .forEach(
              (id, endpoint) -> {
                if (endpoint.info().state() == EndpointState.UP) {
                  ids.add(id);
                }
              });
      return ids;
    }

    void change(Random random) {
      Map<String, DiscoveredEndpoint> next = new TreeMap<>(at(newest()));
      for (int n = 1 + random.nextInt(3); n > 0; n--) {
        String id = "s" + random.nextInt(8);
        switch (random.nextInt(4)) {
          case 0 -> next.remove(id);
          case 1 ->
              next.put(id, MembershipFixture.endpoint(id, id + ":1", EndpointState.DRAINING, 0));
          default -> next.put(id, MembershipFixture.endpoint(id, id + ":1", EndpointState.UP, 0));
        }
      }
      versions.add(next);
    }

    /** What changed from one version to another. */
    List<DiscoveredEndpoint> between(long from, long to) {
      List<DiscoveredEndpoint> changed = new ArrayList<>();
      Map<String, DiscoveredEndpoint> before = at(from);
      Map<String, DiscoveredEndpoint> after = at(to);
      for (String id : new TreeSet<>(before.keySet())) {
        if (!after.containsKey(id)) {
          changed.add(MembershipFixture.endpoint(id, null, EndpointState.REMOVED, 0));
        }
      }
      after.forEach(
          (id, endpoint) -> {
            if (!endpoint.equals(before.get(id))) {
              changed.add(endpoint);
            }
          });
      return changed;
    }
  }

  /** The view as a caller of {@link Membership} has it, in virtual time. */
  private static final class SimulatedView {
    final Random random;
    final Membership membership = new Membership(LIMITS, "p0");
    final Map<String, DiscoveredEndpoint> endpoints = new HashMap<>();
    double nowMs = 1_000_000;
    boolean isFirst = true;

    SimulatedView(long seed) {
      random = new Random(seed);
    }

    void apply(MembershipUpdate update) {
      assertTrue(!update.isComplete() || isFirst, "only the first update is complete");
      isFirst &= update.endpoints().isEmpty();
      for (DiscoveredEndpoint endpoint : update.endpoints()) {
        if (endpoint.info().state() == EndpointState.REMOVED) {
          endpoints.remove(endpoint.id());
        } else {
          endpoints.put(endpoint.id(), endpoint);
        }
      }
    }

    void advance(double ms) {
      double until = nowMs + ms;
      double next = membership.nextTickMs();
      while (next <= until) {
        nowMs = Math.max(nowMs, next);
        apply(membership.tick(nowMs));
        next = membership.nextTickMs();
      }
      nowMs = until;
      apply(membership.tick(nowMs));
    }

    void receive(
        String sourceId, long version, boolean isComplete, List<DiscoveredEndpoint> reported) {
      apply(membership.endpointsReceived(nowMs, sourceId, version, isComplete, reported));
    }

    boolean isUp(String id) {
      DiscoveredEndpoint endpoint = endpoints.get(id);
      return endpoint != null && endpoint.info().state() == EndpointState.UP;
    }

    TreeSet<String> upEndpoints() {
      TreeSet<String> ids = new TreeSet<>();
      for (String id : endpoints.keySet()) {
        if (isUp(id)) {
          ids.add(id);
        }
      }
      return ids;
    }

    /** What a source has just reported as down is not up. */
    void assertNoneUpThatIsDown(List<DiscoveredEndpoint> reported) {
      Map<String, DiscoveredEndpoint> last = new HashMap<>();
      reported.forEach(endpoint -> last.put(endpoint.id(), endpoint));
      for (DiscoveredEndpoint endpoint : last.values()) {
        assertTrue(
            endpoint.info().state() == EndpointState.UP || !isUp(endpoint.id()),
            endpoint.id() + " was reported down");
      }
    }
  }

  /** One random interleaving of reports, changes of the source, connects and time. */
  private static final class Interleaving {
    final SimulatedView view;
    final Random random;
    SourceHistory current;
    SourceHistory retired;
    String sourceId = "p0";
    String retiredId;
    int sourceCount;
    long watchedVersion = -1;
    long polledVersion = -1;
    String polledId = "";

    Interleaving(long seed) {
      view = new SimulatedView(seed);
      random = view.random;
      current = new SourceHistory(random.nextInt(50), new TreeMap<>());
      current.change(random);
    }

    void step() {
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> current.change(random);
        case 3, 4, 5 -> watch();
        case 6, 7 -> poll();
        case 8 -> reportFromRetired();
        case 9 -> switchSource();
        case 10 -> connect();
        default -> view.advance(random.nextInt(200));
      }
    }

    /** The watch goes on from where it was, perhaps not to the newest version. */
    private void watch() {
      if (watchedVersion < 0 || watchedVersion >= current.newest()) {
        return;
      }
      long to = watchedVersion + 1 + random.nextInt((int) (current.newest() - watchedVersion));
      List<DiscoveredEndpoint> reported = current.between(watchedVersion, to);
      view.receive(sourceId, to, false, reported);
      view.assertNoneUpThatIsDown(reported);
      watchedVersion = to;
    }

    /** A poll, whose response may be late. */
    private void poll() {
      long lag = random.nextInt(3) == 0 ? random.nextInt(4) : 0;
      long version = Math.max(current.firstVersion, current.newest() - lag);
      List<DiscoveredEndpoint> reported = current.listAt(version);
      long before = view.membership.resumeVersion();
      boolean isRepeated = version == polledVersion && sourceId.equals(polledId);
      if (!(isRepeated && view.membership.confirmUnchanged(view.nowMs, sourceId, version))) {
        view.receive(sourceId, version, true, reported);
      }
      polledVersion = version;
      polledId = sourceId;
      if (!view.membership.isIgnored(version)) {
        view.assertNoneUpThatIsDown(reported);
      }
      if (version >= before && view.membership.stats(view.nowMs).quarantinedCount() == 0) {
        for (String id : view.upEndpoints()) {
          assertTrue(current.at(version).containsKey(id), id + " is not in the newest list");
        }
      }
      watchedVersion = Math.max(watchedVersion, view.membership.resumeVersion());
    }

    private void reportFromRetired() {
      if (retired == null) {
        return;
      }
      retired.change(random);
      List<DiscoveredEndpoint> reported = retired.between(retired.newest() - 1, retired.newest());
      view.receive(retiredId, retired.newest(), false, reported);
      view.assertNoneUpThatIsDown(reported);
    }

    /** Another source is in use, which may be behind. */
    private void switchSource() {
      if (random.nextInt(8) != 0) {
        return;
      }
      closeRetired();
      retired = current;
      retiredId = sourceId;
      sourceCount++;
      sourceId = "p" + sourceCount;
      int firstVersion = random.nextInt(50);
      long copied = Math.max(current.firstVersion, current.newest() - random.nextInt(3));
      current = new SourceHistory(firstVersion, current.at(copied));
      view.membership.switchSource(view.nowMs, sourceId);
      watchedVersion = -1;
    }

    void closeRetired() {
      if (retiredId != null) {
        view.apply(view.membership.sourceClosed(view.nowMs, retiredId));
      }
    }

    private void connect() {
      String id = "s" + random.nextInt(8);
      if (random.nextBoolean()) {
        view.apply(view.membership.connected(view.nowMs, id));
      } else {
        boolean isRefused = random.nextBoolean();
        view.apply(view.membership.connectFailed(view.nowMs, id, isRefused, random.nextInt(2)));
      }
    }

    /** The list stands still, all connections report it, every endpoint accepts connects. */
    void settle() {
      closeRetired();
      for (int i = 0; i < 50; i++) {
        view.receive(sourceId, current.newest(), true, current.listAt(current.newest()));
        for (String id : current.at(current.newest()).keySet()) {
          view.apply(view.membership.connected(view.nowMs, id));
        }
        view.advance(100);
      }
    }
  }

  /**
   * Safety: whatever a source just reported as down is not up, be the message new, old, repeated,
   * or of a retired source; nor is an endpoint that the newest complete list lacks, unless it is in
   * quarantine. Liveness: once all report the truth for a while, the view is the truth.
   */
  @Property(tries = 3000, seed = "1")
  void anyInterleaving(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    Interleaving interleaving = new Interleaving(seed);
    for (int i = 0; i < STEPS; i++) {
      interleaving.step();
    }
    interleaving.settle();
    assertEquals(interleaving.current.upEndpoints(), interleaving.view.upEndpoints());
  }

  /** All reports agree on a steady truth for 2 s, and no list was held: the view is theirs. */
  @Property(tries = 1000, seed = "1")
  void twoSecondsOfAgreement(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SimulatedView view = new SimulatedView(seed);
    Random random = view.random;
    SourceHistory source = new SourceHistory(10, new TreeMap<>());
    for (int i = 0; i < 60; i++) {
      source.change(random);
      long lag = random.nextInt(4) == 0 ? random.nextInt(3) : 0;
      long version = Math.max(10, source.newest() - lag);
      view.receive("p0", version, true, source.listAt(version));
      view.advance(random.nextInt(150));
    }
    for (int i = 0; i <= 20; i++) {
      view.receive("p0", source.newest(), true, source.listAt(source.newest()));
      view.advance(100);
    }
    assertEquals(source.upEndpoints(), view.upEndpoints());
  }

  /** The same calls give the same results. */
  @Property(tries = 50, seed = "1")
  void isDeterministic(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    for (List<String> trace : List.of(first, second)) {
      SimulatedView view = new SimulatedView(seed);
      SourceHistory source = new SourceHistory(10, new TreeMap<>());
      for (int i = 0; i < 60; i++) {
        source.change(view.random);
        MembershipUpdate update =
            view.membership.endpointsReceived(
                view.nowMs,
                "p0",
                source.newest() - view.random.nextInt(2),
                true,
                source.listAt(source.newest()));
        trace.add(update.toString());
        view.nowMs += view.random.nextInt(150);
      }
    }
    assertEquals(first, second);
  }
}
