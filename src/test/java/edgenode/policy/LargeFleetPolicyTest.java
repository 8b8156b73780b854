package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What is harmless at one node of a large fleet and harmful when all do it, and what a node with
 * little traffic learns late. The invariants are those of docs/design/fleet.md.
 */
class LargeFleetPolicyTest {
  private static final int NODES = 14;

  private static FakeGateway oneNode(FakeGateway gateway) {
    gateway.nodeCount = NODES;
    return gateway.start().listEndpoints(60);
  }

  /**
   * Where answers took over half the objective, requests were given up before the counter answered.
   */
  @Test
  void queuedRequestOutlivesItsCounterCall() {
    FakeGateway gateway = oneNode(new FakeGateway());
    for (int i = 0; i < 200; i++) {
      gateway.advanceTo(i * 50);
      gateway.arrive(i, "read", "big", "c");
      gateway.answerCounter(CallOutcome.OK);
      gateway.answerAfter(i, 590);
    }
    gateway.arrive(1000, "read", "rate", "d");
    gateway.advanceTo(gateway.nowMs + 10);
    assertEquals(0, gateway.actionCount("reject 1000"));
    gateway.answerCounter(CallOutcome.OK);
    assertEquals(1, gateway.actionCount("send 1000"));
  }

  @Test
  void waitForTheCounterEndsBeforeTheClientsDeadline() {
    FakeGateway gateway = oneNode(new FakeGateway());
    gateway.engine.requestArrived(
        0, new IncomingRequest(1, "read", "rate", "c", 20, 1, 2, 0, false));
    gateway.advanceTo(18);
    assertEquals(1, gateway.actionCount("reject 1"), "the counter has 50 ms, this client 20");
  }

  /** Cold endpoints got their part of the mean over all: next to nothing where most are cold. */
  @Test
  void coldEndpointsGetTheirPartOfWhatWarmOnesGet() {
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
            .filter(l -> l.startsWith("send ") && !l.endsWith(" s18") && !l.endsWith(" s19"))
            .count();
    assertTrue(toCold > 50, "of 150, two of 20 are warm: " + toCold);
  }

  /** With few calls the counter heard of a third of what was sent: readings found too much left. */
  @Test
  void addOfAnUnderSampledCustomerStandsForUnreportedUnits() {
    FakeGateway gateway = new FakeGateway();
    gateway.nodeCount = 1000; // a call or two: the rest goes by the estimate
    gateway.start().listEndpoints(2000);
    for (int i = 0; i < 12; i++) {
      gateway.arrive(i, "read", "rate", "c" + i, 1, 20);
      gateway.answerCounter(CallOutcome.OK);
      gateway.endAttempt(i, 0, CallOutcome.OK);
    }
    long before = gateway.actionCount("add");
    gateway.advanceTo(260); // a call more
    gateway.arrive(20, "read", "rate", "d", 1, 20);
    gateway.advanceTo(600);
    gateway.arrive(21, "read", "rate", "e", 1, 20);
    assertTrue(gateway.actionCount("add") > before, "another add");
    double last = gateway.lastAddedAmount();
    assertTrue(last > 1.5 && last <= 2.5, "stands for " + last);
  }

