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
 * The core against a model that knows the truth: a discovery whose list changes, told by two eyes
 * that lag, repeat, lose, go back, and by moves to places that are behind. Random interleavings
 * from one seed each.
 */
class MembershipProperties {
  private static final MembershipLimits LIMITS = MembershipLimits.defaults(18_000);

  /** What discovery has: its history, so that a source may tell any part of it. */
  private static final class SourceHistory {
    final List<Map<String, DiscoveredEndpoint>> versions = new ArrayList<>();
    final long base;

    SourceHistory(long base, Map<String, DiscoveredEndpoint> first) {
      this.base = base;
      versions.add(first);
    }

    long seq() {
      return base + versions.size() - 1;
    }

    Map<String, DiscoveredEndpoint> at(long seq) {
      return versions.get((int) (seq - base));
    }

    TreeSet<String> ups() {
      TreeSet<String> all = new TreeSet<>();
      at(seq())
          .forEach(
              (id, e) -> {
                if (e.info().state() == EndpointState.UP) {
                  all.add(id);
                }
              });
      return all;
    }

    void change(Random random, double now) {
      Map<String, DiscoveredEndpoint> next = new TreeMap<>(at(seq()));
      for (int n = 1 + random.nextInt(3); n > 0; n--) {
        String id = "s" + random.nextInt(8);
        switch (random.nextInt(4)) {
          case 0 -> next.remove(id);
          case 1 -> next.put(id, MembershipTest.endpoint(id, id + ":1", EndpointState.DRAINING, 0));
          default -> next.put(id, MembershipTest.endpoint(id, id + ":1", EndpointState.UP, 0));
        }
      }
      versions.add(next);
    }

    /** What changed from one version to another. */
    List<DiscoveredEndpoint> between(long from, long to) {
      List<DiscoveredEndpoint> changed = new ArrayList<>();
      Map<String, DiscoveredEndpoint> a = at(from);
      Map<String, DiscoveredEndpoint> b = at(to);
      for (String id : new TreeSet<>(a.keySet())) {
        if (!b.containsKey(id)) {
          changed.add(MembershipTest.endpoint(id, null, EndpointState.REMOVED, 0));
        }
      }
      b.forEach(
          (id, e) -> {
            if (!e.equals(a.get(id))) {
              changed.add(e);
            }
          });
      return changed;
    }
  }

  private static final class SimulatedView {
    final Random random;
    final Membership core = new Membership(LIMITS, "p0");
    final Map<String, DiscoveredEndpoint> view = new HashMap<>();
    double now = 1_000_000;
    boolean first = true;
    boolean askAnew;

    SimulatedView(long seed) {
      random = new Random(seed);
    }

    void take(MembershipUpdate c) {
      assertTrue(!c.isComplete() || first, "only the first is whole");
      first &= c.endpoints().isEmpty();
      askAnew |= c.mustResync();
      for (DiscoveredEndpoint e : c.endpoints()) {
        if (e.info().state() == EndpointState.REMOVED) {
          view.remove(e.id());
        } else {
          view.put(e.id(), e);
        }
      }
    }

    void pass(double ms) {
      double until = now + ms;
      for (double at = core.nextTickMs(); at <= until; at = core.nextTickMs()) {
        now = Math.max(now, at);
        take(core.tick(now));
      }
      now = until;
      take(core.tick(now));
    }

    boolean up(String id) {
      DiscoveredEndpoint e = view.get(id);
      return e != null && e.info().state() == EndpointState.UP;
    }

    TreeSet<String> ups() {
      TreeSet<String> all = new TreeSet<>();
      for (String id : view.keySet()) {
        if (up(id)) {
          all.add(id);
        }
      }
      return all;
    }
  }

