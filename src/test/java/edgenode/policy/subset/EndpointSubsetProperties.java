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
 * The subset against a model that knows only the definition, and whole fleets against the figures
 * of the design note. The numbers in the comments are those of the invariants in
 * docs/design/subset.md.
 */
class EndpointSubsetProperties {
  private record TestEndpoint(String id, String zone, int cell, boolean isUp) {}

  /** The definition, by sorting everything anew. */
  private static final class NaiveSubset {
    final Map<String, TestEndpoint> known = new TreeMap<>();
    final int nodeIndex;
    final double nodeCount;
    final double minEndpoints;
    double widthFactor = 1;

    NaiveSubset(int nodeIndex, int nodeCount, int minEndpoints) {
      this.nodeIndex = nodeIndex;
      this.nodeCount = nodeCount;
      this.minEndpoints = minEndpoints;
    }

    double fraction() {
      double even = Math.min(1, Math.max(minEndpoints / Math.max(1, known.size()), 8 / nodeCount));
      return Math.min(1, widthFactor * even);
    }

    Set<String> held() {
      Set<String> held = new TreeSet<>(known.keySet());
      held.removeIf(
          id ->
              EndpointSubset.offsetOf(id, EndpointSubset.arcStart(nodeIndex))
                  >= (long) (fraction() * EndpointSubset.CIRCLE_LENGTH));
      return held;
    }
  }

  private static TestEndpoint endpoint(int number, int zones) {
    int cell = number / 10;
    return new TestEndpoint("s-" + Integer.toHexString(number), "z" + cell % zones, cell, true);
  }

  private static void put(EndpointSubset<TestEndpoint> subset, TestEndpoint endpoint) {
    subset.put(endpoint.id, endpoint.isUp, endpoint, endpoint.zone, endpoint.cell);
  }

  /** Applies changes to what the caller of the subset takes to be held. */
  private static void follow(Set<String> view, EndpointSubset.Changes<TestEndpoint> changes) {
    for (String id : changes.removed()) {
      assertTrue(view.remove(id), "removed, and was not held: " + id);
    }
    for (TestEndpoint endpoint : changes.added()) {
      assertTrue(view.add(endpoint.id), "added twice: " + endpoint.id);
    }
  }

  /**
   * 1, 2: any events: the same endpoint again, unknown ones, other zones, shorter and empty lists.
   */
  @Property(tries = 300, seed = "1")
  void subsetIsWhatTheDefinitionSays(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    Random random = new Random(seed);
    int nodeCount = 1 + random.nextInt(random.nextBoolean() ? 12 : 300);
    int minEndpoints = 1 + random.nextInt(20);
    int nodeIndex = random.nextInt(nodeCount);
    EndpointSubset<TestEndpoint> subset = new EndpointSubset<>(nodeIndex, nodeCount, minEndpoints);
    NaiveSubset model = new NaiveSubset(nodeIndex, nodeCount, minEndpoints);
    Set<String> view = new HashSet<>();
    int names = 5 + random.nextInt(80);
    for (int step = 0; step < 120; step++) {
      changeEndpoints(random, names, subset, model);
      changeListOrWidth(random, names, subset, model);
      follow(view, subset.applyChanges());
      assertEquals(model.held(), view, "step " + step);
      assertFigures(subset, model);
      assertEquals(
          new EndpointSubset<TestEndpoint>(0, 1, 1).applyChanges(),
          subset.applyChanges(),
          "nothing moves by itself");
    }
  }

  private static void changeEndpoints(
      Random random, int names, EndpointSubset<TestEndpoint> subset, NaiveSubset model) {
    for (int left = random.nextInt(6); left >= 0; left--) {
      TestEndpoint endpoint =
          new TestEndpoint(
              "s" + random.nextInt(names),
              "z" + random.nextInt(3),
              random.nextInt(8),
              random.nextInt(4) > 0);
      if (random.nextInt(3) > 0) {
        put(subset, endpoint);
        model.known.put(endpoint.id, endpoint);
      } else {
        subset.remove(endpoint.id);
        model.known.remove(endpoint.id);
      }
    }
  }

