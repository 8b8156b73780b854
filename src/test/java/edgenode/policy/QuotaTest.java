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
  private static double rate(Bench b, CallOutcome outcome, double othersPerSecond) {
    b.start().servers(8);
    long before = 0;
    for (int i = 0; i < 600; i++) {
      b.to(i * 20);
      b.others(othersPerSecond);
      b.answerCounter(outcome);
      if (i == 400) {
        before = b.count("send");
      }
      b.arrive(i, "read", "rate", "c");
      b.answerCounter(outcome);
      for (int k = Math.max(0, i - 60);
          k <= i;
          k++) { // what was sent is answered; else an odd event
        b.end(k, 0, OK);
      }
    }
    return (b.count("send") - before) / 4.0;
  }

  @Test
  void aFirstRequestIsClaimedAtOnceAndHeldUntilTheTotalIsKnown() {
    Bench b = new Bench().start().servers(8);
    b.arrive(1, "read", "rate", "c");
    assertEquals(0, b.count("send"), "no part has been given yet");
    assertEquals(1, b.count("count 1.0"), "its weight");
    b.answerCounter(OK);
    assertEquals(1, b.count("send 1"));
  }

  @Test
  void whatTheStoreDoesNotCoverWaitsForTheRateAndTheRestIsGivenBack() {
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 20; i++) {
      b.arrive(i, "read", "rate", "c");
    }
    b.answerCounter(OK);
    b.answerCounter(OK);
    assertEquals(8, b.count("send"), "the burst of 8");
    long before = b.count("send");
    b.to(260);
    assertTrue(b.count("send") - before >= 1 && b.count("send") - before <= 3, "D = 2 a subperiod");
    assertTrue(b.count("count -") > 0, "what comes too late is given back");
  }

  @Test
  void aloneItTakesTheWholeQuota() {
    assertEquals(8, rate(new Bench(), OK, 0), 0.8);
  }

  @Test
  void whatOthersTookIsLeftOut() {
    assertEquals(2, rate(new Bench(), OK, 6), 0.9);
  }

  @Test
  void aCounterThatNeverAnswersMeansNoMoreThanTheEvenPart() {
    double rate = rate(new Bench(), CallOutcome.NO_CONNECTION, 0);
    assertTrue(rate > 2 && rate < 5, "even part 4: " + rate);
  }

  /**
   * A connection to the counter that breaks is no crowding: slowing down for it refused nine in
   * ten.
   */
  @Test
  void brokenCounterConnectionsDoNotSlowTheCalls() {
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 200; i++) {
      b.to(i * 250);
      b.arrive(2 * i, "read", "rate", "x" + i);
      b.answerCounter(CallOutcome.RESET);
      b.arrive(2 * i + 1, "read", "rate", "y" + i);
      b.answerCounter(OK);
    }
    b.to(51_000);
    long before = b.count("count 1.0");
    for (int i = 1000; i < 1060; i++) {
      b.arrive(i, "read", "rate", "z" + i);
    }
    assertEquals(60, b.count("count 1.0") - before, "a call for each new customer");
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
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 20; i++) {
      b.arrive(i, "read", "rate", "c");
    }
    b.answerCounter(OK); // the claim of the first
    b.answerCounter(OK); // of the rest
    assertEquals(1, b.calls.size(), b.log.toString());
    double back =
        Double.parseDouble(
            b.log.stream()
                .filter(l -> l.startsWith("count "))
                .reduce((p, l) -> l)
                .orElseThrow()
                .substring("count ".length()));
    assertTrue(back < 0, b.log.toString());
    b.answerCounter(outcome);
    b.log.clear();
    b.to(300);
    return new double[] {
      back,
      Double.parseDouble(
          b.log.stream()
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
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 20; i++) {
      b.arrive(i, "read", "rate", "x" + i);
      b.answerCounter(CallOutcome.RESET);
    }
    b.arrive(20, "read", "rate", "y");
    assertEquals(21, b.count("count 1.0"), "the counter is still asked");
  }

  @Test
  void aRefusingCounterIsNotFlooded() {
    Bench b = new Bench();
    rate(b, CallOutcome.FULL, 0);
    assertTrue(b.count("count") < 12 * 4 * 2, "calls: " + b.count("count"));
  }

  @Test
  void aHundredGatewaysTogetherKeepTheQuotaAndFollowWeight() {
    Map<Long, Double> counter = new HashMap<>();
    List<Bench> all = new ArrayList<>();
    for (int n = 0; n < 100; n++) {
      Bench b = new Bench();
      b.me = n;
      b.nodes = 100;
      b.sums = counter;
      all.add(b.start().servers(400));
    }
    long id = 0;
    for (int t = 0; t < 20000; t += 40) {
      for (Bench b : all) {
        b.to(t);
      }
      Bench b = all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // gateway 7 has a quarter and more
      b.module.requestArrived(
          t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
      b.answerCounter(OK);
      b.end(id++, 0, OK);
    }
    long sent = all.stream().mapToLong(b -> b.count("send")).sum();
    assertTrue(
        sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
    assertTrue(all.get(7).count("send") > sent / 8.0, "weight: " + all.get(7).count("send"));
  }

  @Test
  void aNewCustomerOverThreeHundredGatewaysDoesNotExceedItsBurst() {
    Map<Long, Double> counter = new HashMap<>();
    long sent = 0;
    for (int n = 0; n < 300; n++) {
      Bench b = new Bench();
      b.me = n;
      b.nodes = 300;
      b.sums = counter;
      b.start().servers(8);
      b.module.requestArrived(
          0, new IncomingRequest(n, "read", "rate", "c", 2000, 1, 300, 0, false));
      b.answerCounter(OK);
      sent += b.count("send");
    }
    assertEquals(8, sent);
  }

  @Test
  void aLostNameDoesNotGiveTheBurstAgain() {
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 8; i++) {
      b.arrive(i, "read", "rate", "c");
      b.answerCounter(OK);
    }
    assertEquals(8, b.count("send"));
    b.sums.clear();
    b.to(100);
    for (int i = 10; i < 18; i++) {
      b.arrive(i, "read", "rate", "c");
      b.answerCounter(OK);
    }
    assertTrue(b.count("send") <= 9, "sent " + b.count("send"));
  }

  @Test
  void aLateCallIsMadeUpForByTheNextAdd() {
    Bench b = new Bench().start().servers(8);
    b.arrive(1, "read", "rate", "c");
    b.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, b.count("send 1"), "by belief");
    b.to(300);
    b.arrive(2, "read", "rate", "c");
    assertEquals(2, b.count("count 1.0"), "the first one's weight is on the counter already");
    b.answerCounter(OK);
    assertEquals(1, b.count("send 2"));
  }

  /**
   * Half of the counter's answers came after the time in the settings, and all of their totals were
   * thrown away.
   */
  @Test
  void theTotalOfALateAnswerIsTaken() {
    Bench b = new Bench().start().servers(8);
    b.arrive(1, "read", "rate", "c");
    b.module.counterCallEnded(b.now, b.calls.get(0)[0], CallOutcome.OVERDUE, 50, 0);
    assertEquals(1, b.count("send 1"), "by belief: it waits no longer");
    b.to(30);
    b.module.counterCallEnded(
        b.now, b.calls.remove(0)[0], OK, 80, 1 + 20); // others took more than all
    b.arrive(2, "read", "rate", "c");
    assertEquals(0, b.count("send 2"), "the late total says that nothing is left");
  }

  @Test
  void whatWentByBeliefWhileACallWasOverdueIsCoveredByThatCall() {
    Bench b = new Bench().start().servers(8);
    b.arrive(1, "read", "rate", "c");
    b.arrive(2, "read", "rate", "c");
    b.module.counterCallEnded(b.now, b.calls.get(0)[0], CallOutcome.OVERDUE, 50, 0);
    assertEquals(2, b.count("send"), "both by belief");
    b.to(30);
    b.answerCounter(OK); // to the one unit of the first
    b.to(300); // after an overdue call the next one waits for the next edge
    b.arrive(3, "read", "rate", "c");
    assertEquals(1, b.count("count 2.0"), "the second one, which was never told, and this one");
  }

  @Test
  void withNoCallToBeHadARequestGoesByBeliefAndIsToldLater() {
    Bench b = new Bench();
    b.nodes = 1000; // a first allowance of one call for this gateway
    b.start().servers(2000);
    for (int i = 0; i < 12; i++) {
      b.arrive(i, "read", "rate", "c" + i);
      b.answerCounter(OK);
      b.end(i, 0, OK);
    }
    assertTrue(b.count("count 1.0") < 6, "calls: " + b.count("count 1.0"));
    assertEquals(12, b.count("send"), "all earlier ones were covered");
  }

  @Test
  void trueUnitsAreTakenFromTheCredits() {
    Bench b = new Bench();
    b.settled = true;
    b.mostUnits = 4;
    b.start().servers(8);
    b.arrive(1, "read", "rate", "c", 1, 2);
    b.answerCounter(OK);
    b.module.attemptEnded(0, 1, 0, OK, 20, true, 4, new double[0]);
    b.arrive(2, "read", "rate", "c", 1, 2);
    assertEquals(1, b.count("count 4.0"), "the 3 more of the first request and the 1 of this one");
  }

  @Test
  void openCapIsHeldByTheCount() {
    Bench b = new Bench().start().servers(8);
    b.arrive(1, "read", "open", "c");
    assertEquals(0, b.count("send"), "not before the counter has answered");
    b.answerCounter(OK);
    assertEquals(1, b.count("send 1"));
    b.arrive(2, "read", "open", "c");
    long name = b.calls.remove(0)[0];
    b.module.counterCallEnded(0, name, OK, 2, 4);
    assertEquals(0, b.count("send 2"), "the fourth slot of three");
    assertEquals(1, b.count("count -1.0"), "given back");
    b.end(1, 0, OK);
    assertEquals(1, b.count("send 2"), "the slot of the first request is used again");
  }

  @Test
  void openCapWithoutACallIsOneAtATimeWhileTheLastCountsShowedRoom() {
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 20; i++) { // the counter is away
      b.arrive(100 + i, "read", "open", "d" + i, 1, 100);
      b.answerCounter(CallOutcome.NO_CONNECTION);
      b.end(100 + i, 0, OK);
    }
    b.log.clear();
    b.arrive(1, "read", "open", "c", 1, 100);
    b.arrive(2, "read", "open", "c", 1, 100);
    assertEquals(1, b.count("send"), "the even part of 3 over 100 is under one");
    b.end(1, 0, OK);
    assertEquals(2, b.count("send"));
  }

  @Test
  void aMarkedRepeatIsRefusedWhileItsCustomerIsShort() {
    Bench b = new Bench().start().servers(8);
    for (int i = 0; i < 30; i++) {
      b.arrive(i, "read", "rate", "c");
    }
    b.answerCounter(OK);
    b.to(600);
    assertTrue(b.count("refuse") > 0);
    b.module.requestArrived(
        b.now, new IncomingRequest(99, "read", "rate", "c", 1500, 1, 2, 0, true));
    assertEquals(1, b.count("refuse 99"));
    b.module.requestArrived(
        b.now, new IncomingRequest(98, "read", "rate", "c", 1500, 1, 2, 0, false));
    assertEquals(0, b.count("refuse 98"));
  }

  @Test
  void aStaleReminderArmsNoFurtherOne() {
    Bench b = new Bench().start().servers(4);
    for (int i = 0; i < 200; i++) {
      b.arrive(i, "read", "big", "c");
      b.end(i, 0, OK);
      b.to(i * 10);
    }
    b.to(20000);
    assertTrue(b.timers.size() <= 2, "timers out: " + b.timers.size());
  }

  @Test
  void sameEventsGiveTheSameActions() {
    Bench one = new Bench();
    Bench two = new Bench();
    rate(one, OK, 3);
    rate(two, OK, 3);
    assertEquals(one.log, two.log);
    assertTrue(one.log.size() > 100);
  }
}
