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
class FleetTest {
  private static final int NODES = 14;

  private static Bench one(Bench b) {
    b.nodes = NODES;
    return b.start().servers(60);
  }

  /**
   * A crowded class took longer than half its aim: each request was given up before the counter
   * could answer.
   */
  @Test
  void aRequestOutlivesItsQuestionToTheCounter() {
    Bench b = one(new Bench());
    for (int i = 0; i < 200; i++) {
      b.to(i * 50);
      b.arrive(i, "read", "big", "c");
      b.answerCounter(CallOutcome.OK);
      b.module.attemptEnded(b.now, i, 0, CallOutcome.OK, 590, true, 0, new double[0]);
    }
    b.arrive(1000, "read", "rate", "d");
    b.to(b.now + 10);
    assertEquals(0, b.count("refuse 1000"));
    b.answerCounter(CallOutcome.OK);
    assertEquals(1, b.count("send 1000"));
  }

  @Test
  void waitingForTheCounterEndsBeforeTheClientsWait() {
    Bench b = one(new Bench());
    b.module.requestArrived(0, new IncomingRequest(1, "read", "rate", "c", 20, 1, 2, 0, false));
    b.to(18);
    assertEquals(1, b.count("refuse 1"), "the counter has 50 ms, this client 20");
  }

  /**
   * The cold ones were given their part of what all bore on average: next to nothing where most are
   * cold.
   */
  @Test
  void coldServersAreGivenTheirPartOfWhatWarmOnesBear() {
    Bench b = Bench.plain().start().servers(20);
    List<EndpointInfo> cold = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      cold.add(Bench.server(i, EndpointState.UP, 1));
    }
    b.module.endpointsChanged(b.now, cold, false);
    for (int i = 0; i < 150; i++) {
      b.to(i * 20);
      b.arrive(i, "read", "big", "c");
      if (i >= 10) {
        b.end(i - 10, 0, CallOutcome.OK);
      }
    }
    long toCold =
        b.log.stream()
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
    Bench b = new Bench();
    b.nodes = 1000; // a call or two: the rest goes by belief
    b.start().servers(2000);
    for (int i = 0; i < 12; i++) {
      b.arrive(i, "read", "rate", "c" + i, 1, 20);
      b.answerCounter(CallOutcome.OK);
      b.end(i, 0, CallOutcome.OK);
    }
    long told = b.count("count");
    b.to(260); // a call more
    b.arrive(20, "read", "rate", "d", 1, 20);
    b.to(600);
    b.arrive(21, "read", "rate", "e", 1, 20);
    assertTrue(b.count("count") > told, "another add");
    double last =
        Double.parseDouble(
            b.log.stream()
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
    Bench b = one(new Bench());
    b.arrive(1, "read", "rate", "c");
    assertEquals(0, b.count("send 1"));
    b.answerCounter(CallOutcome.TIMEOUT);
    assertEquals(1, b.count("send 1"), "nothing speaks against it");
  }

  /**
   * The most that was tried was believed for half a minute: a quarter of the calls went unanswered
   * all day.
   */
  @Test
  void callsSettleUnderWhatTheCounterAnswers() {
    Bench b = one(new Bench());
    int calls = 0;
    int unanswered = 0;
    int room = 0;
    for (int i = 0; i < 2000; i++) {
      b.to(i * 10);
      room =
          i % 25 == 0
              ? 4
              : room; // this gateway's part of what the counter can answer in a subperiod
      b.arrive(i, "read", "rate", "c" + i);
      for (int k = b.calls.size(); k > 0; k--) {
        boolean late = room-- <= 0;
        calls += i < 1000 ? 0 : 1;
        unanswered += i < 1000 || !late ? 0 : 1;
        b.module.counterCallEnded(
            b.now,
            b.calls.remove(0)[0],
            late ? CallOutcome.TIMEOUT : CallOutcome.OK,
            2,
            b.totals.remove(0));
      }
      b.end(i, 0, CallOutcome.OK);
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
      Bench b = new Bench();
      b.nodes = 1000; // four calls are saved up
      b.start().servers(2000);
      for (int i = 0; i < w[0]; i++) {
        b.arrive(i, "read", "rate", "c" + i);
        b.answerCounter(CallOutcome.OK);
      }
      b.arrive(9, "read", "rate", "d", 1, w[1]);
      b.module.counterCallEnded(
          b.now, b.calls.remove(0)[0], CallOutcome.OK, 2, 12 + 1); // others took more than all
      assertEquals(0, b.count("send 9"));
      assertEquals(
          w[2], b.count("count -1.0"), "after " + w[0] + " calls, of " + w[1] + " gateways");
    }
  }

