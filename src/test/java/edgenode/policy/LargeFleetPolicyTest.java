package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What is harmless at one gateway of a large fleet and harmful when all do it, and what thin
 * traffic tells late.
 */
class LargeFleetPolicyTest {
  private static final int NODES = 14;

  private static FakeGateway one(FakeGateway gateway) {
    gateway.nodeCount = NODES;
    return gateway.start().listEndpoints(60);
  }

  /**
   * A crowded class took longer than half its aim: each request was given up before the counter
   * could answer.
   */
  @Test
  void aRequestOutlivesItsQuestionToTheCounter() {
    FakeGateway gateway = one(new FakeGateway());
    for (int i = 0; i < 200; i++) {
      gateway.advanceTo(i * 50);
      gateway.arrive(i, "read", "big", "c");
      gateway.answerCounter(CallOutcome.OK);
      gateway.engine.attemptEnded(gateway.nowMs, i, 0, CallOutcome.OK, 590, true, 0, new double[0]);
    }
    gateway.arrive(1000, "read", "rate", "d");
    gateway.advanceTo(gateway.nowMs + 10);
    assertEquals(0, gateway.count("refuse 1000"));
    gateway.answerCounter(CallOutcome.OK);
    assertEquals(1, gateway.count("send 1000"));
  }

  @Test
  void waitingForTheCounterEndsBeforeTheClientsWait() {
    FakeGateway gateway = one(new FakeGateway());
    gateway.engine.requestArrived(
        0, new IncomingRequest(1, "read", "rate", "c", 20, 1, 2, 0, false));
    gateway.advanceTo(18);
    assertEquals(1, gateway.count("refuse 1"), "the counter has 50 ms, this client 20");
  }

