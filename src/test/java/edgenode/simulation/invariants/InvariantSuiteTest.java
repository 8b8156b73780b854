package edgenode.simulation.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.CapacityModel;
import edgenode.policy.Capabilities;
import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.PolicySettings;
import edgenode.policy.Prices;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each judge finds the planted breach of its one rule, and is silent on its honest twin. */
class InvariantSuiteTest {
  private static final String CUSTOMER = "0000000100000001";
  private static final CapacityModel.Size SIZE = new CapacityModel.Size(2, 16, 32, 10, 0.25, 8000);

  private static PolicySettings settings(int nodes) {
    return new PolicySettings(
        0,
        nodes,
        "",
        4,
        false,
        false,
        1,
        List.of(),
        List.of(
            new RequestClass(
                "look", Idempotency.IDEMPOTENT, IdempotencyGroup.CELL, 300, 900, 1, 0, 0, false),
            new RequestClass(
                "enrol", Idempotency.KEYED, IdempotencyGroup.CELL, 600, 1500, 2, 0, 7500, false),
            new RequestClass(
                "drop",
                Idempotency.NOT_IDEMPOTENT,
                IdempotencyGroup.CELL,
                600,
                1500,
                2,
                0,
                0,
                false)),
        List.of(
            new QuotaPlan("p", 10, 20, 0, 1, 0, 0, 0, 0, 0),
            new QuotaPlan("capped", 0, 0, 0, 1, 0, 0, 5, 10, 2)),
        new Capabilities(true, true, true, true, false, true, 5, 2000, 80, 0),
        new RuleLimits(0, 250, 0.25, 8000, 3, 2000),
        new Prices(0, 0, 0, 0, 0));
  }

  private final InvariantTerms terms = new InvariantTerms(settings(2));
  private final List<Event> day = new ArrayList<>();

  private InvariantSuiteTest asked(double at, String id, String type) {
    day.add(
        new Event.Asked(
            at, id, 0, CUSTOMER, "p", type, type.equals("enrol") ? "k" + id : null, 900, 1));
    return this;
  }

  private InvariantSuiteTest came(double at, String id, String server) {
    day.add(new Event.Came(at, id, server, CUSTOMER, true));
    return this;
  }

  private InvariantSuiteTest replied(double at, String id, String server, String kind) {
    day.add(new Event.Replied(at, id, server, kind));
    return this;
  }

  private InvariantSuiteTest heard(double at, String id, Event.Answer answer, String text) {
    day.add(new Event.Heard(at, id, answer, text));
    return this;
  }

  private InvariantSuiteTest served(String id, double from) {
    return asked(from, id, "look")
        .came(from + 1, id, "s0")
        .replied(from + 9, id, "s0", "value")
        .heard(from + 10, id, Event.Answer.VALUE, "ok " + id + " by s0");
  }

  private InvariantSuiteTest born(double at, String server, int rack, boolean cold) {
    day.add(new Event.Born(at, server, rack, SIZE, cold));
    return this;
  }

  private InvariantSuiteTest told(double at, String server, String health) {
    day.add(new Event.Told(at, server, health));
    return this;
  }

  private List<Violation> by(InvariantChecker judge) {
    day.forEach(judge::onEvent);
    List<Violation> found = judge.violations(100_000);
    day.clear();
    found.forEach(b -> assertEquals(judge.rule(), b.rule()));
    return found;
  }

  private void finds(int times, InvariantChecker judge, String what) {
    List<Violation> found = by(judge);
    assertEquals(times, found.size(), found.toString());
    assertTrue(found.get(0).what().contains(what), found.toString());
  }

  private void silent(InvariantChecker judge) {
    assertEquals(List.of(), by(judge));
  }

  // ---- one final answer in time ----

  @Test
  void anAnswerToEachIsClean() {
    served("1", 0).served("2", 5);
    asked(20, "3", "look").heard(21, "3", Event.Answer.BUSY, "BUSY 40");
    silent(new SingleResponseInvariant(terms));
  }

  @Test
  void twoAnswersAreFound() {
    served("1", 0).heard(11, "1", Event.Answer.ERROR, "ERR failed");
    finds(1, new SingleResponseInvariant(terms), "twice");
  }

  @Test
  void anAnswerThatIsLateOrNeverComesIsFound() {
    asked(0, "1", "look").heard(951, "1", Event.Answer.ERROR, "ERR failed");
    finds(1, new SingleResponseInvariant(terms), "after its time");
    asked(0, "1", "look").heard(949, "1", Event.Answer.ERROR, "ERR failed");
    silent(new SingleResponseInvariant(terms));
    asked(0, "1", "look");
    day.add(new Event.GaveUp(1000, "1"));
    finds(1, new SingleResponseInvariant(terms), "no answer");
    asked(0, "1", "look");
    finds(1, new SingleResponseInvariant(terms), "no answer");
  }

