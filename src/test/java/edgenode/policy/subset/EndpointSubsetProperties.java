package edgenode.policy.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * The core against a model that knows only the definition, and whole fleets against the figures of
 * the design note. The numbers in the comments are those of docs/design/subset.md.
 */
class EndpointSubsetProperties {
  private record Server(String id, String zone, int cell, boolean up) {}

  /** The definition, by sorting everything anew. */
  private static final class Model {
    final Map<String, Server> known = new TreeMap<>();
    final int me;
    final double nodes;
    final double least;
    double width = 1;

    Model(int me, int nodes, int least) {
      this.me = me;
      this.nodes = nodes;
      this.least = least;
    }

    double share() {
      return Math.min(
          1, width * Math.min(1, Math.max(least / Math.max(1, known.size()), 8 / nodes)));
    }

    Set<String> held() {
      Set<String> held = new TreeSet<>(known.keySet());
      held.removeIf(
          id ->
              EndpointSubset.offsetOf(id, EndpointSubset.arcStart(me))
                  >= (long) (share() * EndpointSubset.CIRCLE_LENGTH));
      return held;
    }
  }

  private static Server server(int i, int zones) {
    return new Server("s-" + Integer.toHexString(i), "z" + i / 10 % zones, i / 10, true);
  }

  private static void put(EndpointSubset<Server> subset, Server s) {
    subset.put(s.id, s.up, s, s.zone, s.cell);
  }

  /** What the shell believes is held, by the moves that it was told. */
  private static void follow(Set<String> view, EndpointSubset.Changes<Server> moves) {
    for (String id : moves.removed()) {
      assertTrue(view.remove(id), "left, and was never told: " + id);
    }
    for (Server s : moves.added()) {
      assertTrue(view.add(s.id), "entered twice: " + s.id);
    }
  }

  /**
   * 1, 2: any events, names told twice, unknown ones, other zones, lists that go back or are empty.
   */
  @Property(tries = 300, seed = "1")
  void isWhatTheDefinitionSays(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    Random random = new Random(seed);
    int nodes = 1 + random.nextInt(random.nextBoolean() ? 12 : 300);
    int least = 1 + random.nextInt(20);
    int me = random.nextInt(nodes);
    EndpointSubset<Server> subset = new EndpointSubset<>(me, nodes, least);
    Model model = new Model(me, nodes, least);
    Set<String> view = new HashSet<>();
    int names = 5 + random.nextInt(80);
    for (int step = 0; step < 120; step++) {
      for (int n = random.nextInt(6); n >= 0; n--) {
        Server s =
            new Server(
                "s" + random.nextInt(names),
                "z" + random.nextInt(3),
                random.nextInt(8),
                random.nextInt(4) > 0);
        if (random.nextInt(3) > 0) {
          put(subset, s);
          model.known.put(s.id, s);
        } else {
          subset.remove(s.id);
          model.known.remove(s.id);
        }
      }
      switch (random.nextInt(12)) {
        case 0 -> {
          Set<String> ids = new HashSet<>();
          for (int n = random.nextInt(names); n > 0; n--) {
            ids.add("s" + random.nextInt(names));
          }
          subset.retainOnly(ids);
          model.known.keySet().retainAll(ids);
        }
        case 1 -> {
          model.width = 1 + 3 * random.nextDouble();
          subset.setWidthFactor(model.width);
        }
        case 2 -> {
          model.width = 1;
          subset.setWidthFactor(random.nextDouble()); // under 1 it is the even arc
        }
        default -> {}
      }
      follow(view, subset.applyChanges());
      Set<String> held = model.held();
      assertEquals(held, view, "step " + step);
      double even = Math.min(1, Math.max(least / Math.max(1.0, model.known.size()), 8.0 / nodes));
      assertEquals(even * model.known.size(), subset.evenSize(), 1e-9);
      assertEquals(model.known.values().stream().filter(s -> s.up).count(), subset.upCount());
      model.known.keySet().forEach(id -> assertEquals(held.contains(id), subset.contains(id)));
      assertTrue(!subset.holdsAll() || held.equals(model.known.keySet()), "2: whole");
      assertTrue(
          subset.holdsAll()
              || model.known.size() > least && nodes > EndpointSubset.MIN_NODES_PER_ENDPOINT,
          "2: bound and fleet");
      assertEquals(
          new EndpointSubset<Server>(0, 1, 1).applyChanges(),
          subset.applyChanges(),
          "nothing moves by itself");
    }
  }