  /**
   * The cold ones were given their part of what all bore on average: next to nothing where most are
   * cold.
   */
  @Test
  void coldServersAreGivenTheirPartOfWhatWarmOnesBear() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(20);
    List<EndpointInfo> cold = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      cold.add(FakeGateway.endpoint(i, EndpointState.UP, 1));
    }
    gateway.engine.endpointsChanged(gateway.nowMs, cold, false);
    for (int i = 0; i < 150; i++) {
      gateway.advanceTo(i * 20);
      gateway.arrive(i, "read", "big", "c");
      if (i >= 10) {
        gateway.endAttempt(i - 10, 0, CallOutcome.OK);
      }
    }
    long toCold =
        gateway.actions.stream()
            .filter(l -> l.startsWith("send") && !l.endsWith(" s18") && !l.endsWith(" s19"))
            .count();
    assertTrue(toCold > 50, "of 150, two of 20 are warm: " + toCold);
  }

  /**
   * With few calls the counter heard of a third of what was sent, and all readings found too much
   * room.
   */
  @Test
  void anAddForAThinStoreStandsForWhatWasNeverTold() {
    FakeGateway gateway = new FakeGateway();
    gateway.nodeCount = 1000; // a call or two: the rest goes by belief
    gateway.start().listEndpoints(2000);
    for (int i = 0; i < 12; i++) {
      gateway.arrive(i, "read", "rate", "c" + i, 1, 20);
      gateway.answerCounter(CallOutcome.OK);
      gateway.endAttempt(i, 0, CallOutcome.OK);
    }
    long told = gateway.count("count");
    gateway.advanceTo(260); // a call more
    gateway.arrive(20, "read", "rate", "d", 1, 20);
    gateway.advanceTo(600);
    gateway.arrive(21, "read", "rate", "e", 1, 20);
    assertTrue(gateway.count("count") > told, "another add");
    double last =
        Double.parseDouble(
            gateway.actions.stream()
                .filter(l -> l.startsWith("count"))
                .reduce((x, y) -> y)
                .orElseThrow()
                .split(" ")[1]);
    assertTrue(last > 1.5 && last <= 2.5, "stands for " + last);
  }

  /**
   * Half of a crowded counter's answers came too late, and each of these requests was refused with
   * quota unused.
   */
  @Test
  void aCallWithoutAnswerLeavesItToBelief() {
    FakeGateway gateway = one(new FakeGateway());
    gateway.arrive(1, "read", "rate", "c");
    assertEquals(0, gateway.count("send 1"));
    gateway.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, gateway.count("send 1"), "nothing speaks against it");
  }

  /**
   * The most that was tried was believed for half a minute: a quarter of the calls went unanswered
   * all day.
   */
  @Test
  void callsSettleUnderWhatTheCounterAnswers() {
    FakeGateway gateway = one(new FakeGateway());
    int calls = 0;
    int unanswered = 0;
    int room = 0;
    for (int i = 0; i < 2000; i++) {
      gateway.advanceTo(i * 10);
      room =
          i % 25 == 0
              ? 4
              : room; // this gateway's part of what the counter can answer in a subperiod
      gateway.arrive(i, "read", "rate", "c" + i);
      for (int k = gateway.counterCalls.size(); k > 0; k--) {
        boolean late = room-- <= 0;
        calls += i < 1000 ? 0 : 1;
        unanswered += i < 1000 || !late ? 0 : 1;
        gateway.engine.counterCallEnded(
            gateway.nowMs,
            gateway.counterCalls.remove(0)[0],
            late ? CallOutcome.TIMEOUT : CallOutcome.OK,
            2,
            gateway.counterTotals.remove(0));
      }
      gateway.endAttempt(i, 0, CallOutcome.OK);
    }
    assertTrue(calls >= 80, "half of what there is at least: " + calls);
    assertTrue(unanswered * 8 < calls, unanswered + " of " + calls + " unanswered");
  }

  /**
   * By calls spent and gateways of the customer: on few nodes a give-back that was carried was
   * taken twice.
   */
  @Test
  void scarceCallsCarryWhatIsGivenBack() {
    for (int[] w : new int[][] {{0, 20, 1}, {3, 20, 0}, {3, 2, 1}}) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeCount = 1000; // four calls are saved up
      gateway.start().listEndpoints(2000);
      for (int i = 0; i < w[0]; i++) {
        gateway.arrive(i, "read", "rate", "c" + i);
        gateway.answerCounter(CallOutcome.OK);
      }
      gateway.arrive(9, "read", "rate", "d", 1, w[1]);
      gateway.engine.counterCallEnded(
          gateway.nowMs,
          gateway.counterCalls.remove(0)[0],
          CallOutcome.OK,
          2,
          12 + 1); // others took more than all
      assertEquals(0, gateway.count("send 9"));
      assertEquals(
          w[2], gateway.count("count -1.0"), "after " + w[0] + " calls, of " + w[1] + " gateways");
    }
  }

  /**
   * Hardly a connection was used twice: a handshake an attempt, and a server known by one answer.
   */
  @Test
  void aNodeStaysWithTheServersItIsConnectedTo() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.keepAliveMs = 15_000;
    gateway.nodeCount = NODES;
    gateway.start().listEndpoints(60);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 100);
      gateway.arrive(i, "read", "big", "c");
      gateway.engine.attemptEnded(
          gateway.nowMs, i, 0, CallOutcome.OK, 75, true, 0, new double[0]); // as long as all take
      used.add(gateway.lastEndpointOf(i));
    }
    assertTrue(used.size() <= 3, "one request at a time: " + used);
    for (int i = 100; i < 120; i++) {
      gateway.arrive(i, "read", "big", "c");
      used.add(gateway.lastEndpointOf(i));
    }
    assertTrue(used.size() >= 15, "twenty at once: " + used);
  }

  @Test
  void aNodeLeavesAServerThatIsSlowerThanAHandshakeIsDear() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.keepAliveMs = 15_000;
    gateway.nodeCount = NODES;
    gateway.start().listEndpoints(60);
    String slow = null;
    int kept = 0;
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 100);
      gateway.arrive(i, "read", "big", "c");
      slow = slow == null ? gateway.lastEndpointOf(i) : slow;
      kept += gateway.lastEndpointOf(i).equals(slow) ? 1 : 0;
      double took = gateway.lastEndpointOf(i).equals(slow) ? 145 : 75;
      gateway.engine.attemptEnded(
          gateway.nowMs, i, 0, CallOutcome.OK, took, true, 0, new double[0]);
    }
    assertTrue(kept < 30, "one in four at most: " + kept);
  }

  /** The pace was a bound on idle servers: of ten at once every 1.25 s two to five were served. */
  @Test
  void whatComesAllAtOnceGoesWhereAnswersAreInTime() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.nodeCount = 1;
    gateway.start().listEndpoints(10);
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(1250 * (1 + i / 10));
      gateway.arrive(i, "read", "big", "c");
      if (i % 10 == 9) {
        gateway.advanceTo(gateway.nowMs + 40);
        for (int k = i - 9; k <= i; k++) {
          gateway.endAttempt(k, 0, CallOutcome.OK);
        }
        assertEquals(i + 1, gateway.count("send"), "all of round " + i / 10);
      }
    }
  }

  /**
   * One late answer took the pace under all that is asked, and nothing was believed for a second.
   */
  @Test
  void oneLateAnswerDoesNotEndBelief() {
    FakeGateway gateway = new FakeGateway();
    gateway.nodeCount = 1000; // a call or two
    gateway.start().listEndpoints(2000);
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 250);
      gateway.arrive(i, "read", "rate", "c" + i);
      gateway.answerCounter(CallOutcome.TIMEOUT);
      if (i != 90) {
        gateway.endAttempt(i, 0, CallOutcome.OK);
      }
    }
    assertEquals(
        100,
        gateway.actions.stream()
            .filter(l -> l.startsWith("send"))
            .map(l -> l.split(" ")[1])
            .distinct()
            .count());
  }

  /**
   * Where all warm ones were equally late a cold one still seemed worse than any, and its budget
   * lapsed.
   */
  @Test
  void aColdServersBudgetIsSpentWhileWarmOnesAreFree() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    long toCold = 0;
    for (int i = 0; i < 160; i++) { // 20 a second, one at a time: five for each
      gateway.advanceTo(i * 50);
      if (i == 60) {
        gateway.engine.endpointsChanged(
            gateway.nowMs,
            List.of(FakeGateway.endpoint(0, EndpointState.UP, gateway.nowMs - 100)),
            false);
      }
      gateway.arrive(i, "read", "big", "c");
      toCold += i >= 60 && "s0".equals(gateway.lastEndpointOf(i)) ? 1 : 0;
      gateway.engine.attemptEnded(gateway.nowMs, i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
    }
    assertTrue(
        toCold >= 3 && toCold <= 10, "a fifth to a half of five a second in 5 s is 8: " + toCold);
  }
}