  @Test
  void aClientThatLeavesEarlyIsOwedNothing() {
    asked(0, "1", "look");
    day.add(new Event.GaveUp(300, "1"));
    silent(new SingleResponseInvariant(terms));
  }

  @Test
  void aValueThatNoServerMadeIsFound() {
    asked(0, "1", "look")
        .came(1, "1", "s0")
        .replied(2, "1", "s0", "value")
        .heard(3, "1", Event.Answer.VALUE, "ok 2 by s0");
    finds(1, new SingleResponseInvariant(terms), "no app server made");
    asked(0, "1", "look").heard(3, "1", Event.Answer.VALUE, "ok 1 by s0");
    finds(1, new SingleResponseInvariant(terms), "no app server made");
  }

  /** A process that is killed takes its requests with it; one that was asked to leave does not. */
  @Test
  void aKilledNodeIsExcusedAndALeavingOneIsNot() {
    asked(0, "1", "look");
    day.add(new Event.NodeEnded(5, 0, Event.End.KILLED));
    day.add(new Event.Cut(5, "1"));
    silent(new SingleResponseInvariant(terms));
    asked(0, "1", "look");
    day.add(new Event.NodeEnded(5, 0, Event.End.LEFT));
    day.add(new Event.Cut(5, "1"));
    finds(1, new SingleResponseInvariant(terms), "no whole answer");
    asked(0, "1", "look");
    day.add(new Event.NodeEnded(5, 1, Event.End.KILLED));
    day.add(new Event.Cut(5, "1"));
    finds(1, new SingleResponseInvariant(terms), "no whole answer");
  }

  @Test
  void whatIsSentOnAfterItsAnswerIsFound() {
    served("1", 0).came(100, "1", "s1");
    finds(1, new SingleResponseInvariant(terms), "after its final answer");
  }

  @Test
  void twoRequestsOfOneIdAreTheWorldsFault() {
    asked(0, "1", "look").asked(5, "1", "look");
    assertThrows(IllegalArgumentException.class, () -> by(new SingleResponseInvariant(terms)));
  }

  // ---- no second effect ----

  private InvariantSuiteTest racks() {
    return born(0, "a0", 0, false).born(0, "a1", 0, false).born(0, "b0", 1, false);
  }

  @Test
  void aReadMayGoOutAgain() {
    racks().asked(1, "1", "look").came(2, "1", "a0").came(50, "1", "b0");
    silent(new SingleExecutionInvariant(terms));
  }

  @Test
  void whatNeverRanMayGoAnywhere() {
    racks()
        .asked(1, "1", "drop")
        .came(2, "1", "a0")
        .replied(3, "1", "a0", "BUSY")
        .came(4, "1", "b0");
    silent(new SingleExecutionInvariant(terms));
  }

  @Test
  void anUnsafeRequestThatMayHaveRunIsFoundGoingOutAgain() {
    racks()
        .asked(1, "1", "drop")
        .came(2, "1", "a0")
        .replied(3, "1", "a0", "ERR")
        .came(4, "1", "a0");
    finds(1, new SingleExecutionInvariant(terms), "got it again");
    racks().asked(1, "1", "drop").came(2, "1", "a0").came(4, "1", "a1");
    finds(1, new SingleExecutionInvariant(terms), "got it again");
  }

  @Test
  void aKeyedOneStaysInItsRackAndWithinTheWindow() {
    racks().asked(1, "1", "enrol").came(2, "1", "a0").came(400, "1", "a1");
    silent(new SingleExecutionInvariant(terms));
    racks().asked(1, "1", "enrol").came(2, "1", "a0").came(400, "1", "b0");
    finds(1, new SingleExecutionInvariant(terms), "in another rack");
    racks().asked(1, "1", "enrol").came(2, "1", "a0").came(7600, "1", "a1");
    finds(1, new SingleExecutionInvariant(terms), "got it again");
  }

  @Test
  void aRefusalOfWhatMayHaveRunIsFound() {
    racks().asked(1, "1", "enrol").came(2, "1", "a0").heard(9, "1", Event.Answer.BUSY, "BUSY");
    finds(1, new SingleExecutionInvariant(terms), "refused as if nothing had run");
    racks()
        .asked(1, "1", "enrol")
        .came(2, "1", "a0")
        .replied(3, "1", "a0", "BUSY")
        .heard(9, "1", Event.Answer.BUSY, "BUSY");
    silent(new SingleExecutionInvariant(terms));
    racks().came(2, "7", "a0");
    finds(1, new SingleExecutionInvariant(terms), "no client asked");
  }

