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
  private static final Limits LIMITS = Limits.defaults(18_000);

  /** What discovery has: its history, so that a source may tell any part of it. */
  private static final class Truth {
    final List<Map<String, Entry>> versions = new ArrayList<>();
    final long base;

    Truth(long base, Map<String, Entry> first) {
      this.base = base;
      versions.add(first);
    }

    long seq() {
      return base + versions.size() - 1;
    }

    Map<String, Entry> at(long seq) {
      return versions.get((int) (seq - base));
    }

    TreeSet<String> ups() {
      TreeSet<String> all = new TreeSet<>();
      at(seq())
          .forEach(
              (id, e) -> {
                if (e.server().state() == EndpointState.UP) {
                  all.add(id);
                }
              });
      return all;
    }

    void change(Random random, double now) {
      Map<String, Entry> next = new TreeMap<>(at(seq()));
      for (int n = 1 + random.nextInt(3); n > 0; n--) {
        String id = "s" + random.nextInt(8);
        switch (random.nextInt(4)) {
          case 0 -> next.remove(id);
          case 1 -> next.put(id, MembershipTest.entry(id, id + ":1", EndpointState.DRAINING, 0));
          default -> next.put(id, MembershipTest.entry(id, id + ":1", EndpointState.UP, 0));
        }
      }
      versions.add(next);
    }

    /** What changed from one version to another. */
    List<Entry> between(long from, long to) {
      List<Entry> changed = new ArrayList<>();
      Map<String, Entry> a = at(from);
      Map<String, Entry> b = at(to);
      for (String id : new TreeSet<>(a.keySet())) {
        if (!b.containsKey(id)) {
          changed.add(MembershipTest.entry(id, null, EndpointState.REMOVED, 0));
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

  private static final class World {
    final Random random;
    final Membership core = new Membership(LIMITS, "p0");
    final Map<String, Entry> view = new HashMap<>();
    double now = 1_000_000;
    boolean first = true;
    boolean askAnew;

    World(long seed) {
      random = new Random(seed);
    }

    void take(Membership.Changes c) {
      assertTrue(!c.whole() || first, "only the first is whole");
      first &= c.entries().isEmpty();
      askAnew |= c.askAnew();
      for (Entry e : c.entries()) {
        if (e.server().state() == EndpointState.REMOVED) {
          view.remove(e.id());
        } else {
          view.put(e.id(), e);
        }
      }
    }

    void pass(double ms) {
      double until = now + ms;
      for (double at = core.next(); at <= until; at = core.next()) {
        now = Math.max(now, at);
        take(core.tick(now));
      }
      now = until;
      take(core.tick(now));
    }

    boolean up(String id) {
      Entry e = view.get(id);
      return e != null && e.server().state() == EndpointState.UP;
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
    World w = new World(seed);
    Random r = w.random;
    Truth truth = new Truth(r.nextInt(50), new TreeMap<>());
    truth.change(r, w.now);
    Truth left = null;
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
            List<Entry> told = truth.between(watched, to);
            w.take(w.core.told(w.now, place, to, false, told));
            safe(w, told);
            watched = to;
          }
        }
        case 6, 7 -> { // the look, which may be late
          long seq = Math.max(truth.base, truth.seq() - (r.nextInt(3) == 0 ? r.nextInt(4) : 0));
          List<Entry> told = List.copyOf(truth.at(seq).values());
          long before = w.core.version();
          if (!(seq == lookedAt && place.equals(lookedIn) && w.core.again(w.now, place, seq))) {
            w.take(w.core.told(w.now, place, seq, true, told));
          }
          lookedAt = seq;
          lookedIn = place;
          if (!w.core.ignores(seq)) {
            safe(w, told);
          }
          if (seq >= before && w.core.figures(w.now).held() == 0) {
            for (String id : w.ups()) {
              assertTrue(truth.at(seq).containsKey(id), id + " is not in the newest list");
            }
          }
          watched = Math.max(watched, w.core.version());
        }
        case 8 -> { // what was left still speaks
          if (left != null) {
            left.change(r, w.now);
            List<Entry> told = left.between(left.seq() - 1, left.seq());
            w.take(w.core.told(w.now, leftPlace, left.seq(), false, told));
            safe(w, told);
          }
        }
        case 9 -> { // a move, to a place that may be behind
          if (r.nextInt(8) == 0) {
            if (leftPlace != null) {
              w.take(w.core.ended(w.now, leftPlace));
            }
            left = truth;
            leftPlace = place;
            place = "p" + ++places;
            truth =
                new Truth(
                    r.nextInt(50), truth.at(Math.max(truth.base, truth.seq() - r.nextInt(3))));
            w.core.move(w.now, place);
            watched = -1;
          }
        }
        case 10 -> {
          String id = "s" + r.nextInt(8);
          if (r.nextBoolean()) {
            w.take(w.core.reachable(w.now, id));
          } else {
            w.take(w.core.unreachable(w.now, id, r.nextBoolean(), r.nextInt(2)));
          }
        }
        default -> w.pass(r.nextInt(200));
      }
    }
    // the truth stands still, both eyes tell it, every server can be reached
    if (leftPlace != null) {
      w.take(w.core.ended(w.now, leftPlace));
    }
    for (int i = 0; i < 50; i++) {
      w.take(
          w.core.told(
              w.now, place, truth.seq(), true, List.copyOf(truth.at(truth.seq()).values())));
      for (String id : truth.at(truth.seq()).keySet()) {
        w.take(w.core.reachable(w.now, id));
      }
      w.pass(100);
    }
    assertEquals(truth.ups(), w.ups());
  }

  private static void safe(World w, List<Entry> told) {
    Map<String, Entry> last = new HashMap<>();
    told.forEach(e -> last.put(e.id(), e));
    for (Entry e : last.values()) {
      assertTrue(
          e.server().state() == EndpointState.UP || !w.up(e.id()), e.id() + " was told down");
    }
  }

  /** Both eyes agree on a steady truth for 2 s and no list was held: the view is theirs by then. */
  @Property(tries = 1000, seed = "1")
  void twoSecondsOfAgreement(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    World w = new World(seed);
    Random r = w.random;
    Truth truth = new Truth(10, new TreeMap<>());
    for (int i = 0; i < 60; i++) {
      truth.change(r, w.now);
      long seq = truth.seq() - (r.nextInt(4) == 0 ? r.nextInt(3) : 0);
      w.take(
          w.core.told(
              w.now,
              "p0",
              Math.max(10, seq),
              true,
              List.copyOf(truth.at(Math.max(10, seq)).values())));
      w.pass(r.nextInt(150));
    }
    for (int i = 0; i <= 20; i++) {
      w.take(
          w.core.told(w.now, "p0", truth.seq(), true, List.copyOf(truth.at(truth.seq()).values())));
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
      World w = new World(seed);
      Truth truth = new Truth(10, new TreeMap<>());
      for (int i = 0; i < 60; i++) {
        truth.change(w.random, w.now);
        Membership.Changes c =
            w.core.told(
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