  /**
   * 8: a list of many zones, each server in one of its own, or all in one cell, costs and keeps the
   * same.
   */
  @Property(tries = 20, seed = "1")
  void oddListsAreHeldToo(
      @ForAll @IntRange(min = 1, max = 400) int zones,
      @ForAll @LongRange(min = 0, max = 1000) long seed) {
    Random random = new Random(seed);
    EndpointSubset<Server> subset = new EndpointSubset<>(3, 100, 16);
    Set<String> view = new HashSet<>();
    Set<String> known = new HashSet<>();
    for (int i = 0; i < 1500; i++) {
      Server s = new Server("s" + random.nextInt(400), "z" + random.nextInt(zones), 1, true);
      if (i % 3 < 2) {
        put(subset, s);
        known.add(s.id);
      } else {
        subset.remove(s.id);
        known.remove(s.id);
      }
      follow(view, subset.applyChanges());
      assertTrue(known.containsAll(view), "held, and unknown");
    }
    assertEquals(known.size(), subset.upCount());
    assertTrue(view.size() < 100, "a few of " + known.size() + ": " + view.size());
    subset.retainOnly(Set.of());
    follow(view, subset.applyChanges());
    assertEquals(Set.of(), view);
    assertEquals(0, subset.upCount());
    assertTrue(subset.holdsAll());
  }

  private record Fleet(List<EndpointSubset<Server>> nodes, List<Set<String>> views) {
    static Fleet of(int nodes, int least, List<Server> list) {
      Fleet f = new Fleet(new ArrayList<>(), new ArrayList<>());
      for (int m = 0; m < nodes; m++) {
        f.nodes.add(new EndpointSubset<>(m, nodes, least));
        f.views.add(new HashSet<>());
        for (Server s : list) {
          put(f.nodes.get(m), s);
        }
      }
      f.settle();
      return f;
    }

    /** How many entered or left, at all nodes together. */
    int settle() {
      int moved = 0;
      for (int m = 0; m < nodes.size(); m++) {
        EndpointSubset.Changes<Server> moves = nodes.get(m).applyChanges();
        moved += moves.added().size() + moves.removed().size();
        follow(views.get(m), moves);
      }
      return moved;
    }
  }