  // ---- drains ----

  @Test
  void aSend60MsPastTheGraceIsFoundAndOneWithinIsNot() {
    told(0, "s0", "active")
        .told(1000, "s0", "leaving")
        .came(1299, "1", "s0")
        .told(1500, "s0", "active")
        .came(2500, "2", "s0");
    silent(new DrainInvariant(terms));
    told(0, "s0", "active")
        .told(1000, "s0", "leaving")
        .told(1200, "s0", "left")
        .came(1310, "1", "s0");
    finds(1, new DrainInvariant(terms), "310 ms after it was told as leaving");
  }

  // ---- cold servers ----

  private InvariantSuiteTest cold(int requests, double everyMs) {
    born(10_000, "s0", 0, true).told(10_100, "s0", "active");
    for (int i = 0; i < requests; i++) {
      came(10_200 + i * everyMs, "c" + i, "s0");
    }
    return this;
  }

  @Test
  void aColdServerThatIsFloodedIsFound() {
    // 2 cores at a quarter of their speed: some 0.6 to 0.7 core-s in 2 s at first, three times that
    // is 390 of 10 ms
    cold(300, 1);
    silent(new SlowStartInvariant(terms));
    cold(600, 1);
    finds(1, new SlowStartInvariant(terms), "times what it could do");
  }

  /** A span of its own is looked at, not only the first one. */
  @Test
  void aFloodThatComesLaterIsFoundTooAndAWarmServersIsNone() {
    born(0, "s0", 0, true).told(0, "s0", "active");
    for (int i = 0; i < 1500; i++) {
      came(4000 + i, "c" + i, "s0");
    }
    finds(1, new SlowStartInvariant(terms), "s0 got");
    born(0, "s0", 0, true).told(0, "s0", "active");
    for (int i = 0; i < 5000; i++) {
      came(8001 + i / 10.0, "c" + i, "s0");
    }
    silent(new SlowStartInvariant(terms));
  }

  @Test
  void beforeAnybodyWasToldItIsNobodysFault() {
    born(0, "s0", 0, true);
    for (int i = 0; i < 5000; i++) {
      came(10 + i / 10.0, "c" + i, "s0");
    }
    silent(new SlowStartInvariant(terms));
  }

  /**
   * Beyond N, the standing test grants 2 x root of N + 2; from N = 1 on this judge goes on granting
   * four.
   */
  @Test
  void chanceIsNoMoreThanTheStandingTestGrants() {
    for (double n = 0.01; n < 2000; n *= 1.1) {
      double most = SlowStartInvariant.granted(n);
      assertTrue(
          most <= n + 2 * Math.sqrt(n) + 2 + 1e-9 && most <= n + 4 + 1e-9,
          n + " allowed, " + most + " granted");
    }
    CapacityModel.Size little =
        new CapacityModel.Size(0.05, 16, 32, 300, 0.25, 8000); // N is 0.25 in its first 2 s
    for (int requests : new int[] {3, 4}) {
      day.add(new Event.Born(10_000, "s0", 0, little, true));
      told(10_000, "s0", "active");
      for (int i = 0; i < requests; i++) {
        came(10_010, "c" + i, "s0");
      }
      if (requests == 3) {
        silent(new SlowStartInvariant(terms));
      } else {
        finds(1, new SlowStartInvariant(terms), "s0 got 4 requests");
      }
    }
  }

  /**
   * A fleet of 100 nodes sends one or two each at one moment: what it was told of counts, from how
   * many it came.
   */
  @Test
  void aFallIsTheRulesWhereMostOfItCameFromNodesThatHadBeenTold() {
    // about 350 are allowed in the first 2 s
    for (int[] of :
        new int[][] {{140, 240, 0}, {100, 320, 1}, {0, 340, 0}, {0, 420, 1}, {600, 420, 1}}) {
      born(10_000, "s0", 0, true);
      for (int i = 0; i < of[0] + of[1]; i++) {
        if (i == of[0]) {
          told(10_050, "s0", "active");
        }
        String id = "r" + i;
        double at = i < of[0] ? 10_040 : 10_060;
        day.add(new Event.Asked(at, id, i % 100, CUSTOMER, "p", "look", null, 900, 1));
        came(at, id, "s0");
      }
      if (of[2] == 0) {
        silent(new SlowStartInvariant(terms));
      } else {
        finds(1, new SlowStartInvariant(terms), "from 100 nodes");
      }
    }
  }

