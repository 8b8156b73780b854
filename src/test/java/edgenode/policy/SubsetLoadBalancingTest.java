package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.subset.EndpointSubset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The choice where a node holds a part of the endpoints; the numbers are those of the invariants in
 * docs/design/subset.md.
 */
class SubsetLoadBalancingTest {
  /** A node that holds 320 of 4,000 endpoints on average: 8 of 100 nodes hold each. */
  private static FakeGateway oneOfHundredNodes() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.nodeCount = 100;
    gateway.nodeIndex = 7;
    return gateway.start().listEndpoints(4000);
  }

  private static int endpointRecordCount(FakeGateway gateway) {
    return gateway.engine.endpoints().knownCount();
  }

  private static Set<String> serveRequests(
      FakeGateway gateway, long firstId, int count, double everyMs) {
    Set<String> used = new HashSet<>();
    for (long i = firstId; i < firstId + count; i++) {
      gateway.advanceTo(gateway.nowMs + everyMs);
      gateway.arrive(i, "read", "big", "c");
      if (gateway.lastEndpointOf(i) != null) {
        used.add(gateway.lastEndpointOf(i));
        gateway.answerAfter(i, 75);
      }
    }
    return used;
  }

  /** 8: lists of up to 256 on any fleet, and any list on three nodes. */
  @Test
  void smallListsAndFleetsAreServedAsWithoutASubset() {
    for (int seed = 0; seed < 20; seed++) {
      List<List<String>> actions = new ArrayList<>();
      for (int minSubsetSize : new int[] {0, Integer.MAX_VALUE}) {
        FakeGateway gateway = seed % 3 == 0 ? new FakeGateway() : FakeGateway.withoutCounter();
        gateway.nodeCount = new int[] {1, 2, 3, 14, 100}[seed % 5];
        gateway.nodeIndex = seed % gateway.nodeCount;
        gateway.keepAliveMs = seed % 2 * 15_000;
        gateway.minSubsetSize = minSubsetSize;
        int endpoints =
            gateway.nodeCount <= 3 && seed % 4 == 0
                ? 400
                : new int[] {3, 12, 60, 200, 1, 30}[seed % 6];
        actions.add(RandomScenario.run(gateway, seed, endpoints, 200).actions);
      }
      assertEquals(actions.get(1), actions.get(0), "seed " + seed);
      assertTrue(actions.get(0).size() > 20, "seed " + seed);
    }
  }

  /** 9: ever new endpoints replace others. */
  @Test
  void nodeKeepsRecordsOfItsSubsetOnly() {
    FakeGateway gateway = oneOfHundredNodes();
    serveRequests(gateway, 0, 300, 5);
    assertTrue(
        endpointRecordCount(gateway) > 250 && endpointRecordCount(gateway) < 400,
        "320 on average: " + endpointRecordCount(gateway));
    for (int i = 0; i < 200; i++) {
      gateway.engine.endpointsChanged(
          gateway.nowMs, List.of(FakeGateway.endpoint(5000 + i, EndpointState.UP, 0)), false);
      gateway.engine.endpointsChanged(
          gateway.nowMs, List.of(FakeGateway.endpoint(i, EndpointState.REMOVED, 0)), false);
    }
    serveRequests(gateway, 1000, 100, 5);
    assertTrue(
        endpointRecordCount(gateway) > 250 && endpointRecordCount(gateway) < 400,
        "new ones for old: " + endpointRecordCount(gateway));
    gateway.listEndpoints(10);
    assertEquals(10, endpointRecordCount(gateway), "a short list is held whole");
  }

  /** 7: a retry that is bound to a cell of two. */
  @Test
  void keyedRetryFindsItsCellOutsideTheSubset() {
    FakeGateway gateway = oneOfHundredNodes();
    int alone = 0;
    for (int i = 0; i < 40; i++) {
      gateway.advanceTo(gateway.nowMs + 20);
      gateway.arrive(i, "cell", "big", "c");
      int first = gateway.lastEndpointNumberOf(i);
      gateway.endAttempt(i, 0, CallOutcome.ERROR);
      gateway.advanceTo(gateway.nowMs + 60);
      int second = gateway.lastEndpointNumberOf(i);
      assertEquals(first / 2, second / 2);
      alone += first == second ? 1 : 0;
      gateway.endAttempt(i, 1, CallOutcome.OK);
    }
    assertEquals(0, alone, "two in a cell: the other one each time");
  }

  /** 10: all that a node holds drains; it goes on with others within two quota ticks. */
  @Test
  void subsetWidensWhereNothingOfItIsUp() {
    FakeGateway gateway = oneOfHundredNodes();
    List<EndpointInfo> drained = new ArrayList<>();
    for (Endpoint endpoint : gateway.engine.endpoints().inSubset()) {
      drained.add(
          FakeGateway.endpoint(
              Integer.parseInt(endpoint.id.substring(1)), EndpointState.DRAINING, 0));
    }
    gateway.engine.endpointsChanged(gateway.nowMs, drained, false);
    gateway.advanceTo(300);
    assertTrue(
        endpointRecordCount(gateway) > 500, "before any request: " + endpointRecordCount(gateway));
    assertTrue(serveRequests(gateway, 1, 100, 5).size() > 20);
    assertTrue(
        endpointRecordCount(gateway) > 500,
        "twice or four times as wide: " + endpointRecordCount(gateway));
    drained.replaceAll(
        info ->
            FakeGateway.endpoint(Integer.parseInt(info.id().substring(1)), EndpointState.UP, 0));
    gateway.engine.endpointsChanged(gateway.nowMs, drained, false);
    gateway.advanceTo(gateway.nowMs + 2000);
    assertTrue(
        endpointRecordCount(gateway) > 450, "narrower slowly: " + endpointRecordCount(gateway));
    gateway.advanceTo(gateway.nowMs + 60_000);
    assertTrue(endpointRecordCount(gateway) < 400, "320 again: " + endpointRecordCount(gateway));
  }

  /** 10: a node with much more than its share of the traffic, and no answers. */
  @Test
  void subsetWidensWhereAllOfItIsFull() {
    FakeGateway gateway = oneOfHundredNodes();
    serveRequests(gateway, 5000, 20, 5); // in time: nothing is paced
    for (int i = 0; i < 3000; i++) {
      gateway.advanceTo(gateway.nowMs + 0.05);
      gateway.arrive(i, "read", "big", "c" + i);
    }
    gateway.advanceTo(gateway.nowMs + 600);
    assertTrue(endpointRecordCount(gateway) > 500, "wider: " + endpointRecordCount(gateway));
  }

  /** 11: one request at a time stays with the endpoints that are connected. */
  @Test
  void oneRequestAtATimeUsesFewEndpointsOfASubset() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.keepAliveMs = 15_000;
    gateway.nodeCount = 100;
    gateway.start().listEndpoints(4000);
    Set<String> used = serveRequests(gateway, 0, 100, 100);
    assertTrue(used.size() <= 3, "one request at a time: " + used);
  }

  /** 12: nodes start anywhere on the circle, and chance is by names. */
  @Test
  void nodesDifferAndOneNodeRepeatsItsChoices() {
    FakeGateway one = oneOfHundredNodes();
    FakeGateway again = oneOfHundredNodes();
    assertEquals(serveRequests(one, 0, 200, 5), serveRequests(again, 0, 200, 5));
    FakeGateway other = FakeGateway.withoutCounter();
    other.nodeCount = 100;
    other.nodeIndex = 8;
    other.start().listEndpoints(4000);
    Set<String> both = serveRequests(other, 0, 200, 5);
    assertNotEquals(serveRequests(one, 500, 200, 5), both);
    both.retainAll(serveRequests(one, 1000, 200, 5));
    assertTrue(both.size() < 20, "a twelfth in common by chance: " + both.size());
  }

  /** 13: a cold endpoint gets the budgets of the nodes that hold it, not of all nodes. */
  @Test
  void nodesThatHoldAColdEndpointShareItsBudget() {
    int holders = 0;
    int cold = 0;
    int sent = 0;
    for (int index = 0; index < 100; index++) {
      FakeGateway gateway = FakeGateway.withoutCounter();
      gateway.nodeCount = 100;
      gateway.nodeIndex = index;
      gateway.seed = index;
      gateway.keepAliveMs = 15_000;
      gateway.start();
      gateway.nowMs = 10_000;
      gateway.listEndpoints(4000);
      if (!nodeHoldsFirstEndpoint(index)) {
        continue;
      }
      holders++;
      for (int i = 0; i < 3000; i++) { // 500 a second at each
        if (i == 1000) {
          gateway.engine.endpointsChanged(
              gateway.nowMs,
              List.of(FakeGateway.endpoint(0, EndpointState.UP, gateway.nowMs - 100)),
              false);
        }
        gateway.advanceTo(gateway.nowMs + 2);
        gateway.arrive(i, "read", "big", "c");
        gateway.answerAfter(i, 75);
        if (i == 999) {
          gateway.actions.clear();
        }
      }
      cold += gateway.sendsTo("s0");
      sent += gateway.actionCount("send");
    }
    assertTrue(holders >= 5 && holders <= 11, "holders " + holders);
    double warm = sent / 320.0;
    assertTrue(cold > 0 && cold <= 0.6 * warm, "cold " + cold + ", a warm one " + warm);
  }

  private static boolean nodeHoldsFirstEndpoint(int nodeIndex) {
    EndpointSubset<String> subset = new EndpointSubset<>(nodeIndex, 100, 256);
    for (int i = 0; i < 4000; i++) {
      subset.put("s" + i, true, "s" + i);
    }
    subset.applyChanges();
    return subset.contains("s0");
  }
}