  private static void changeListOrWidth(
      Random random, int names, EndpointSubset<TestEndpoint> subset, NaiveSubset model) {
    switch (random.nextInt(12)) {
      case 0 -> {
        Set<String> ids = new HashSet<>();
        for (int left = random.nextInt(names); left > 0; left--) {
          ids.add("s" + random.nextInt(names));
        }
        subset.retainOnly(ids);
        model.known.keySet().retainAll(ids);
      }
      case 1 -> {
        model.widthFactor = 1 + 3 * random.nextDouble();
        subset.setWidthFactor(model.widthFactor);
      }
      case 2 -> {
        model.widthFactor = 1;
        subset.setWidthFactor(random.nextDouble()); // under 1 it is the even arc
      }
      default -> {}
    }
  }

  private static void assertFigures(EndpointSubset<TestEndpoint> subset, NaiveSubset model) {
    Set<String> held = model.held();
    int size = model.known.size();
    double evenFraction =
        Math.min(1, Math.max(model.minEndpoints / Math.max(1.0, size), 8.0 / model.nodeCount));
    assertEquals(evenFraction * size, subset.evenSize(), 1e-9);
    long up = model.known.values().stream().filter(endpoint -> endpoint.isUp).count();
    assertEquals(up, subset.upCount());
    model.known.keySet().forEach(id -> assertEquals(held.contains(id), subset.contains(id)));
    assertTrue(!subset.holdsAll() || held.equals(model.known.keySet()), "2: all are held");
    assertTrue(
        subset.holdsAll()
            || size > model.minEndpoints && model.nodeCount > EndpointSubset.MIN_NODES_PER_ENDPOINT,
        "2: long lists and large fleets only");
  }

  /** 8: endpoints in one zone or in many, all in one cell. */
  @Property(tries = 20, seed = "1")
  void oddListsAreHeld(
      @ForAll @IntRange(min = 1, max = 400) int zones,
      @ForAll @LongRange(min = 0, max = 1000) long seed) {
    Random random = new Random(seed);
    EndpointSubset<TestEndpoint> subset = new EndpointSubset<>(3, 100, 16);
    Set<String> view = new HashSet<>();
    Set<String> known = new HashSet<>();
    for (int i = 0; i < 1500; i++) {
      TestEndpoint endpoint =
          new TestEndpoint("s" + random.nextInt(400), "z" + random.nextInt(zones), 1, true);
      if (i % 3 < 2) {
        put(subset, endpoint);
        known.add(endpoint.id);
      } else {
        subset.remove(endpoint.id);
        known.remove(endpoint.id);
      }
      follow(view, subset.applyChanges());
      assertTrue(known.containsAll(view), "held, and not known");
    }
    assertEquals(known.size(), subset.upCount());
    assertTrue(view.size() < 100, "a few of " + known.size() + ": " + view.size());
    subset.retainOnly(Set.of());
    follow(view, subset.applyChanges());
    assertEquals(Set.of(), view);
    assertEquals(0, subset.upCount());
    assertTrue(subset.holdsAll());
  }

  private record TestFleet(List<EndpointSubset<TestEndpoint>> nodes, List<Set<String>> views) {
    static TestFleet of(int nodes, int minEndpoints, List<TestEndpoint> list) {
      TestFleet fleet = new TestFleet(new ArrayList<>(), new ArrayList<>());
      for (int m = 0; m < nodes; m++) {
        fleet.nodes.add(new EndpointSubset<>(m, nodes, minEndpoints));
        fleet.views.add(new HashSet<>());
        for (TestEndpoint endpoint : list) {
          put(fleet.nodes.get(m), endpoint);
        }
      }
      fleet.applyChanges();
      return fleet;
    }

    /** How many were added or removed, at all nodes together. */
    int applyChanges() {
      int moved = 0;
      for (int m = 0; m < nodes.size(); m++) {
        EndpointSubset.Changes<TestEndpoint> changes = nodes.get(m).applyChanges();
        moved += changes.added().size() + changes.removed().size();
        follow(views.get(m), changes);
      }
      return moved;
    }
  }