  /**
   * Half of a crowded counter's answers came too late: requests were rejected with quota unused.
   */
  @Test
  void callWithoutAnswerLeavesTheRequestToTheEstimate() {
    FakeGateway gateway = oneNode(new FakeGateway());
    gateway.arrive(1, "read", "rate", "c");
    assertEquals(0, gateway.actionCount("send 1"));
    gateway.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, gateway.actionCount("send 1"), "the estimate covers it");
  }

  /**
   * A budget that had failed was kept for half a minute: a quarter of the calls went unanswered.
   */
  @Test
  void callBudgetSettlesUnderWhatTheCounterAnswers() {
    FakeGateway gateway = oneNode(new FakeGateway());
    int calls = 0;
    int unanswered = 0;
    int capacity = 0; // this node's part of what the counter can answer in a tick
    for (int i = 0; i < 2000; i++) {
      gateway.advanceTo(i * 10);
      capacity = i % 25 == 0 ? 4 : capacity;
      gateway.arrive(i, "read", "rate", "c" + i);
      for (int k = gateway.counterCalls.size(); k > 0; k--) {
        boolean late = capacity-- <= 0;
        calls += i < 1000 ? 0 : 1;
        unanswered += i < 1000 || !late ? 0 : 1;
        FakeGateway.UnansweredCounterCall call = gateway.counterCalls.remove(0);
        CallOutcome outcome = late ? CallOutcome.TIMEOUT : CallOutcome.OK;
        gateway.engine.counterCallEnded(gateway.nowMs, call.name(), outcome, 2, call.total());
      }
      gateway.endAttempt(i, 0, CallOutcome.OK);
    }
    assertTrue(calls >= 80, "half of what there is at least: " + calls);
    assertTrue(unanswered * 8 < calls, unanswered + " of " + calls + " unanswered");
  }

  private record ReleaseCase(int callsSpent, int nodeSpread, int releaseCalls) {}

  /** Of a customer on few nodes, a release that went with the next add was taken off twice. */
  @Test
  void releasesGoWithTheNextAddWhileCallsAreScarce() {
    for (ReleaseCase given :
        List.of(new ReleaseCase(0, 20, 1), new ReleaseCase(3, 20, 0), new ReleaseCase(3, 2, 1))) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeCount = 1000; // four calls are saved up
      gateway.start().listEndpoints(2000);
      for (int i = 0; i < given.callsSpent; i++) {
        gateway.arrive(i, "read", "rate", "c" + i);
        gateway.answerCounter(CallOutcome.OK);
      }
      gateway.arrive(9, "read", "rate", "d", 1, given.nodeSpread);
      gateway.engine.counterCallEnded(
          gateway.nowMs,
          gateway.counterCalls.remove(0).name(),
          CallOutcome.OK,
          2,
          12 + 1); // other nodes took more than all
      assertEquals(0, gateway.actionCount("send 9"));
      assertEquals(given.releaseCalls, gateway.actionCount("add -1.0"), given.toString());
    }
  }

  /** Hardly a connection was used twice: a handshake an attempt, and one answer an endpoint. */
  @Test
  void nodeStaysWithTheEndpointsItIsConnectedTo() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.keepAliveMs = 15_000;
    gateway.nodeCount = NODES;
    gateway.start().listEndpoints(60);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 100);
      gateway.arrive(i, "read", "big", "c");
      gateway.answerAfter(i, 75); // as long as all endpoints take
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
  void nodeLeavesAnEndpointThatIsSlowerThanAHandshakeCosts() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.keepAliveMs = 15_000;
    gateway.nodeCount = NODES;
    gateway.start().listEndpoints(60);
    String slow = null;
    int stayed = 0;
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 100);
      gateway.arrive(i, "read", "big", "c");
      slow = slow == null ? gateway.lastEndpointOf(i) : slow;
      stayed += gateway.lastEndpointOf(i).equals(slow) ? 1 : 0;
      double took = gateway.lastEndpointOf(i).equals(slow) ? 145 : 75;
      gateway.answerAfter(i, took);
    }
    assertTrue(stayed < 30, "one in four at most: " + stayed);
  }

  /** The pace held back idle endpoints: of ten at once every 1.25 s two to five were served. */
  @Test
  void burstIsNotPacedWhileAnswersAreInTime() {
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
        assertEquals(i + 1, gateway.actionCount("send"), "all of round " + i / 10);
      }
    }
  }

  /** One late answer took the pace under the arrivals, and no estimate was trusted for a second. */
  @Test
  void oneLateAnswerDoesNotEndTrustInEstimates() {
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
    assertEquals(100, gateway.requestsSent());
  }

  /** Where all warm endpoints were late, a cold one still scored worse, and its budget lapsed. */
  @Test
  void slowStartBudgetIsSpentWhileWarmEndpointsAreIdle() {
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
      gateway.answerAfter(i, 75);
    }
    assertTrue(
        toCold >= 3 && toCold <= 10, "a fifth to a half of five a second in 5 s is 8: " + toCold);
  }
}