  /**
   * Hardly a connection was used twice: a handshake an attempt, and a server known by one answer.
   */
  @Test
  void aNodeStaysWithTheServersItIsConnectedTo() {
    Bench b = Bench.plain();
    b.keepAlive = 15_000;
    b.nodes = NODES;
    b.start().servers(60);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      b.to(i * 100);
      b.arrive(i, "read", "big", "c");
      b.module.attemptEnded(
          b.now, i, 0, CallOutcome.OK, 75, true, 0, new double[0]); // as long as all take
      used.add(b.sentTo(i));
    }
    assertTrue(used.size() <= 3, "one request at a time: " + used);
    for (int i = 100; i < 120; i++) {
      b.arrive(i, "read", "big", "c");
      used.add(b.sentTo(i));
    }
    assertTrue(used.size() >= 15, "twenty at once: " + used);
  }

  @Test
  void aNodeLeavesAServerThatIsSlowerThanAHandshakeIsDear() {
    Bench b = Bench.plain();
    b.keepAlive = 15_000;
    b.nodes = NODES;
    b.start().servers(60);
    String slow = null;
    int kept = 0;
    for (int i = 0; i < 100; i++) {
      b.to(i * 100);
      b.arrive(i, "read", "big", "c");
      slow = slow == null ? b.sentTo(i) : slow;
      kept += b.sentTo(i).equals(slow) ? 1 : 0;
      double took = b.sentTo(i).equals(slow) ? 145 : 75;
      b.module.attemptEnded(b.now, i, 0, CallOutcome.OK, took, true, 0, new double[0]);
    }
    assertTrue(kept < 30, "one in four at most: " + kept);
  }

  /** The pace was a bound on idle servers: of ten at once every 1.25 s two to five were served. */
  @Test
  void whatComesAllAtOnceGoesWhereAnswersAreInTime() {
    Bench b = Bench.plain();
    b.nodes = 1;
    b.start().servers(10);
    for (int i = 0; i < 100; i++) {
      b.to(1250 * (1 + i / 10));
      b.arrive(i, "read", "big", "c");
      if (i % 10 == 9) {
        b.to(b.now + 40);
        for (int k = i - 9; k <= i; k++) {
          b.end(k, 0, CallOutcome.OK);
        }
        assertEquals(i + 1, b.count("send"), "all of round " + i / 10);
      }
    }
  }

  /**
   * One late answer took the pace under all that is asked, and nothing was believed for a second.
   */
  @Test
  void oneLateAnswerDoesNotEndBelief() {
    Bench b = new Bench();
    b.nodes = 1000; // a call or two
    b.start().servers(2000);
    for (int i = 0; i < 100; i++) {
      b.to(i * 250);
      b.arrive(i, "read", "rate", "c" + i);
      b.answerCounter(CallOutcome.TIMEOUT);
      if (i != 90) {
        b.end(i, 0, CallOutcome.OK);
      }
    }
    assertEquals(
        100,
        b.log.stream()
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
    Bench b = Bench.plain().start().servers(4);
    long toCold = 0;
    for (int i = 0; i < 160; i++) { // 20 a second, one at a time: five for each
      b.to(i * 50);
      if (i == 60) {
        b.module.endpointsChanged(
            b.now, List.of(Bench.server(0, EndpointState.UP, b.now - 100)), false);
      }
      b.arrive(i, "read", "big", "c");
      toCold += i >= 60 && "s0".equals(b.sentTo(i)) ? 1 : 0;
      b.module.attemptEnded(b.now, i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
    }
    assertTrue(
        toCold >= 3 && toCold <= 10, "a fifth to a half of five a second in 5 s is 8: " + toCold);
  }
}
