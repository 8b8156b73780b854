package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.subset.Subset;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The choice where a node holds a part of the servers; the numbers are those of
 * docs/design/subset.md.
 */
class SubsetChoiceTest {
  /** A node that holds 320 of 4,000 on average: 8 holders of 100 nodes. */
  private static Bench large() {
    Bench b = Bench.plain();
    b.nodes = 100;
    b.me = 7;
    return b.start().servers(4000);
  }

  private static int records(Bench b) throws ReflectiveOperationException {
    Field hosts = PolicyEngine.class.getDeclaredField("hosts");
    hosts.setAccessible(true);
    return ((Map<?, ?>) hosts.get(b.module)).size();
  }

  private static Set<String> serve(Bench b, long from, int n, double every) {
    Set<String> used = new HashSet<>();
    for (long i = from; i < from + n; i++) {
      b.to(b.now + every);
      b.arrive(i, "read", "big", "c");
      if (b.sentTo(i) != null) {
        used.add(b.sentTo(i));
        b.module.attemptEnded(b.now, i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
      }
    }
    return used;
  }

  /**
   * 8: lists of up to 256 on any fleet, and any list on three nodes, without a bound and with the
   * default.
   */
  @Test
  void smallListsAndFleetsAreServedAsWithoutABound() {
    for (int seed = 0; seed < 20; seed++) {
      List<List<String>> logs = new ArrayList<>();
      for (int bound : new int[] {0, Integer.MAX_VALUE}) {
        Bench b = seed % 3 == 0 ? new Bench() : Bench.plain();
        b.nodes = new int[] {1, 2, 3, 14, 100}[seed % 5];
        b.me = seed % b.nodes;
        b.keepAlive = seed % 2 * 15_000;
        b.bound = bound;
        int servers =
            b.nodes <= 3 && seed % 4 == 0 ? 400 : new int[] {3, 12, 60, 200, 1, 30}[seed % 6];
        logs.add(Days.play(b, seed, servers, 200).log);
      }
      assertEquals(logs.get(1), logs.get(0), "seed " + seed);
      assertTrue(logs.get(0).size() > 20, "seed " + seed);
    }
  }

  /** 9 */
  @Test
  void aNodeKeepsRecordsOfItsSubsetOnly() throws Exception {
    Bench b = large();
    serve(b, 0, 300, 5);
    assertTrue(records(b) > 250 && records(b) < 400, "320 on average: " + records(b));
    for (int i = 0; i < 200; i++) {
      b.module.endpointsChanged(b.now, List.of(Bench.server(5000 + i, EndpointState.UP, 0)), false);
      b.module.endpointsChanged(b.now, List.of(Bench.server(i, EndpointState.REMOVED, 0)), false);
    }
    serve(b, 1000, 100, 5);
    assertTrue(records(b) > 250 && records(b) < 400, "new ones for old: " + records(b));
    b.servers(10);
    assertEquals(10, records(b), "a short list is held whole");
  }

  /** 7 */
  @Test
  void aKeyedRepeatFindsItsCellOutsideTheSubset() {
    Bench b = large();
    int alone = 0;
    for (int i = 0; i < 40; i++) {
      b.to(b.now + 20);
      b.arrive(i, "cell", "big", "c");
      int first = Integer.parseInt(b.sentTo(i).substring(1));
      b.end(i, 0, CallOutcome.ERROR);
      b.to(b.now + 60);
      int second = Integer.parseInt(b.sentTo(i).substring(1));
      assertEquals(first / 2, second / 2);
      alone += first == second ? 1 : 0;
      b.end(i, 1, CallOutcome.OK);
    }
    assertEquals(0, alone, "two in a cell: the other one each time");
  }

  /** 10: of what a node holds all begin to drain; it goes on with others within two edges. */
  @Test
  void aSubsetWidensWhereNothingOfItIsUp() throws Exception {
    Bench b = large();
    Field view = PolicyEngine.class.getDeclaredField("view");
    view.setAccessible(true);
    List<EndpointInfo> drained = new ArrayList<>();
    Field id = Class.forName("edgenode.policy.Decide$Host").getDeclaredField("id");
    id.setAccessible(true);
    for (Object h : (List<?>) view.get(b.module)) {
      drained.add(
          Bench.server(
              Integer.parseInt(((String) id.get(h)).substring(1)), EndpointState.DRAINING, 0));
    }
    b.module.endpointsChanged(b.now, drained, false);
    b.to(300);
    assertTrue(records(b) > 500, "before anybody asked: " + records(b));
    assertTrue(serve(b, 1, 100, 5).size() > 20);
    assertTrue(records(b) > 500, "twice or four times as wide: " + records(b));
    drained.replaceAll(
        s -> Bench.server(Integer.parseInt(s.id().substring(1)), EndpointState.UP, 0));
    b.module.endpointsChanged(b.now, drained, false);
    b.to(b.now + 2000);
    assertTrue(records(b) > 450, "narrower slowly: " + records(b));
    b.to(b.now + 60_000);
    assertTrue(records(b) < 400, "320 again: " + records(b));
  }

  /** 10: a node with much more than its part of the traffic, and answers that do not come. */
  @Test
  void aSubsetWidensWhereAllOfItIsFull() throws Exception {
    Bench b = large();
    serve(b, 5000, 20, 5); // in time: nothing is paced
    for (int i = 0; i < 3000; i++) {
      b.to(b.now + 0.05);
      b.arrive(i, "read", "big", "c" + i);
    }
    b.to(b.now + 600);
    assertTrue(records(b) > 500, "wider: " + records(b));
  }

  /** 11: one request at a time stays with the servers that are connected. */
  @Test
  void oneRequestAtATimeUsesFewServersOfASubset() {
    Bench b = Bench.plain();
    b.keepAlive = 15_000;
    b.nodes = 100;
    b.start().servers(4000);
    Set<String> used = serve(b, 0, 100, 100);
    assertTrue(used.size() <= 3, "one request at a time: " + used);
  }

  /** 12: nodes start anywhere on the circle, and chance is by names. */
  @Test
  void nodesDifferAndOneNodeIsTheSameEachTime() {
    Bench one = large();
    Bench again = large();
    assertEquals(serve(one, 0, 200, 5), serve(again, 0, 200, 5));
    Bench other = Bench.plain();
    other.nodes = 100;
    other.me = 8;
    other.start().servers(4000);
    Set<String> both = serve(other, 0, 200, 5);
    assertNotEquals(serve(one, 500, 200, 5), both);
    both.retainAll(serve(one, 1000, 200, 5));
    assertTrue(both.size() < 20, "a twelfth in common by chance: " + both.size());
  }

  /** 13: a cold server gets what its holders' parts sum to, not that of all nodes. */
  @Test
  void theHoldersOfAColdServerShareItsRamp() {
    int holders = 0;
    int cold = 0;
    int sent = 0;
    for (int m = 0; m < 100; m++) {
      Bench b = Bench.plain();
      b.nodes = 100;
      b.me = m;
      b.seed = m;
      b.keepAlive = 15_000;
      b.start();
      b.now = 10_000;
      b.servers(4000);
      if (!holds(m)) {
        continue;
      }
      holders++;
      for (int i = 0; i < 3000; i++) { // 500 a second at each
        if (i == 1000) {
          b.module.endpointsChanged(
              b.now, List.of(Bench.server(0, EndpointState.UP, b.now - 100)), false);
        }
        b.to(b.now + 2);
        b.arrive(i, "read", "big", "c");
        b.module.attemptEnded(b.now, i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
        if (i == 999) {
          b.log.clear();
        }
      }
      cold += b.log.stream().filter(l -> l.startsWith("send") && l.endsWith(" s0")).count();
      sent += b.count("send");
    }
    assertTrue(holders >= 5 && holders <= 11, "holders " + holders);
    double warm = sent / 320.0;
    assertTrue(cold > 0 && cold <= 0.6 * warm, "cold " + cold + ", a warm one " + warm);
  }

  private static boolean holds(int me) {
    Subset<String> subset = new Subset<>(me, 100, 256);
    for (int i = 0; i < 4000; i++) {
      subset.put("s" + i, true, "s" + i);
    }
    subset.settle();
    return subset.holds("s0");
  }
}
