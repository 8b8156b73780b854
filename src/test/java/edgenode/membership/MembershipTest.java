package edgenode.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.EndpointState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule of the membership by itself; times are ms. */
class MembershipTest extends MembershipFixture {

  @Test
  void initialListIsUsedUntilASourceReports() {
    apply(membership.loadInitialList(nowMs, 41, List.of(up("s0"), up("s1"))));
    assertEquals(41, membership.resumeVersion());
    receive(SOURCE_A, 42, false, down("s0"));
    assertEquals("s1", upEndpoints());
    assertEquals(42, membership.resumeVersion());
  }

  /** The initial list may be newer than the source's own. */
  @Test
  void firstCompleteListCountsWhateverTheInitialVersionWas() {
    apply(membership.loadInitialList(nowMs, 41, List.of(up("s0"), up("s1"))));
    receive(SOURCE_A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
    assertEquals(3, membership.resumeVersion());
  }

  @Test
  void onlyDifferencesAreReported() {
    start("s0", "s1");
    receive(SOURCE_A, 41, true, up("s0"), up("s1"));
    receive(SOURCE_A, 42, false, up("s1"));
    assertEquals("s0 s1", upEndpoints()); // apply() fails on an endpoint that is reported again
  }

  @Test
  void endpointGoesDownAtOnceAndComesUpWithADelay() {
    start("s0", "s1");
    receive(SOURCE_A, 41, false, down("s0"));
    assertEquals("s1", upEndpoints());
    receive(SOURCE_A, 42, false, up("s0"));
    assertEquals("s1", upEndpoints());
    advance(99);
    assertEquals("s1", upEndpoints());
    advance(2);
    assertEquals("s0 s1", upEndpoints());
  }

  @Test
  void recoveryDelayGrowsWithEachFlapAndIsReset() {
    start("s0");
    double[] delaysMs = {100, 200, 400, 800, 1600, 1600};
    long version = 41;
    for (double delayMs : delaysMs) {
      receive(SOURCE_A, version++, false, down("s0"));
      receive(SOURCE_A, version++, false, up("s0"));
      advance(delayMs - 1);
      assertEquals("", upEndpoints(), "after " + delayMs);
      advance(2);
      assertEquals("s0", upEndpoints(), "after " + delayMs);
    }
    advance(LIMITS.flapWindowMs() + 1);
    receive(SOURCE_A, version++, false, down("s0"));
    receive(SOURCE_A, version, false, up("s0"));
    advance(101);
    assertEquals("s0", upEndpoints());
  }

  /** A poll answers with an older version than the watch. */
  @Test
  void olderVersionTakesDownAndNeverUp() {
    start("s0", "s1");
    receive(SOURCE_A, 45, false, up("s9"), down("s1"));
    receive(SOURCE_A, 43, true, up("s0"), up("s1"));
    assertEquals("s0", upEndpoints()); // s9 is contested, s1 is as the newer version has it
    receive(SOURCE_A, 45, true, up("s0"), down("s1"), up("s9"));
    advance(101);
    assertEquals("s0 s9", upEndpoints());
  }

  @Test
  void drainInAnOlderVersionIsApplied() {
    start("s0", "s1");
    receive(SOURCE_A, 3, false, down("s0"));
    assertEquals("s1", upEndpoints());
  }

  /** One connection is stuck, the other is ahead and alive: the latter is right. */
  @Test
  void reportsOfAStuckConnectionAreIgnored() {
    start("s0");
    receive(SOURCE_A, 45, false, up("s9"));
    for (int i = 0; i < 25; i++) {
      receive(SOURCE_A, 43, true, up("s0"));
      advance(50);
      receive(SOURCE_A, 45 + i, false, up("s0"));
      advance(50);
    }
    assertEquals("s0 s9", upEndpoints());
    assertTrue(mustResync);
    assertTrue(
        messages.stream().anyMatch(message -> message.startsWith("version conflict")),
        messages.toString());
  }

  /** All reports have gone back in version: the list of the resync counts. */
  @Test
  void versionsThatGoBackForGoodAreAccepted() {
    start("s0", "s1");
    for (int i = 0; i < 25 && !mustResync; i++) {
      receive(SOURCE_A, 3, true, up("s1"), up("s2"));
      advance(100);
    }
    assertEquals("s1", upEndpoints());
    assertTrue(mustResync);
    assertEquals(-1, membership.resumeVersion());
    receive(SOURCE_A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
    receive(SOURCE_A, 4, false, up("s3"));
    assertEquals("s1 s2 s3", upEndpoints());
  }

  @Test
  void negativeVersionOnlyTakesDown() {
    start("s0", "s1");
    receive(SOURCE_A, -5, true, down("s0"), up("s7"));
    assertEquals("s1", upEndpoints()); // s1 stays: a list without a version removes nothing
  }

  @Test
  void emptyListIsQuarantinedWhileEndpointsRespond() {
    start("s0", "s1", "s2", "s3");
    receive(SOURCE_A, 41, true);
    assertEquals("s0 s1 s2 s3", upEndpoints());
    assertEquals(1, messages.size());
    assertTrue(membership.endpointsToCheck().containsAll(List.of("s0", "s1", "s2", "s3")));
    for (int i = 0; i < 40; i++) { // s3 does not respond
      advance(100);
      for (String id : List.of("s0", "s1", "s2")) {
        apply(membership.responded(nowMs, id));
      }
    }
    assertEquals("s0 s1 s2", upEndpoints());
    apply(membership.connectFailed(nowMs, "s2", true, 0));
    apply(membership.connectFailed(nowMs, "s2", true, 0));
    assertEquals("s0 s1", upEndpoints());
    for (int i = 0; i < 270; i++) {
      advance(100);
      apply(membership.responded(nowMs, "s0"));
      apply(membership.responded(nowMs, "s1"));
    }
    assertEquals("", upEndpoints()); // the quarantine of 30 s is over
    assertTrue(membership.endpointsToCheck().isEmpty());
  }

  @Test
  void listThatShrinksByHalfIsAppliedAfterTheQuarantine() {
    start("s0", "s1", "s2", "s3", "s4");
    receive(SOURCE_A, 41, true, up("s0"), up("s1"));
    assertEquals("s0 s1 s2 s3 s4", upEndpoints());
    for (int i = 0; i < 21; i++) {
      receive(SOURCE_A, 41, true, up("s0"), up("s1"));
      List.of("s2", "s3", "s4").forEach(id -> apply(membership.responded(nowMs, id)));
      advance(100);
    }
    assertEquals("s0 s1", upEndpoints());
  }

  /** The platform's rule: what a complete list lacks is removed, also while it responds. */
  @Test
  void onThePlatformOnlyAnEmptyListIsQuarantined() {
    membership = new Membership(MembershipLimits.platform(18_000), SOURCE_A);
    start("s0", "s1", "s2", "s3", "s4");
    receive(SOURCE_A, 41, true, up("s0"));
    assertEquals("s0", upEndpoints());
    receive(SOURCE_A, 42, true);
    assertEquals("s0", upEndpoints());
  }

  @Test
  void listOfNewEndpointsOnlyIsNotQuarantined() {
    start("s0", "s1", "s2");
    receive(SOURCE_A, 41, true, up("t0"), up("t1"), up("t2"));
    assertEquals("t0 t1 t2", upEndpoints());
  }

  @Test
  void quarantinedEndpointDrainsWhenToldTo() {
    start("s0", "s1", "s2");
    receive(SOURCE_A, 41, true);
    receive(SOURCE_A, 42, false, down("s1"));
    assertEquals("s0 s2", upEndpoints());
    receive(SOURCE_A, 43, false, removed("s2"));
    assertEquals("s0", upEndpoints());
  }

  @Test
  void retiredSourceCountsUntilTheNewOneReportsAndItsDrainsLonger() {
    start("s0", "s1", "s2");
    membership.switchSource(nowMs, SOURCE_B);
    assertEquals("s0 s1 s2", upEndpoints());
    receive(SOURCE_A, 41, false, down("s0"));
    assertEquals("s1 s2", upEndpoints());
    receive(SOURCE_B, 7, true, up("s0"), up("s1"), up("s2")); // older than what source A reported
    assertEquals("s1 s2", upEndpoints());
    receive(SOURCE_A, 42, false, removed("s1"));
    assertEquals("s2", upEndpoints());
    apply(membership.sourceClosed(nowMs, SOURCE_A));
    advance(LIMITS.retiredSourceTtlMs() + 200);
    assertEquals("s0 s1 s2", upEndpoints()); // the retired source counts no longer
  }

  @Test
  void drainReportedBeforeTheSwitchStaysInForce() {
    start("s0", "s1", "s2");
    receive(SOURCE_A, 41, false, down("s0"));
    receive(SOURCE_A, 42, false, removed("s1"));
    membership.switchSource(nowMs, SOURCE_B);
    receive(SOURCE_B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s2", upEndpoints());
    receive(
        SOURCE_B, 8, false, endpoint("s0", "s0:1", EndpointState.UP, nowMs + 5)); // started since
    advance(1000);
    assertEquals("s0 s2", upEndpoints());
  }

  /** An endpoint that a retired source had removed came back later than the others. */
  @Test
  void removalByARetiredSourceEndsWithIt() {
    start("s0", "s1", "s2");
    receive(SOURCE_A, 41, false, removed("s1"));
    membership.switchSource(nowMs, SOURCE_B);
    receive(SOURCE_B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s0 s2", upEndpoints());
    apply(membership.sourceClosed(nowMs, SOURCE_A));
    advance(LIMITS.retiredSourceTtlMs() + 101);
    assertEquals("s0 s1 s2", upEndpoints());
  }

  @Test
  void sourceThatComesBackIntoUseStartsAnew() {
    start("s0", "s1");
    membership.switchSource(nowMs, SOURCE_B);
    membership.switchSource(nowMs, "a:1#3");
    assertEquals("s0 s1", upEndpoints());
    assertEquals(-1, membership.resumeVersion());
    receive(SOURCE_B, 7, true, down("s0"), up("s1"));
    assertEquals("s1", upEndpoints());
    receive("a:1#3", 2, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
  }

  @Test
  void endpointThatRefusesConnectsIsDownUntilItAcceptsAndThenWarmsUp() {
    start("s0", "s1");
    apply(
        membership.connectFailed(
            nowMs, "s0", true, 1)); // it has other connections: it is overloaded, not dead
    apply(membership.connectFailed(nowMs, "s0", true, 1));
    assertEquals("s0 s1", upEndpoints());
    apply(membership.connectFailed(nowMs, "s0", true, 0));
    assertEquals("s0 s1", upEndpoints()); // one refused connect is not enough
    apply(membership.connectFailed(nowMs, "s0", true, 0));
    assertEquals("s1", upEndpoints());
    assertEquals(List.of("s0"), List.copyOf(membership.endpointsToCheck()));
    advance(3000);
    apply(membership.connected(nowMs, "s0"));
    double restartedAtMs = nowMs;
    advance(101);
    assertEquals("s0 s1", upEndpoints());
    assertEquals(restartedAtMs, view.get("s0").info().startedAtMs());
    receive(SOURCE_A, 41, false, endpoint("s0", "s0:1", EndpointState.UP, restartedAtMs - 30));
    assertEquals(restartedAtMs, view.get("s0").info().startedAtMs());
    assertTrue(membership.endpointsToCheck().isEmpty());
  }

  @Test
  void responseBetweenRefusedConnectsShowsItAlive() {
    start("s0");
    apply(membership.connectFailed(nowMs, "s0", true, 0));
    apply(membership.responded(nowMs, "s0"));
    apply(membership.connectFailed(nowMs, "s0", true, 0));
    assertEquals("s0", upEndpoints());
  }

  /** Another endpoint at the same address, and the same one after it was forgotten. */
  @Test
  void addressStaysWarmingUp() {
    start("s0");
    receive(SOURCE_A, 41, false, endpoint("s5", "x:1", EndpointState.UP, nowMs - 100));
    double startedAtMs = nowMs - 100;
    receive(SOURCE_A, 42, false, removed("s5"));
    receive(SOURCE_A, 43, false, endpoint("s6", "x:1", EndpointState.UP, 0));
    assertEquals(startedAtMs, view.get("s6").info().startedAtMs());
    advance(LIMITS.flapWindowMs() + 10);
    receive(SOURCE_A, 44, false, removed("s6"));
    receive(SOURCE_A, 45, false, endpoint("s5", "x:1", EndpointState.UP, 0));
    assertEquals(startedAtMs, view.get("s5").info().startedAtMs());
    advance(LIMITS.warmUpMs());
    receive(SOURCE_A, 46, false, endpoint("s7", "x:1", EndpointState.UP, 0));
    assertEquals(0, view.get("s7").info().startedAtMs());
  }

  /** What was due in the same moment was lost where the list was known by its bytes. */
  @Test
  void unchangedListIsAppliedInFullWhileSomethingIsDue() {
    start("s0");
    assertTrue(membership.confirmUnchanged(nowMs, SOURCE_A, 40));
    receive(SOURCE_A, 41, false, down("s0"));
    receive(SOURCE_A, 42, false, up("s0"));
    nowMs += LIMITS.recoveryDelayMs();
    assertFalse(membership.confirmUnchanged(nowMs, SOURCE_A, 42)); // s0 comes up now
    receive(SOURCE_A, 42, true, up("s0"));
    assertEquals("s0", upEndpoints());
    assertTrue(membership.confirmUnchanged(nowMs, SOURCE_A, 42));
    nowMs += LIMITS.staleViewAfterMs() + 1;
    apply(membership.tick(nowMs));
    assertFalse(
        membership.confirmUnchanged(nowMs, SOURCE_A, 42)); // the end of staleness must be reported
  }

  @Test
  void newAddressOfAnEndpointIsReported() {
    start("s0");
    receive(SOURCE_A, 41, false, endpoint("s0", "y:1", EndpointState.UP, 0));
    assertEquals("y:1", view.get("s0").address());
    assertEquals("s0", upEndpoints());
  }

  @Test
  void removedEndpointThatStillRespondsIsReportedOnce() {
    start("s0", "s1");
    receive(SOURCE_A, 41, false, removed("s0"));
    apply(membership.responded(nowMs + 10, "s0"));
    assertEquals(List.of(), messages); // responses to earlier requests may still come
    advance(1100);
    apply(membership.responded(nowMs, "s0"));
    apply(membership.responded(nowMs, "s0"));
    assertEquals(List.of("endpoint s0 is listed as removed and still responds"), messages);
  }

  @Test
  void staleViewIsReportedOnceAndSoIsItsEnd() {
    start("s0");
    advance(20_000);
    assertEquals(1, messages.size(), messages.toString());
    assertTrue(messages.get(0).startsWith("the endpoint list is stale"), messages.get(0));
    assertEquals(20_000, membership.stats(nowMs).ageMs());
    apply(membership.sourceConfirmed(nowMs, SOURCE_A));
    assertEquals(2, messages.size());
    assertEquals("s0", upEndpoints());
  }

  /** Memory grew with each endpoint that was ever listed. */
  @Test
  void removedEndpointsAreForgotten() {
    start("s0");
    for (int i = 0; i < 2000; i++) {
      receive(SOURCE_A, 41 + 2 * i, false, up("n" + i));
      receive(SOURCE_A, 42 + 2 * i, false, removed("n" + i));
      advance(50);
    }
    advance(LIMITS.flapWindowMs() + LIMITS.warmUpMs() + 100);
    assertEquals(1, membership.trackedCount());
  }
}