  private static List<Server> list(int n, int zones) {
    List<Server> list = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      list.add(server(i, zones));
    }
    return list;
  }

  /** Three off the mean at most: what the nodes' places on the circle are uneven. */
  private static void even(Fleet f, List<Server> list, double share) {
    Map<String, Integer> holders = new HashMap<>();
    f.views.forEach(v -> v.forEach(id -> holders.merge(id, 1, Integer::sum)));
    double mean = Math.min(1, share) * f.nodes.size();
    for (Server s : list) {
      int h = holders.getOrDefault(s.id, 0);
      assertTrue(Math.abs(h - mean) <= 3, s.id + " has " + h + " holders, the mean is " + mean);
    }
  }

  /** 3: every server has as many holders, but for the unevenness of the nodes' places. */
  @Property(tries = 15, seed = "1")
  void everyServerHasAsManyHolders(
      @ForAll @IntRange(min = 20, max = 150) int nodes,
      @ForAll @IntRange(min = 100, max = 1200) int servers,
      @ForAll @IntRange(min = 16, max = 64) int least) {
    List<Server> list = list(servers, 3);
    Fleet f = Fleet.of(nodes, least, list);
    double share = Math.max((double) least / servers, 8.0 / nodes);
    even(f, list, share);
    for (Set<String> v : f.views) {
      double even =
          share * servers; // a node's servers are a Poisson variable: six standard deviations
      assertTrue(
          Math.abs(v.size() - even) <= 6 * Math.sqrt(even) + 3, "size " + v.size() + " of " + even);
    }
  }

  /**
   * 4: one server moves itself and the ends of arcs; a node that goes or comes moves next to
   * nothing elsewhere.
   */
  @Property(tries = 8, seed = "1")
  void littleMoves(
      @ForAll @IntRange(min = 20, max = 120) int nodes,
      @ForAll @IntRange(min = 200, max = 1200) int servers) {
    int least = 32;
    List<Server> list = list(servers, 3);
    Fleet f = Fleet.of(nodes, least, list);
    double share = Math.max((double) least / servers, 8.0 / nodes);
    List<Set<String>> before = f.views.stream().map(v -> (Set<String>) new HashSet<>(v)).toList();
    int moved = 0;
    for (int i = 0; i < 40; i++) {
      Server s = list.get(i * servers / 40);
      f.nodes.forEach(n -> n.remove(s.id));
      moved += f.settle();
    }
    // each has share * nodes holders, and the arcs are longer by a part of a server
    assertTrue(
        moved <= 40 * 2.5 * (share * nodes + 1), "gone: " + moved / 40.0 + " of " + share * nodes);
    int back = 0;
    for (int i = 0; i < 40; i++) {
      Server s = list.get(i * servers / 40);
      f.nodes.forEach(n -> put(n, s));
      back += f.settle();
    }
    assertTrue(
        back <= 40 * 2.5 * (share * nodes + 1), "back: " + back / 40.0 + " of " + share * nodes);
    assertEquals(before, f.views, "and all is as it was");
    Fleet more = Fleet.of(nodes + 1, least, list);
    int differs = 0;
    for (int m = 0; m < nodes; m++) {
      Set<String> one = new HashSet<>(f.views.get(m));
      one.removeAll(more.views.get(m));
      differs += one.size();
    }
    assertTrue(
        differs <= 2 * 8.0 * servers / nodes + 10,
        "one node more: " + differs + " of " + share * servers * nodes);
  }

  /** 5: a zone or a rack lost takes nothing else away, and the rest is held as evenly. */
  @Property(tries = 8, seed = "1")
  void aLossOnlyBringsIn(
      @ForAll @IntRange(min = 20, max = 100) int nodes,
      @ForAll @IntRange(min = 300, max = 1200) int servers,
      @ForAll boolean rack) {
    List<Server> list = list(servers, 3);
    Fleet f = Fleet.of(nodes, 48, list);
    List<Set<String>> before = f.views.stream().map(v -> (Set<String>) new HashSet<>(v)).toList();
    List<Server> rest =
        list.stream().filter(s -> rack ? s.cell != 7 : !s.zone.equals("z1")).toList();
    Set<String> ids = new HashSet<>();
    rest.forEach(s -> ids.add(s.id));
    f.nodes.forEach(n -> n.retainOnly(ids));
    f.settle();
    even(f, rest, Math.max(48.0 / rest.size(), 8.0 / nodes));
    for (int m = 0; m < nodes; m++) {
      Set<String> kept = new HashSet<>(before.get(m));
      kept.retainAll(ids);
      assertTrue(f.views.get(m).containsAll(kept), "node " + m);
    }
  }

  /**
   * 6: no zone and no rack is much more, and no large zone much less, of a subset than of the list.
   */
  @Property(tries = 15, seed = "1")
  void noSubsetHangsOnAZoneOrARack(
      @ForAll @IntRange(min = 20, max = 100) int nodes,
      @ForAll @IntRange(min = 300, max = 1200) int servers,
      @ForAll @IntRange(min = 2, max = 6) int zones) {
    List<Server> list = list(servers, zones);
    double share = Math.max(64.0 / servers, 8.0 / nodes);
    for (Set<String> v : Fleet.of(nodes, 64, list).views) {
      Map<Object, Integer> held = new HashMap<>();
      Map<Object, Integer> all = new HashMap<>();
      for (Server s : list) {
        for (Object group : new Object[] {s.zone, s.cell}) {
          all.merge(group, 1, Integer::sum);
          held.merge(group, v.contains(s.id) ? 1 : 0, Integer::sum);
        }
      }
      all.forEach(
          (group, n) ->
              assertTrue(
                  Math.abs(held.get(group) - n * share) <= 6 * Math.sqrt(n * share) + 3,
                  group + ": " + held.get(group) + " of " + n + " at " + share));
    }
  }

  /** 7: whoever holds a server finds its mates of a group that are up, itself among them or not. */
  @Property(tries = 30, seed = "1")
  void matesAreFound(@ForAll @LongRange(min = 0, max = 1000) long seed) {
    Random random = new Random(seed);
    EndpointSubset<Server> subset = new EndpointSubset<>(random.nextInt(50), 50, 8);
    List<Server> list = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      list.add(new Server("s" + i, "z" + i % 3, random.nextInt(60), random.nextInt(5) > 0));
      put(subset, list.get(i));
    }
    subset.applyChanges();
    for (Server s : list) {
      Set<Server> cell = new HashSet<>(subset.groupMembers(s.cell, 1000));
      assertEquals(
          new HashSet<>(list.stream().filter(o -> o.up && o.cell == s.cell).toList()), cell);
      List<Server> zone = subset.groupMembers(s.zone, 4);
      assertTrue(zone.size() == 4 && zone.stream().allMatch(o -> o.up && o.zone.equals(s.zone)));
    }
    assertEquals(List.of(), subset.groupMembers(99, 3));
  }

  /** 9: wider takes only in, narrower only out, and the even arc comes back. */
  @Property(tries = 30, seed = "1")
  void widerOnlyTakesIn(@ForAll @IntRange(min = 0, max = 99) int me) {
    EndpointSubset<Server> subset = new EndpointSubset<>(me, 100, 16);
    Set<String> view = new HashSet<>();
    list(500, 3).forEach(s -> put(subset, s));
    follow(view, subset.applyChanges());
    Set<String> even = new HashSet<>(view);
    for (double width : new double[] {1.5, 2, 4, 16}) {
      subset.setWidthFactor(width);
      EndpointSubset.Changes<Server> moves = subset.applyChanges();
      assertEquals(List.of(), moves.removed());
      follow(view, moves);
    }
    assertEquals(500, view.size(), "sixteen times a twelfth is all");
    for (double width = 16; width > 0.9; width *= 0.95) {
      subset.setWidthFactor(width);
      EndpointSubset.Changes<Server> moves = subset.applyChanges();
      assertEquals(List.of(), moves.added());
      follow(view, moves);
    }
    assertEquals(even, view);
  }
}
