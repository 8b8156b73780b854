package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The plan "rate": 8 units a second, burst 8, so D = 2 a subperiod. */
class QuotaTest {
  private static final CallOutcome OK = CallOutcome.OK;

  /**
   * Sends a second in the last 4 s of 12 s of far too many requests; others add as told in between.
   */
  private static double rate(FakeGateway gateway, CallOutcome outcome, double othersPerSecond) {
    gateway.start().listEndpoints(8);
    long before = 0;
    for (int i = 0; i < 600; i++) {
      gateway.advanceTo(i * 20);
      gateway.addUsageOfOtherNodes(othersPerSecond);
      gateway.answerCounter(outcome);
      if (i == 400) {
        before = gateway.count("send");
      }
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(outcome);
      for (int k = Math.max(0, i - 60);
          k <= i;
          k++) { // what was sent is answered; else an odd event
        gateway.endAttempt(k, 0, OK);
      }
    }
    return (gateway.count("send") - before) / 4.0;
  }

  @Test
  void aFirstRequestIsClaimedAtOnceAndHeldUntilTheTotalIsKnown() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    assertEquals(0, gateway.count("send"), "no part has been given yet");
    assertEquals(1, gateway.count("count 1.0"), "its weight");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.count("send 1"));
  }

  @Test
  void whatTheStoreDoesNotCoverWaitsForTheRateAndTheRestIsGivenBack() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK);
    gateway.answerCounter(OK);
    assertEquals(8, gateway.count("send"), "the burst of 8");
    long before = gateway.count("send");
    gateway.advanceTo(260);
    assertTrue(
        gateway.count("send") - before >= 1 && gateway.count("send") - before <= 3,
        "D = 2 a subperiod");
    assertTrue(gateway.count("count -") > 0, "what comes too late is given back");
  }

  @Test
  void aloneItTakesTheWholeQuota() {
    assertEquals(8, rate(new FakeGateway(), OK, 0), 0.8);
  }

  @Test
  void whatOthersTookIsLeftOut() {
    assertEquals(2, rate(new FakeGateway(), OK, 6), 0.9);
  }

  @Test
  void aCounterThatNeverAnswersMeansNoMoreThanTheEvenPart() {
    double rate = rate(new FakeGateway(), CallOutcome.NO_CONNECTION, 0);
    assertTrue(rate > 2 && rate < 5, "even part 4: " + rate);
  }

  /**
   * A connection to the counter that breaks is no crowding: slowing down for it refused nine in
   * ten.
   */
  @Test
  void brokenCounterConnectionsDoNotSlowTheCalls() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 200; i++) {
      gateway.advanceTo(i * 250);
      gateway.arrive(2 * i, "read", "rate", "x" + i);
      gateway.answerCounter(CallOutcome.RESET);
      gateway.arrive(2 * i + 1, "read", "rate", "y" + i);
      gateway.answerCounter(OK);
    }
    gateway.advanceTo(51_000);
    long before = gateway.count("count 1.0");
    for (int i = 1000; i < 1060; i++) {
      gateway.arrive(i, "read", "rate", "z" + i);
    }
    assertEquals(60, gateway.count("count 1.0") - before, "a call for each new customer");
  }

  /**
   * A give-back that was turned away was added once more in place of taken off with the next call.
   */
  @Test
  void aGiveBackThatWasTurnedAwayIsMadeUp() {
    double[] given = afterGiveBack(OK);
    for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.RESET)) {
      double[] turned = afterGiveBack(outcome);
      assertEquals(given[0], turned[0]);
      assertEquals(given[1] + given[0], turned[1], "the next call takes it off too");
    }
  }

  /**
   * What was given back of a claim past the store, and the next amount added once that had ended.
   */
  private static double[] afterGiveBack(CallOutcome outcome) {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK); // the claim of the first
    gateway.answerCounter(OK); // of the rest
    assertEquals(1, gateway.counterCalls.size(), gateway.actions.toString());
    double back =
        Double.parseDouble(
            gateway.actions.stream()
                .filter(l -> l.startsWith("count "))
                .reduce((p, l) -> l)
                .orElseThrow()
                .substring("count ".length()));
    assertTrue(back < 0, gateway.actions.toString());
    gateway.answerCounter(outcome);
    gateway.actions.clear();
    gateway.advanceTo(300);
    return new double[] {
      back,
      Double.parseDouble(
          gateway.actions.stream()
              .filter(l -> l.startsWith("count "))
              .findFirst()
              .orElseThrow()
              .substring("count ".length()))
    };
  }

  /**
   * Eight broken connections in a row were taken for a counter that is away: nothing was asked for
   * 2 s.
   */
  @Test
  void brokenCounterConnectionsDoNotMeanSilence() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) {
      gateway.arrive(i, "read", "rate", "x" + i);
      gateway.answerCounter(CallOutcome.RESET);
    }
    gateway.arrive(20, "read", "rate", "y");
    assertEquals(21, gateway.count("count 1.0"), "the counter is still asked");
  }

  @Test
  void aRefusingCounterIsNotFlooded() {
    FakeGateway gateway = new FakeGateway();
    rate(gateway, CallOutcome.FULL, 0);
    assertTrue(gateway.count("count") < 12 * 4 * 2, "calls: " + gateway.count("count"));
  }

  @Test
  void aHundredGatewaysTogetherKeepTheQuotaAndFollowWeight() {
    Map<Long, Double> counter = new HashMap<>();
    List<FakeGateway> all = new ArrayList<>();
    for (int n = 0; n < 100; n++) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeIndex = n;
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
          all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // gateway 7 has a quarter and more
      gateway.engine.requestArrived(
          t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
      gateway.answerCounter(OK);
      gateway.endAttempt(id++, 0, OK);
    }
    long sent = all.stream().mapToLong(gateway -> gateway.count("send")).sum();
    assertTrue(
        sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
    assertTrue(all.get(7).count("send") > sent / 8.0, "weight: " + all.get(7).count("send"));
  }

  @Test
  void aNewCustomerOverThreeHundredGatewaysDoesNotExceedItsBurst() {
    Map<Long, Double> counter = new HashMap<>();
    long sent = 0;
    for (int n = 0; n < 300; n++) {
      FakeGateway gateway = new FakeGateway();
      gateway.nodeIndex = n;
      gateway.nodeCount = 300;
      gateway.counterSums = counter;
      gateway.start().listEndpoints(8);
      gateway.engine.requestArrived(
          0, new IncomingRequest(n, "read", "rate", "c", 2000, 1, 300, 0, false));
      gateway.answerCounter(OK);
      sent += gateway.count("send");
    }
    assertEquals(8, sent);
  }

  @Test
  void aLostNameDoesNotGiveTheBurstAgain() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 8; i++) {
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(OK);
    }
    assertEquals(8, gateway.count("send"));
    gateway.counterSums.clear();
    gateway.advanceTo(100);
    for (int i = 10; i < 18; i++) {
      gateway.arrive(i, "read", "rate", "c");
      gateway.answerCounter(OK);
    }
    assertTrue(gateway.count("send") <= 9, "sent " + gateway.count("send"));
  }

  @Test
  void aLateCallIsMadeUpForByTheNextAdd() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, gateway.count("send 1"), "by belief");
    gateway.advanceTo(300);
    gateway.arrive(2, "read", "rate", "c");
    assertEquals(2, gateway.count("count 1.0"), "the first one's weight is on the counter already");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.count("send 2"));
  }

  /**
   * Half of the counter's answers came after the time in the settings, and all of their totals were
   * thrown away.
   */
  @Test
  void theTotalOfALateAnswerIsTaken() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.engine.counterCallEnded(
        gateway.nowMs, gateway.counterCalls.get(0)[0], CallOutcome.OVERDUE, 50, 0);
    assertEquals(1, gateway.count("send 1"), "by belief: it waits no longer");
    gateway.advanceTo(30);
    gateway.engine.counterCallEnded(
        gateway.nowMs,
        gateway.counterCalls.remove(0)[0],
        OK,
        80,
        1 + 20); // others took more than all
    gateway.arrive(2, "read", "rate", "c");
    assertEquals(0, gateway.count("send 2"), "the late total says that nothing is left");
  }

  @Test
  void whatWentByBeliefWhileACallWasOverdueIsCoveredByThatCall() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c");
    gateway.arrive(2, "read", "rate", "c");
    gateway.engine.counterCallEnded(
        gateway.nowMs, gateway.counterCalls.get(0)[0], CallOutcome.OVERDUE, 50, 0);
    assertEquals(2, gateway.count("send"), "both by belief");
    gateway.advanceTo(30);
    gateway.answerCounter(OK); // to the one unit of the first
    gateway.advanceTo(300); // after an overdue call the next one waits for the next edge
    gateway.arrive(3, "read", "rate", "c");
    assertEquals(
        1, gateway.count("count 2.0"), "the second one, which was never told, and this one");
  }

  @Test
  void withNoCallToBeHadARequestGoesByBeliefAndIsToldLater() {
    FakeGateway gateway = new FakeGateway();
    gateway.nodeCount = 1000; // a first allowance of one call for this gateway
    gateway.start().listEndpoints(2000);
    for (int i = 0; i < 12; i++) {
      gateway.arrive(i, "read", "rate", "c" + i);
      gateway.answerCounter(OK);
      gateway.endAttempt(i, 0, OK);
    }
    assertTrue(gateway.count("count 1.0") < 6, "calls: " + gateway.count("count 1.0"));
    assertEquals(12, gateway.count("send"), "all earlier ones were covered");
  }

  @Test
  void trueUnitsAreTakenFromTheCredits() {
    FakeGateway gateway = new FakeGateway();
    gateway.settlesUnits = true;
    gateway.maxRequestUnits = 4;
    gateway.start().listEndpoints(8);
    gateway.arrive(1, "read", "rate", "c", 1, 2);
    gateway.answerCounter(OK);
    gateway.engine.attemptEnded(0, 1, 0, OK, 20, true, 4, new double[0]);
    gateway.arrive(2, "read", "rate", "c", 1, 2);
    assertEquals(
        1, gateway.count("count 4.0"), "the 3 more of the first request and the 1 of this one");
  }

  @Test
  void openCapIsHeldByTheCount() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    gateway.arrive(1, "read", "open", "c");
    assertEquals(0, gateway.count("send"), "not before the counter has answered");
    gateway.answerCounter(OK);
    assertEquals(1, gateway.count("send 1"));
    gateway.arrive(2, "read", "open", "c");
    long name = gateway.counterCalls.remove(0)[0];
    gateway.engine.counterCallEnded(0, name, OK, 2, 4);
    assertEquals(0, gateway.count("send 2"), "the fourth slot of three");
    assertEquals(1, gateway.count("count -1.0"), "given back");
    gateway.endAttempt(1, 0, OK);
    assertEquals(1, gateway.count("send 2"), "the slot of the first request is used again");
  }

  @Test
  void openCapWithoutACallIsOneAtATimeWhileTheLastCountsShowedRoom() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 20; i++) { // the counter is away
      gateway.arrive(100 + i, "read", "open", "d" + i, 1, 100);
      gateway.answerCounter(CallOutcome.NO_CONNECTION);
      gateway.endAttempt(100 + i, 0, OK);
    }
    gateway.actions.clear();
    gateway.arrive(1, "read", "open", "c", 1, 100);
    gateway.arrive(2, "read", "open", "c", 1, 100);
    assertEquals(1, gateway.count("send"), "the even part of 3 over 100 is under one");
    gateway.endAttempt(1, 0, OK);
    assertEquals(2, gateway.count("send"));
  }

  @Test
  void aMarkedRepeatIsRefusedWhileItsCustomerIsShort() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(8);
    for (int i = 0; i < 30; i++) {
      gateway.arrive(i, "read", "rate", "c");
    }
    gateway.answerCounter(OK);
    gateway.advanceTo(600);
    assertTrue(gateway.count("refuse") > 0);
    gateway.engine.requestArrived(
        gateway.nowMs, new IncomingRequest(99, "read", "rate", "c", 1500, 1, 2, 0, true));
    assertEquals(1, gateway.count("refuse 99"));
    gateway.engine.requestArrived(
        gateway.nowMs, new IncomingRequest(98, "read", "rate", "c", 1500, 1, 2, 0, false));
    assertEquals(0, gateway.count("refuse 98"));
  }

  @Test
  void aStaleReminderArmsNoFurtherOne() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(4);
    for (int i = 0; i < 200; i++) {
      gateway.arrive(i, "read", "big", "c");
      gateway.endAttempt(i, 0, OK);
      gateway.advanceTo(i * 10);
    }
    gateway.advanceTo(20000);
    assertTrue(gateway.timers.size() <= 2, "timers out: " + gateway.timers.size());
  }

  @Test
  void sameEventsGiveTheSameActions() {
    FakeGateway one = new FakeGateway();
    FakeGateway two = new FakeGateway();
    rate(one, OK, 3);
    rate(two, OK, 3);
    assertEquals(one.actions, two.actions);
    assertTrue(one.actions.size() > 100);
  }
}
