package edgenode.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Each rule of the core by itself; times are ms. */
class MembershipTest {
  private static final MembershipLimits LIMITS = MembershipLimits.defaults(18_000);
  private static final String A = "a:1";
  private static final String B = "b:1";
  private Membership core = new Membership(LIMITS, A);
  private final Map<String, DiscoveredEndpoint> view = new TreeMap<>();
  private final List<String> notes = new ArrayList<>();
  private boolean askAnew;
  private double now = 1_000_000;

  static DiscoveredEndpoint endpoint(String id, String dial, EndpointState state, double born) {
    return new DiscoveredEndpoint(new EndpointInfo(id, 1, "z", state, "m", born, 1), dial);
  }

  private static DiscoveredEndpoint up(String id) {
    return endpoint(id, id + ":1", EndpointState.UP, 0);
  }

  private static DiscoveredEndpoint down(String id) {
    return endpoint(id, id + ":1", EndpointState.DRAINING, 0);
  }

  private static DiscoveredEndpoint gone(String id) {
    return endpoint(id, null, EndpointState.REMOVED, 0);
  }

  private void apply(MembershipUpdate changes) {
    notes.addAll(changes.messages());
    askAnew |= changes.mustResync();
    for (DiscoveredEndpoint e : changes.endpoints()) {
      if (e.info().state() == EndpointState.REMOVED) {
        assertTrue(view.remove(e.id()) != null, "gone, and never told: " + e);
      } else {
        assertFalse(e.equals(view.put(e.id(), e)), "told again: " + e);
      }
    }
  }

  private void told(String space, long seq, boolean whole, DiscoveredEndpoint... entries) {
    apply(core.endpointsReceived(now, space, seq, whole, Arrays.asList(entries)));
  }

  private void advance(double ms) {
    double until = now + ms;
    while (core.nextTickMs() <= until) {
      now = Math.max(now, core.nextTickMs());
      apply(core.tick(now));
    }
    now = until;
    apply(core.tick(now));
  }

  /** Servers shown up. */
  private String upEndpoints() {
    return view.values().stream()
        .filter(e -> e.info().state() == EndpointState.UP)
        .map(DiscoveredEndpoint::id)
        .collect(Collectors.joining(" "));
  }

  private void start(String... ids) {
    told(
        A, 40, true, Arrays.stream(ids).map(MembershipTest::up).toArray(DiscoveredEndpoint[]::new));
    for (String id : ids) {
      apply(core.connected(now, id));
    }
    assertEquals(String.join(" ", ids), upEndpoints());
  }

  @Test
  void whatIsKnownServesUntilASourceTells() {
    apply(core.loadInitialList(now, 41, List.of(up("s0"), up("s1"))));
    assertEquals(41, core.resumeVersion());
    told(A, 42, false, down("s0"));
    assertEquals("s1", upEndpoints());
    assertEquals(42, core.resumeVersion());
  }

