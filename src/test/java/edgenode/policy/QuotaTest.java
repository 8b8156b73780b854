package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What customers may spend: reservations, estimates, the counter's call budget and the cap on open
 * requests. The plan "rate" has 8 units a second and a burst of 8, so 2 units a quota tick.
 */
class QuotaTest {
  private static final CallOutcome OK = CallOutcome.OK;

  /**
   * Attempts a second in the last 4 s of 12 s of far too many requests, while other nodes add to
   * the counter.
   */
  private static double sendsPerSecond(
      FakeGateway gateway, CallOutcome outcome, double othersPerSecond) {
    gateway.start().listEndpoints(8);
    long before = 0;
    for (int i = 0; i < 600; i++) {
      gateway.advanceTo(i * 20);
      gateway.addUsageOfOtherNodes(othersPerSecond);
      gateway.answerCounter(outcome);
      if (i == 400) {
        before = gateway.actionCount("send");
      }
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(outcome);
      for (int k = Math.max(0, i - 60); k <= i; k++) {
        gateway.endAttempt(k, 0, OK); // ignored where nothing was sent
      }
    }
    return (gateway.actionCount("send") - before) / 4.0;
  }

  @Test
  void firstRequestIsReservedAtOnceAndQueuedUntilTheTotalIsKnown() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    assertEquals(0, gateway.actionCount("send"), "nothing is granted yet");
    assertEquals(1, gateway.actionCount("add 1.0"), "its unit");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.actionCount("send 1"));
  }

  @Test
  void unitsOverTheBurstWaitForTheRateAndTheRestIsReleased() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK);
    gateway.answerCounter(OK);
    assertEquals(8, gateway.actionCount("send"), "the burst of 8");
    long before = gateway.actionCount("send");
    gateway.advanceTo(260);
    assertTrue(
        gateway.actionCount("send") - before >= 1 && gateway.actionCount("send") - before <= 3,
        "2 units a tick");
    assertTrue(gateway.actionCount("add -") > 0, "what comes too late is released");
  }

  @Test
  void onlyActiveNodeGetsTheWholeQuota() {
    assertEquals(8, sendsPerSecond(new FakeGateway(), OK, 0), 0.8);
  }

  @Test
  void unitsUsedByOtherNodesAreNotSpentAgain() {
    assertEquals(2, sendsPerSecond(new FakeGateway(), OK, 6), 0.9);
  }

  @Test
  void silentCounterMeansNoMoreThanTheEvenShare() {
    double rate = sendsPerSecond(new FakeGateway(), CallOutcome.NO_CONNECTION, 0);
    assertTrue(rate > 2 && rate < 5, "even share 4: " + rate);
  }

  /** Taken for a crowded counter, broken connections made nine in ten requests be rejected. */
  @Test
  void brokenCounterConnectionsDoNotLowerTheCallBudget() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 200; i++) {
      gateway.advanceTo(i * 250);
      gateway.arrive(2 * i, "read", "rate", "x" + i);
      gateway.answerCounter(CallOutcome.RESET);
      gateway.arrive(2 * i + 1, "read", "rate", "y" + i);
      gateway.answerCounter(OK);
    }
    gateway.advanceTo(51_000);
    long before = gateway.actionCount("add 1.0");
    for (int i = 1000; i < 1060; i++) {
      gateway.arrive(i, "read", "rate", "z" + i);
    }
    assertEquals(60, gateway.actionCount("add 1.0") - before, "a call for each new customer");
  }

  /** A release that failed was added once more in place of taken off with the next call. */
  @Test
  void failedReleaseGoesWithTheNextAdd() {
    ReleaseAmounts released = amountsAfterRelease(OK);
    for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.RESET)) {
      ReleaseAmounts failed = amountsAfterRelease(outcome);
      assertEquals(released.release, failed.release);
      assertEquals(
          released.nextAdd + released.release, failed.nextAdd, "the next call takes it off too");
    }
  }

  private record ReleaseAmounts(double release, double nextAdd) {}

  /** The release of a reservation that the store did not cover, and the add after its end. */
  private static ReleaseAmounts amountsAfterRelease(CallOutcome outcome) {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK); // the reservation of the first request
    gateway.answerCounter(OK); // and of the rest
    assertEquals(1, gateway.counterCalls.size(), gateway.actions.toString());
    double release = gateway.lastAddedAmount();
    assertTrue(release < 0, gateway.actions.toString());
    gateway.answerCounter(outcome);
    gateway.actions.clear();
    gateway.advanceTo(300);
    return new ReleaseAmounts(release, gateway.addedAmounts().get(0));
  }

  /** Eight broken connections in a row were taken for a silent counter: no call for 2 s. */
  @Test
  void brokenCounterConnectionsDoNotMeanASilentCounter() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "x" + i);
      gateway.answerCounter(CallOutcome.RESET);
    }
    gateway.arrive(20, "read", "rate", "y");
    assertEquals(21, gateway.actionCount("add 1.0"), "the counter is still called");
  }

  @Test
  void fullCounterIsNotFlooded() {
    FakeGateway gateway = new FakeGateway();
    sendsPerSecond(gateway, CallOutcome.FULL, 0);
    assertTrue(gateway.actionCount("add") < 12 * 4 * 2, "calls: " + gateway.actionCount("add"));
  }

  @Test
  void aHundredNodesTogetherKeepTheQuotaAndShareItByTraffic() {
    Map<Long, Double> counter = new HashMap<>();
    List<FakeGateway> all = new ArrayList<>();
    for (int index = 0; index < 100; index++) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeIndex = index;
      gateway.nodeCount = 100;
      gateway.counterSums = counter;
      all.add(gateway.start().listEndpoints(400));
    }
    long id = 0;
    for (int t = 0; t < 20000; t += 40) {
      for (FakeGateway gateway : all) {
        gateway.advanceTo(t);
      }
      FakeGateway gateway =
          all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // node 7 has a quarter and more
      gateway.engine.requestArrived(
          t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
      gateway.answerCounter(OK);
      gateway.endAttempt(id++, 0, OK);
    }
    long sent = all.stream().mapToLong(gateway -> gateway.actionCount("send")).sum();
    assertTrue(
        sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
    assertTrue(
        all.get(7).actionCount("send") > sent / 8.0, "node 7: " + all.get(7).actionCount("send"));
  }

  @Test
  void newCustomerOverThreeHundredNodesDoesNotExceedItsBurst() {
    Map<Long, Double> counter = new HashMap<>();
    long sent = 0;
    for (int index = 0; index < 300; index++) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeIndex = index;
      gateway.nodeCount = 300;
      gateway.counterSums = counter;
      gateway.start().listEndpoints(8);
      gateway.engine.requestArrived(
          0, new IncomingRequest(index, "read", "rate", "c", 2000, 1, 300, 0, false));
      gateway.answerCounter(OK);
      sent += gateway.actionCount("send");
    }
    assertEquals(8, sent);
  }

  @Test
  void countLostByTheCounterDoesNotGrantTheBurstAgain() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 8; i++) {
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(OK);
    }
    assertEquals(8, gateway.actionCount("send"));
    gateway.counterSums.clear();
    gateway.advanceTo(100);
    for (int i = 10; i < 18; i++) {
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(OK);
    }
    assertTrue(gateway.actionCount("send") <= 9, "sent " + gateway.actionCount("send"));
  }

  @Test
  void unitsOfATimedOutCallAreNotAddedAgain() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, gateway.actionCount("send 1"), "by the estimate");
    gateway.advanceTo(300);
    gateway.arrive(2, "read", "rate", "c");
    assertEquals(2, gateway.actionCount("add 1.0"), "the first unit is on the counter already");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.actionCount("send 2"));
  }

  /** Half of a crowded counter's answers came after the time-out, and their totals were lost. */
  @Test
  void totalOfALateAnswerIsUsed() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.engine.counterCallEnded(
        gateway.nowMs, gateway.counterCalls.get(0).name(), CallOutcome.OVERDUE, 50, 0);
    assertEquals(1, gateway.actionCount("send 1"), "by the estimate: it waits no longer");
    gateway.advanceTo(30);
    gateway.engine.counterCallEnded(
        gateway.nowMs,
        gateway.counterCalls.remove(0).name(),
        OK,
        80,
        1 + 20); // other nodes took more than all
    gateway.arrive(2, "read", "rate", "c");
    assertEquals(0, gateway.actionCount("send 2"), "the late total says that nothing is left");
  }

  @Test
  void requestsSentByEstimateDuringAnOverdueCallAreCoveredByIt() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.arrive(2, "read", "rate", "c");
    gateway.engine.counterCallEnded(
        gateway.nowMs, gateway.counterCalls.get(0).name(), CallOutcome.OVERDUE, 50, 0);
    assertEquals(2, gateway.actionCount("send"), "both by the estimate");
    gateway.advanceTo(30);
    gateway.answerCounter(OK); // for the unit of the first request
    gateway.advanceTo(300); // after an overdue call the next one waits for a quota tick
    gateway.arrive(3, "read", "rate", "c");
    assertEquals(
        1,
        gateway.actionCount("add 2.0"),
        "the second one, which was never reported, and this one");
  }

  @Test
  void withoutACallToSpareRequestsGoByEstimate() {
    FakeGateway gateway = new FakeGateway();
    gateway.nodeCount = 1000; // one call a tick for this node
    gateway.start().listEndpoints(2000);
    for (int i = 0; i < 12; i++) {
      gateway.arrive(i, "read", "rate", "c" + i);
      gateway.answerCounter(OK);
      gateway.endAttempt(i, 0, OK);
    }
    assertTrue(gateway.actionCount("add 1.0") < 6, "calls: " + gateway.actionCount("add 1.0"));
    assertEquals(12, gateway.actionCount("send"), "all earlier ones were covered");
  }

  @Test
  void trueUnitsAreSettledWithTheNextAdd() {
    FakeGateway gateway = new FakeGateway();
    gateway.settlesUnits = true;
    gateway.maxRequestUnits = 4;
    gateway.start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c", 1, 2);
    gateway.answerCounter(OK);
    gateway.engine.attemptEnded(0, 1, 0, new AttemptResult(OK, 20, 4, new double[0]), true);
    gateway.arrive(2, "read", "rate", "c", 1, 2);
    assertEquals(
        1, gateway.actionCount("add 4.0"), "the 3 more of the first request and the 1 of this one");
  }

  @Test
  void openRequestCapIsKeptByTheCount() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "open", "c");
    assertEquals(0, gateway.actionCount("send"), "not before the counter has answered");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.actionCount("send 1"));
    gateway.arrive(2, "read", "open", "c");
    long name = gateway.counterCalls.remove(0).name();
    gateway.engine.counterCallEnded(0, name, OK, 2, 4);
    assertEquals(0, gateway.actionCount("send 2"), "the fourth slot of three");
    assertEquals(1, gateway.actionCount("add -1.0"), "released");
    gateway.endAttempt(1, 0, OK);
    assertEquals(1, gateway.actionCount("send 2"), "the slot of the first request is used again");
  }

  @Test
  void openRequestCapWithoutACallIsOneAtATime() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) { // the counter is silent
      gateway.arrive(100 + i, "read", "open", "d" + i, 1, 100);
      gateway.answerCounter(CallOutcome.NO_CONNECTION);
      gateway.endAttempt(100 + i, 0, OK);
    }
    gateway.actions.clear();
    gateway.arrive(1, "read", "open", "c", 1, 100);
    gateway.arrive(2, "read", "open", "c", 1, 100);
    assertEquals(1, gateway.actionCount("send"), "the even share of 3 over 100 is under one");
    gateway.endAttempt(1, 0, OK);
    assertEquals(2, gateway.actionCount("send"));
  }

  @Test
  void clientRetryIsRejectedWhileTheQuotaIsShort() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 30; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK);
    gateway.advanceTo(600);
    assertTrue(gateway.actionCount("reject") > 0);
    gateway.engine.requestArrived(
        gateway.nowMs, new IncomingRequest(99, "read", "rate", "c", 1500, 1, 2, 0, true));
    assertEquals(1, gateway.actionCount("reject 99"));
    gateway.engine.requestArrived(
        gateway.nowMs, new IncomingRequest(98, "read", "rate", "c", 1500, 1, 2, 0, false));
    assertEquals(0, gateway.actionCount("reject 98"));
  }

  @Test
  void staleTimerSetsNoFurtherOne() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(4);
    for (int i = 0; i < 200; i++) {
      gateway.arrive(i, "read", "big", "c");
      gateway.endAttempt(i, 0, OK);
      gateway.advanceTo(i * 10);
    }
    gateway.advanceTo(20000);
    assertTrue(gateway.openTimers() <= 2, "timers set: " + gateway.openTimers());
  }

  @Test
  void sameEventsGiveTheSameActions() {
    FakeGateway one = new FakeGateway();
    FakeGateway two = new FakeGateway();
    sendsPerSecond(one, OK, 3);
    sendsPerSecond(two, OK, 3);
    assertEquals(one.actions, two.actions);
    assertTrue(one.actions.size() > 100);
  }
}