  private static List<TestEndpoint> list(int size, int zones) {
    List<TestEndpoint> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(endpoint(i, zones));
    }
    return list;
  }

  /** Three off the mean at most: that is how uneven the nodes' places on the circle are. */
  private static void assertEvenlyHeld(TestFleet fleet, List<TestEndpoint> list, double share) {
    Map<String, Integer> holders = new HashMap<>();
    fleet.views.forEach(held -> held.forEach(id -> holders.merge(id, 1, Integer::sum)));
    double mean = Math.min(1, share) * fleet.nodes.size();
    for (TestEndpoint endpoint : list) {
      int count = holders.getOrDefault(endpoint.id, 0);
      assertTrue(
          Math.abs(count - mean) <= 3,
          endpoint.id + " is held by " + count + " nodes, the mean is " + mean);
    }
  }

  /** 3: every endpoint is held by as many nodes, but for the unevenness of the nodes' places. */
  @Property(tries = 15, seed = "1")
  void everyEndpointIsHeldByAsManyNodes(
      @ForAll @IntRange(min = 20, max = 150) int nodes,
      @ForAll @IntRange(min = 100, max = 1200) int endpoints,
      @ForAll @IntRange(min = 16, max = 64) int minEndpoints) {
    List<TestEndpoint> list = list(endpoints, 3);
    TestFleet fleet = TestFleet.of(nodes, minEndpoints, list);
    double share = Math.max((double) minEndpoints / endpoints, 8.0 / nodes);
    assertEvenlyHeld(fleet, list, share);
    for (Set<String> held : fleet.views) {
      double even = share * endpoints; // a Poisson variable: six standard deviations
      assertTrue(
          Math.abs(held.size() - even) <= 6 * Math.sqrt(even) + 3,
          "size " + held.size() + " of " + even);
    }
  }

  /**
   * 4: one endpoint moves itself and the ends of arcs; a node that comes or goes moves next to
   * nothing elsewhere.
   */
  @Property(tries = 8, seed = "1")
  void changesMoveLittle(
      @ForAll @IntRange(min = 20, max = 120) int nodes,
      @ForAll @IntRange(min = 200, max = 1200) int endpoints) {
    int minEndpoints = 32;
    List<TestEndpoint> list = list(endpoints, 3);
    TestFleet fleet = TestFleet.of(nodes, minEndpoints, list);
    double share = Math.max((double) minEndpoints / endpoints, 8.0 / nodes);
    List<Set<String>> before =
        fleet.views.stream().map(view -> (Set<String>) new HashSet<>(view)).toList();
    int moved = 0;
    for (int i = 0; i < 40; i++) {
      TestEndpoint endpoint = list.get(i * endpoints / 40);
      fleet.nodes.forEach(node -> node.remove(endpoint.id));
      moved += fleet.applyChanges();
    }
    // each is held by share * nodes, and the arcs are longer by a part of an endpoint
    assertTrue(
        moved <= 40 * 2.5 * (share * nodes + 1),
        "removed: " + moved / 40.0 + " of " + share * nodes);
    int added = 0;
    for (int i = 0; i < 40; i++) {
      TestEndpoint endpoint = list.get(i * endpoints / 40);
      fleet.nodes.forEach(node -> put(node, endpoint));
      added += fleet.applyChanges();
    }
    assertTrue(
        added <= 40 * 2.5 * (share * nodes + 1),
        "added again: " + added / 40.0 + " of " + share * nodes);
    assertEquals(before, fleet.views, "all is as before");
    TestFleet more = TestFleet.of(nodes + 1, minEndpoints, list);
    int differs = 0;
    for (int m = 0; m < nodes; m++) {
      Set<String> onlyBefore = new HashSet<>(fleet.views.get(m));
      onlyBefore.removeAll(more.views.get(m));
      differs += onlyBefore.size();
    }
    assertTrue(
        differs <= 2 * 8.0 * endpoints / nodes + 10,
        "one node more: " + differs + " of " + share * endpoints * nodes);
  }

  /** 5: a zone or a cell that is lost takes nothing else away, and the rest is held as evenly. */
  @Property(tries = 8, seed = "1")
  void lossOfAGroupOnlyAddsOthers(
      @ForAll @IntRange(min = 20, max = 100) int nodes,
      @ForAll @IntRange(min = 300, max = 1200) int endpoints,
      @ForAll boolean isCell) {
    List<TestEndpoint> list = list(endpoints, 3);
    TestFleet fleet = TestFleet.of(nodes, 48, list);
    List<Set<String>> before =
        fleet.views.stream().map(view -> (Set<String>) new HashSet<>(view)).toList();
    List<TestEndpoint> rest =
        list.stream()
            .filter(endpoint -> isCell ? endpoint.cell != 7 : !endpoint.zone.equals("z1"))
            .toList();
    Set<String> ids = new HashSet<>();
    rest.forEach(endpoint -> ids.add(endpoint.id));
    fleet.nodes.forEach(node -> node.retainOnly(ids));
    fleet.applyChanges();
    assertEvenlyHeld(fleet, rest, Math.max(48.0 / rest.size(), 8.0 / nodes));
    for (int m = 0; m < nodes; m++) {
      Set<String> stillListed = new HashSet<>(before.get(m));
      stillListed.retainAll(ids);
      assertTrue(fleet.views.get(m).containsAll(stillListed), "node " + m);
    }
  }

  /**
   * 6: no zone and no cell is much more, and no large zone much less, of a subset than of the list.
   */
  @Property(tries = 15, seed = "1")
  void noSubsetDependsOnOneZoneOrCell(
      @ForAll @IntRange(min = 20, max = 100) int nodes,
      @ForAll @IntRange(min = 300, max = 1200) int endpoints,
      @ForAll @IntRange(min = 2, max = 6) int zones) {
    List<TestEndpoint> list = list(endpoints, zones);
    double share = Math.max(64.0 / endpoints, 8.0 / nodes);
    for (Set<String> view : TestFleet.of(nodes, 64, list).views) {
      Map<Object, Integer> held = new HashMap<>();
      Map<Object, Integer> all = new HashMap<>();
      for (TestEndpoint endpoint : list) {
        for (Object group : new Object[] {endpoint.zone, endpoint.cell}) {
          all.merge(group, 1, Integer::sum);
          held.merge(group, view.contains(endpoint.id) ? 1 : 0, Integer::sum);
        }
      }
      all.forEach(
          (group, n) ->
              assertTrue(
                  Math.abs(held.get(group) - n * share) <= 6 * Math.sqrt(n * share) + 3,
                  group + ": " + held.get(group) + " of " + n + " at " + share));
    }
  }

  /** 7: all members of a group that are up are found, held or not. */
  @Property(tries = 30, seed = "1")
  void groupMembersAreFound(@ForAll @LongRange(min = 0, max = 1000) long seed) {
    Random random = new Random(seed);
    EndpointSubset<TestEndpoint> subset = new EndpointSubset<>(random.nextInt(50), 50, 8);
    List<TestEndpoint> list = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      list.add(new TestEndpoint("s" + i, "z" + i % 3, random.nextInt(60), random.nextInt(5) > 0));
      put(subset, list.get(i));
    }
    subset.applyChanges();
    for (TestEndpoint endpoint : list) {
      Set<TestEndpoint> cell = new HashSet<>(subset.groupMembers(endpoint.cell, 1000));
      assertEquals(
          new HashSet<>(
              list.stream().filter(other -> other.isUp && other.cell == endpoint.cell).toList()),
          cell);
      List<TestEndpoint> zone = subset.groupMembers(endpoint.zone, 4);
      assertTrue(
          zone.size() == 4
              && zone.stream().allMatch(other -> other.isUp && other.zone.equals(endpoint.zone)));
    }
    assertEquals(List.of(), subset.groupMembers(99, 3));
  }

  /** 9: widening only adds, narrowing only removes, and the even arc comes back. */
  @Property(tries = 30, seed = "1")
  void wideningOnlyAdds(@ForAll @IntRange(min = 0, max = 99) int nodeIndex) {
    EndpointSubset<TestEndpoint> subset = new EndpointSubset<>(nodeIndex, 100, 16);
    Set<String> view = new HashSet<>();
    list(500, 3).forEach(endpoint -> put(subset, endpoint));
    follow(view, subset.applyChanges());
    Set<String> even = new HashSet<>(view);
    for (double width : new double[] {1.5, 2, 4, 16}) {
      subset.setWidthFactor(width);
      EndpointSubset.Changes<TestEndpoint> changes = subset.applyChanges();
      assertEquals(List.of(), changes.removed());
      follow(view, changes);
    }
    assertEquals(500, view.size(), "sixteen times a twelfth is all");
    for (double width = 16; width > 0.9; width *= 0.95) {
      subset.setWidthFactor(width);
      EndpointSubset.Changes<TestEndpoint> changes = subset.applyChanges();
      assertEquals(List.of(), changes.added());
      follow(view, changes);
    }
    assertEquals(even, view);
  }
}