  @Test
  void theCapacityOfAColdServerGrowsEvenly() {
    Event.Born born = new Event.Born(0, "s", 0, SIZE, true);
    assertEquals(2 * 0.25 * 1, SlowStartInvariant.capacity(born, 0, 1), 0.001);
    assertEquals(2 * 0.625 * 8000, SlowStartInvariant.capacity(born, 0, 8000), 1e-6);
    assertEquals(2 * 1000, SlowStartInvariant.capacity(born, 9000, 10_000), 1e-6);
    assertEquals(
        2 * (0.5 + 0.5 * (0.25 + 0.75 * 7999.5 / 8000)),
        SlowStartInvariant.capacity(born, 7999.5, 8000.5) + 0,
        0.001);
  }

  // ---- ceilings and quotas ----

  private InvariantSuiteTest capped(int requests) {
    for (int i = 0; i < requests; i++) {
      day.add(new Event.Asked(0, "c" + i, 0, CUSTOMER, "capped", "look", null, 900, 1));
      came(0, "c" + i, "s0").came(0, "c" + i, "s1"); // the second attempt takes nothing
    }
    return this;
  }

  @Test
  void aCeilingHoldsItsBurstAndItsSlack() {
    capped(12);
    silent(new CeilingInvariant(terms));
    capped(13);
    finds(1, new CeilingInvariant(terms), "3.00 units more");
  }

  /** So many units beyond the quota in each second of one minute, on top of all that it gives. */
  private InvariantSuiteTest minute(double beyondAll) {
    int id = 0;
    for (int i = 0; i < 20; i++) {
      asked(0, "b" + i, "look").came(0, "b" + i, "s0");
    }
    double owed = 0;
    for (int s = 1; s <= 60; s++) {
      owed += beyondAll / 60;
      int extra = (int) owed;
      owed -= extra;
      for (int i = 0; i < 10 + extra; i++) {
        String name = "m" + id++;
        asked(s * 1000, name, "look").came(s * 1000, name, "s0");
      }
    }
    return this;
  }

  @Test
  void sixInAHundredBeyondAMinutesQuotaAreFoundAndFourAreNot() {
    InvariantTerms one = new InvariantTerms(settings(1));
    minute(0.04 * 620);
    silent(new QuotaAudit(one));
    minute(0.06 * 620 + 2);
    finds(1, new QuotaAudit(one), "beyond its quota within a minute");
  }

  @Test
  void figuresTellInsideBeyondAndRefusedWithRoom() {
    QuotaAudit judge = new QuotaAudit(terms);
    for (int i = 0; i < 22; i++) {
      asked(0, "q" + i, "look").came(0, "q" + i, "s0");
    }
    asked(1000, "r", "look").heard(1000, "r", Event.Answer.BUSY, "BUSY");
    asked(1000, "u", "look")
        .came(1000, "u", "s0")
        .replied(1001, "u", "s0", "BUSY")
        .heard(1002, "u", Event.Answer.BUSY, "BUSY"); // it was sent on
    silent(judge);
    QuotaAudit.Figures figures = judge.figures().get(0);
    assertEquals(21, figures.withinQuota());
    assertEquals(2, figures.overQuota());
    assertEquals(1, figures.rejectedWithinQuota());
    assertEquals(
        9, QuotaAudit.unitsAt(settings(1).plans().get(0), judge.sends(CUSTOMER), 1000), 1e-9);
  }

  // ---- evidence ----

  @Test
  void aDayOnWhichNobodyIsServedIsNoCleanOne() {
    asked(0, "1", "look").heard(1, "1", Event.Answer.BUSY, "BUSY");
    finds(1, new TrafficInvariant(1), "no evidence");
    served("1", 0);
    silent(new TrafficInvariant(1));
    served("1", 0);
    finds(1, new TrafficInvariant(2), "of 2 edge nodes 1");
  }

  @Test
  void theCourtTellsTheWholeStory() {
    InvariantSuite court = new InvariantSuite(terms, 1);
    served("1", 0)
        .asked(20, "2", "look")
        .heard(21, "1", Event.Answer.ERROR, "ERR failed")
        .heard(25, "2", Event.Answer.BUSY, "BUSY");
    day.forEach(court);
    List<Violation> found = court.violations(10_000);
    assertEquals(1, found.size(), found.toString());
    assertEquals(
        List.of("Asked", "Came", "Replied", "Heard", "Heard"),
        court.trace(found.get(0)).stream().map(e -> e.getClass().getSimpleName()).toList());
  }
}