  /**
   * Safety: whatever a source just told as down is not shown up, be the message new, old, repeated,
   * or of a place that was left; nor is one that the newest whole list lacks, unless the list is
   * held. Liveness: once all tell the truth for a while, the view is the truth.
   */
  @Property(tries = 3000, seed = "1")
  void anyInterleaving(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SimulatedView w = new SimulatedView(seed);
    Random r = w.random;
    SourceHistory truth = new SourceHistory(r.nextInt(50), new TreeMap<>());
    truth.change(r, w.now);
    SourceHistory left = null;
    String place = "p0";
    String leftPlace = null;
    int places = 0;
    long watched = -1;
    long lookedAt = -1;
    String lookedIn = "";
    for (int step = 0; step < 300; step++) {
      switch (r.nextInt(12)) {
        case 0, 1, 2 -> truth.change(r, w.now);
        case 3, 4, 5 -> { // the watch, from where it was, perhaps not to the end
          if (watched >= 0 && watched < truth.seq()) {
            long to = watched + 1 + r.nextInt((int) (truth.seq() - watched));
            List<DiscoveredEndpoint> told = truth.between(watched, to);
            w.take(w.core.endpointsReceived(w.now, place, to, false, told));
            safe(w, told);
            watched = to;
          }
        }
        case 6, 7 -> { // the look, which may be late
          long seq = Math.max(truth.base, truth.seq() - (r.nextInt(3) == 0 ? r.nextInt(4) : 0));
          List<DiscoveredEndpoint> told = List.copyOf(truth.at(seq).values());
          long before = w.core.resumeVersion();
          if (!(seq == lookedAt
              && place.equals(lookedIn)
              && w.core.confirmUnchanged(w.now, place, seq))) {
            w.take(w.core.endpointsReceived(w.now, place, seq, true, told));
          }
          lookedAt = seq;
          lookedIn = place;
          if (!w.core.isIgnored(seq)) {
            safe(w, told);
          }
          if (seq >= before && w.core.stats(w.now).quarantinedCount() == 0) {
            for (String id : w.ups()) {
              assertTrue(truth.at(seq).containsKey(id), id + " is not in the newest list");
            }
          }
          watched = Math.max(watched, w.core.resumeVersion());
        }
        case 8 -> { // what was left still speaks
          if (left != null) {
            left.change(r, w.now);
            List<DiscoveredEndpoint> told = left.between(left.seq() - 1, left.seq());
            w.take(w.core.endpointsReceived(w.now, leftPlace, left.seq(), false, told));
            safe(w, told);
          }
        }
        case 9 -> { // a move, to a place that may be behind
          if (r.nextInt(8) == 0) {
            if (leftPlace != null) {
              w.take(w.core.sourceClosed(w.now, leftPlace));
            }
            left = truth;
            leftPlace = place;
            place = "p" + ++places;
            truth =
                new SourceHistory(
                    r.nextInt(50), truth.at(Math.max(truth.base, truth.seq() - r.nextInt(3))));
            w.core.switchSource(w.now, place);
            watched = -1;
          }
        }
        case 10 -> {
          String id = "s" + r.nextInt(8);
          if (r.nextBoolean()) {
            w.take(w.core.connected(w.now, id));
          } else {
            w.take(w.core.connectFailed(w.now, id, r.nextBoolean(), r.nextInt(2)));
          }
        }
        default -> w.pass(r.nextInt(200));
      }
    }
    // the truth stands still, both eyes tell it, every server can be reached
    if (leftPlace != null) {
      w.take(w.core.sourceClosed(w.now, leftPlace));
    }
    for (int i = 0; i < 50; i++) {
      w.take(
          w.core.endpointsReceived(
              w.now, place, truth.seq(), true, List.copyOf(truth.at(truth.seq()).values())));
      for (String id : truth.at(truth.seq()).keySet()) {
        w.take(w.core.connected(w.now, id));
      }
      w.pass(100);
    }
    assertEquals(truth.ups(), w.ups());
  }

  private static void safe(SimulatedView w, List<DiscoveredEndpoint> told) {
    Map<String, DiscoveredEndpoint> last = new HashMap<>();
    told.forEach(e -> last.put(e.id(), e));
    for (DiscoveredEndpoint e : last.values()) {
      assertTrue(e.info().state() == EndpointState.UP || !w.up(e.id()), e.id() + " was told down");
    }
  }

  /** Both eyes agree on a steady truth for 2 s and no list was held: the view is theirs by then. */
  @Property(tries = 1000, seed = "1")
  void twoSecondsOfAgreement(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SimulatedView w = new SimulatedView(seed);
    Random r = w.random;
    SourceHistory truth = new SourceHistory(10, new TreeMap<>());
    for (int i = 0; i < 60; i++) {
      truth.change(r, w.now);
      long seq = truth.seq() - (r.nextInt(4) == 0 ? r.nextInt(3) : 0);
      w.take(
          w.core.endpointsReceived(
              w.now,
              "p0",
              Math.max(10, seq),
              true,
              List.copyOf(truth.at(Math.max(10, seq)).values())));
      w.pass(r.nextInt(150));
    }
    for (int i = 0; i <= 20; i++) {
      w.take(
          w.core.endpointsReceived(
              w.now, "p0", truth.seq(), true, List.copyOf(truth.at(truth.seq()).values())));
      w.pass(100);
    }
    assertEquals(truth.ups(), w.ups());
  }

  /** The same calls give the same results. */
  @Property(tries = 50, seed = "1")
  void isDeterministic(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    List<String> one = new ArrayList<>();
    List<String> two = new ArrayList<>();
    for (List<String> trace : List.of(one, two)) {
      SimulatedView w = new SimulatedView(seed);
      SourceHistory truth = new SourceHistory(10, new TreeMap<>());
      for (int i = 0; i < 60; i++) {
        truth.change(w.random, w.now);
        MembershipUpdate c =
            w.core.endpointsReceived(
                w.now,
                "p0",
                truth.seq() - w.random.nextInt(2),
                true,
                List.copyOf(truth.at(truth.seq()).values()));
        trace.add(c.toString());
        w.now += w.random.nextInt(150);
      }
    }
    assertEquals(one, two);
  }
}