  /**
   * What was known may be newer than discovery: its own first list counts, whatever the version.
   */
  @Test
  void theFirstWholeListCountsWhateverWasKnown() {
    apply(core.loadInitialList(now, 41, List.of(up("s0"), up("s1"))));
    told(A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
    assertEquals(3, core.resumeVersion());
  }

  @Test
  void onlyDifferencesAreTold() {
    start("s0", "s1");
    told(A, 41, true, up("s0"), up("s1"));
    told(A, 42, false, up("s1"));
    assertEquals("s0 s1", upEndpoints()); // take() has seen that nothing was told again
  }

  @Test
  void downAtOnceUpAfterAMoment() {
    start("s0", "s1");
    told(A, 41, false, down("s0"));
    assertEquals("s1", upEndpoints());
    told(A, 42, false, up("s0"));
    assertEquals("s1", upEndpoints());
    advance(99);
    assertEquals("s1", upEndpoints());
    advance(2);
    assertEquals("s0 s1", upEndpoints());
  }

  @Test
  void flapsWaitLongerEachTimeAndAreForgotten() {
    start("s0");
    double[] waits = {100, 200, 400, 800, 1600, 1600};
    long seq = 41;
    for (double wait : waits) {
      told(A, seq++, false, down("s0"));
      told(A, seq++, false, up("s0"));
      advance(wait - 1);
      assertEquals("", upEndpoints(), "waits for " + wait);
      advance(2);
      assertEquals("s0", upEndpoints(), "waits for " + wait);
    }
    advance(LIMITS.flapWindowMs() + 1);
    told(A, seq++, false, down("s0"));
    told(A, seq, false, up("s0"));
    advance(101);
    assertEquals("s0", upEndpoints());
  }

  /**
   * The second look answers with an older version than the watch: it may take down, and never up.
   */
  @Test
  void anOlderVersionTakesDownAndNeverUp() {
    start("s0", "s1");
    told(A, 45, false, up("s9"), down("s1"));
    told(A, 43, true, up("s0"), up("s1"));
    assertEquals("s0", upEndpoints()); // s9 in doubt, s1 as the newer one has it
    told(A, 45, true, up("s0"), down("s1"), up("s9"));
    advance(101);
    assertEquals("s0 s9", upEndpoints());
  }

  @Test
  void aDrainInAnOlderVersionIsHonoured() {
    start("s0", "s1");
    told(A, 3, false, down("s0"));
    assertEquals("s1", upEndpoints());
  }

  /**
   * One source is stuck, the other ahead and alive: the one ahead is right, and both are asked
   * anew.
   */
  @Test
  void aSourceThatIsStuckIsLeftOutOfAccount() {
    start("s0");
    told(A, 45, false, up("s9"));
    for (int i = 0; i < 25; i++) {
      told(A, 43, true, up("s0"));
      advance(50);
      told(A, 45 + i, false, up("s0"));
      advance(50);
    }
    assertEquals("s0 s9", upEndpoints());
    assertTrue(askAnew);
    assertTrue(notes.stream().anyMatch(n -> n.startsWith("version conflict")), notes.toString());
  }

  /**
   * All sources have gone back and stay: after a while the list asked anew counts, with what it has
   * up.
   */
  @Test
  void versionsThatGoBackForGoodAreTaken() {
    start("s0", "s1");
    for (int i = 0; i < 25 && !askAnew; i++) {
      told(A, 3, true, up("s1"), up("s2"));
      advance(100);
    }
    assertEquals("s1", upEndpoints());
    assertTrue(askAnew);
    assertEquals(-1, core.resumeVersion());
    told(A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
    told(A, 4, false, up("s3"));
    assertEquals("s1 s2 s3", upEndpoints());
  }

  @Test
  void aVersionBelowZeroTakesDownOnly() {
    start("s0", "s1");
    told(A, -5, true, down("s0"), up("s7"));
    assertEquals("s1", upEndpoints()); // s1 is not in it: no version, no word on what it lacks
  }

  @Test
  void anEmptyListIsHeldWhileServersAnswer() {
    start("s0", "s1", "s2", "s3");
    told(A, 41, true);
    assertEquals("s0 s1 s2 s3", upEndpoints());
    assertEquals(1, notes.size());
    assertTrue(core.endpointsToProbe().containsAll(List.of("s0", "s1", "s2", "s3")));
    for (int i = 0; i < 40; i++) { // s3 does not answer
      advance(100);
      for (String id : List.of("s0", "s1", "s2")) {
        apply(core.responded(now, id));
      }
    }
    assertEquals("s0 s1 s2", upEndpoints());
    apply(core.connectFailed(now, "s2", true, 0));
    apply(core.connectFailed(now, "s2", true, 0));
    assertEquals("s0 s1", upEndpoints());
    for (int i = 0; i < 270; i++) {
      advance(100);
      apply(core.responded(now, "s0"));
      apply(core.responded(now, "s1"));
    }
    assertEquals("", upEndpoints()); // 30 s are over
    assertTrue(core.endpointsToProbe().isEmpty());
  }

  @Test
  void aListThatShrinksByHalfIsHeldAndThenBelieved() {
    start("s0", "s1", "s2", "s3", "s4");
    told(A, 41, true, up("s0"), up("s1"));
    assertEquals("s0 s1 s2 s3 s4", upEndpoints());
    for (int i = 0; i < 21; i++) {
      told(A, 41, true, up("s0"), up("s1"));
      List.of("s2", "s3", "s4").forEach(id -> apply(core.responded(now, id)));
      advance(100);
    }
    assertEquals("s0 s1", upEndpoints());
  }

  /** The platform's page: what a whole list does not name is gone, also where it still answers. */
  @Test
  void onThePlatformAListThatShrinksIsBelievedAtOnceAndAnEmptyOneIsHeld() {
    core = new Membership(MembershipLimits.platform(18_000), A);
    start("s0", "s1", "s2", "s3", "s4");
    told(A, 41, true, up("s0"));
    assertEquals("s0", upEndpoints());
    told(A, 42, true);
    assertEquals("s0", upEndpoints());
  }

  @Test
  void aFleetThatIsReplacedIsNoShrinking() {
    start("s0", "s1", "s2");
    told(A, 41, true, up("t0"), up("t1"), up("t2"));
    assertEquals("t0 t1 t2", upEndpoints());
  }

  /** A drain that is told is honoured also of a server that is held. */
  @Test
  void aHeldServerThatIsToldToDrainDoes() {
    start("s0", "s1", "s2");
    told(A, 41, true);
    told(A, 42, false, down("s1"));
    assertEquals("s0 s2", upEndpoints());
    told(A, 43, false, gone("s2"));
    assertEquals("s0", upEndpoints());
  }

  @Test
  void theOldPlaceCountsUntilTheNewOneTellsAndItsDrainsLonger() {
    start("s0", "s1", "s2");
    core.switchSource(now, B);
    assertEquals("s0 s1 s2", upEndpoints());
    told(A, 41, false, down("s0"));
    assertEquals("s1 s2", upEndpoints());
    told(B, 7, true, up("s0"), up("s1"), up("s2")); // older than what is known
    assertEquals("s1 s2", upEndpoints());
    told(A, 42, false, gone("s1"));
    assertEquals("s2", upEndpoints());
    apply(core.sourceClosed(now, A));
    advance(LIMITS.retiredSourceTtlMs() + 200);
    assertEquals("s0 s1 s2", upEndpoints()); // nobody else speaks any more
  }

  @Test
  void aDrainOfBeforeTheMoveStaysInForce() {
    start("s0", "s1", "s2");
    told(A, 41, false, down("s0"));
    told(A, 42, false, gone("s1"));
    core.switchSource(now, B);
    told(B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s2", upEndpoints());
    told(B, 8, false, endpoint("s0", "s0:1", EndpointState.UP, now + 5)); // started since
    advance(1000);
    assertEquals("s0 s2", upEndpoints());
  }

  /**
   * A drain told by the old place ends with it, to the moment: also of one that it had told as
   * gone.
   */
  @Test
  void whatTheOldPlaceToldAsGoneIsBackWhenItsWordEnds() {
    start("s0", "s1", "s2");
    told(A, 41, false, gone("s1"));
    core.switchSource(now, B);
    told(B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s0 s2", upEndpoints());
    apply(core.sourceClosed(now, A));
    advance(LIMITS.retiredSourceTtlMs() + 101);
    assertEquals("s0 s1 s2", upEndpoints());
  }

  @Test
  void aMoveToAndFroTakesEachAsNew() {
    start("s0", "s1");
    core.switchSource(now, B);
    core.switchSource(now, "a:1#3");
    assertEquals("s0 s1", upEndpoints());
    assertEquals(-1, core.resumeVersion());
    told(B, 7, true, down("s0"), up("s1"));
    assertEquals("s1", upEndpoints());
    told("a:1#3", 2, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s1 s2", upEndpoints());
  }

  @Test
  void aServerThatRefusesIsDownUntilItAcceptsAndIsColdThen() {
    start("s0", "s1");
    apply(core.connectFailed(now, "s0", true, 1)); // others stand: it is crowded, not dead
    apply(core.connectFailed(now, "s0", true, 1));
    assertEquals("s0 s1", upEndpoints());
    apply(core.connectFailed(now, "s0", true, 0));
    assertEquals("s0 s1", upEndpoints()); // one may be chance
    apply(core.connectFailed(now, "s0", true, 0));
    assertEquals("s1", upEndpoints());
    assertEquals(List.of("s0"), List.copyOf(core.endpointsToProbe()));
    advance(3000);
    apply(core.connected(now, "s0"));
    double back = now;
    advance(101);
    assertEquals("s0 s1", upEndpoints());
    assertEquals(back, view.get("s0").info().startedAtMs());
    told(A, 41, false, endpoint("s0", "s0:1", EndpointState.UP, back - 30));
    assertEquals(back, view.get("s0").info().startedAtMs());
    assertTrue(core.endpointsToProbe().isEmpty());
  }

  @Test
  void anAnswerBetweenRefusalsIsLife() {
    start("s0");
    apply(core.connectFailed(now, "s0", true, 0));
    apply(core.responded(now, "s0"));
    apply(core.connectFailed(now, "s0", true, 0));
    assertEquals("s0", upEndpoints());
  }

  /**
   * Another server at an address that has just become cold, and the same one after it was
   * forgotten.
   */
  @Test
  void anAddressStaysCold() {
    start("s0");
    told(A, 41, false, endpoint("s5", "x:1", EndpointState.UP, now - 100));
    double born = now - 100;
    told(A, 42, false, gone("s5"));
    told(A, 43, false, endpoint("s6", "x:1", EndpointState.UP, 0));
    assertEquals(born, view.get("s6").info().startedAtMs());
    advance(LIMITS.flapWindowMs() + 10);
    told(A, 44, false, gone("s6"));
    told(A, 45, false, endpoint("s5", "x:1", EndpointState.UP, 0));
    assertEquals(born, view.get("s5").info().startedAtMs());
    advance(LIMITS.warmUpMs());
    told(A, 46, false, endpoint("s7", "x:1", EndpointState.UP, 0));
    assertEquals(0, view.get("s7").info().startedAtMs());
  }

  /** What is due in this moment must not be lost where the same list is known by its bytes. */
  @Test
  void theSameListAgainLeavesWhatIsDueToBeTold() {
    start("s0");
    assertTrue(core.confirmUnchanged(now, A, 40));
    told(A, 41, false, down("s0"));
    told(A, 42, false, up("s0"));
    now += LIMITS.recoveryDelayMs();
    assertFalse(
        core.confirmUnchanged(now, A, 42)); // s0 comes up in this moment: the list is told in full
    told(A, 42, true, up("s0"));
    assertEquals("s0", upEndpoints());
    assertTrue(core.confirmUnchanged(now, A, 42));
    now += LIMITS.staleViewAfterMs() + 1;
    apply(core.tick(now));
    assertFalse(
        core.confirmUnchanged(now, A, 42)); // else the end of the old view would not be told
  }

  @Test
  void theSameServerAtAnotherAddressIsTold() {
    start("s0");
    told(A, 41, false, endpoint("s0", "y:1", EndpointState.UP, 0));
    assertEquals("y:1", view.get("s0").address());
    assertEquals("s0", upEndpoints());
  }

  @Test
  void aServerGoneThatStillAnswersIsToldOnce() {
    start("s0", "s1");
    told(A, 41, false, gone("s0"));
    apply(core.responded(now + 10, "s0"));
    assertEquals(List.of(), notes); // what was out may end
    advance(1100);
    apply(core.responded(now, "s0"));
    apply(core.responded(now, "s0"));
    assertEquals(List.of("endpoint s0 is listed as removed and still responds"), notes);
  }

  @Test
  void anOldViewIsToldOnceAndItsEnd() {
    start("s0");
    advance(20_000);
    assertEquals(1, notes.size(), notes.toString());
    assertTrue(notes.get(0).startsWith("the endpoint list is stale"), notes.get(0));
    assertEquals(20_000, core.stats(now).ageMs());
    apply(core.sourceConfirmed(now, A));
    assertEquals(2, notes.size());
    assertEquals("s0", upEndpoints());
  }

  /** Ever new servers, as on a long day: nothing is kept of those that left. */
  @Test
  void serversThatLeftAreForgotten() {
    start("s0");
    for (int i = 0; i < 2000; i++) {
      told(A, 41 + 2 * i, false, up("n" + i));
      told(A, 42 + 2 * i, false, gone("n" + i));
      advance(50);
    }
    advance(LIMITS.flapWindowMs() + LIMITS.warmUpMs() + 100);
    assertEquals(1, core.trackedCount());
  }
}
