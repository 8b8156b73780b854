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
  private static final Limits LIMITS = Limits.defaults(18_000);
  private static final String A = "a:1";
  private static final String B = "b:1";
  private Membership core = new Membership(LIMITS, A);
  private final Map<String, Entry> view = new TreeMap<>();
  private final List<String> notes = new ArrayList<>();
  private boolean askAnew;
  private double now = 1_000_000;

  static Entry entry(String id, String dial, EndpointState state, double born) {
    return new Entry(new EndpointInfo(id, 1, "z", state, "m", born, 1), dial);
  }

  private static Entry up(String id) {
    return entry(id, id + ":1", EndpointState.UP, 0);
  }

  private static Entry down(String id) {
    return entry(id, id + ":1", EndpointState.DRAINING, 0);
  }

  private static Entry gone(String id) {
    return entry(id, null, EndpointState.REMOVED, 0);
  }

  private void take(Membership.Changes changes) {
    notes.addAll(changes.notes());
    askAnew |= changes.askAnew();
    for (Entry e : changes.entries()) {
      if (e.server().state() == EndpointState.REMOVED) {
        assertTrue(view.remove(e.id()) != null, "gone, and never told: " + e);
      } else {
        assertFalse(e.equals(view.put(e.id(), e)), "told again: " + e);
      }
    }
  }

  private void told(String space, long seq, boolean whole, Entry... entries) {
    take(core.told(now, space, seq, whole, Arrays.asList(entries)));
  }

  private void pass(double ms) {
    double until = now + ms;
    while (core.next() <= until) {
      now = Math.max(now, core.next());
      take(core.tick(now));
    }
    now = until;
    take(core.tick(now));
  }

  /** Servers shown up. */
  private String ups() {
    return view.values().stream()
        .filter(e -> e.server().state() == EndpointState.UP)
        .map(Entry::id)
        .collect(Collectors.joining(" "));
  }

  private void start(String... ids) {
    told(A, 40, true, Arrays.stream(ids).map(MembershipTest::up).toArray(Entry[]::new));
    for (String id : ids) {
      take(core.reachable(now, id));
    }
    assertEquals(String.join(" ", ids), ups());
  }

  @Test
  void whatIsKnownServesUntilASourceTells() {
    take(core.known(now, 41, List.of(up("s0"), up("s1"))));
    assertEquals(41, core.version());
    told(A, 42, false, down("s0"));
    assertEquals("s1", ups());
    assertEquals(42, core.version());
  }

  /**
   * What was known may be newer than discovery: its own first list counts, whatever the version.
   */
  @Test
  void theFirstWholeListCountsWhateverWasKnown() {
    take(core.known(now, 41, List.of(up("s0"), up("s1"))));
    told(A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", ups());
    assertEquals(3, core.version());
  }

  @Test
  void onlyDifferencesAreTold() {
    start("s0", "s1");
    told(A, 41, true, up("s0"), up("s1"));
    told(A, 42, false, up("s1"));
    assertEquals("s0 s1", ups()); // take() has seen that nothing was told again
  }

  @Test
  void downAtOnceUpAfterAMoment() {
    start("s0", "s1");
    told(A, 41, false, down("s0"));
    assertEquals("s1", ups());
    told(A, 42, false, up("s0"));
    assertEquals("s1", ups());
    pass(99);
    assertEquals("s1", ups());
    pass(2);
    assertEquals("s0 s1", ups());
  }

  @Test
  void flapsWaitLongerEachTimeAndAreForgotten() {
    start("s0");
    double[] waits = {100, 200, 400, 800, 1600, 1600};
    long seq = 41;
    for (double wait : waits) {
      told(A, seq++, false, down("s0"));
      told(A, seq++, false, up("s0"));
      pass(wait - 1);
      assertEquals("", ups(), "waits for " + wait);
      pass(2);
      assertEquals("s0", ups(), "waits for " + wait);
    }
    pass(LIMITS.flapWindow() + 1);
    told(A, seq++, false, down("s0"));
    told(A, seq, false, up("s0"));
    pass(101);
    assertEquals("s0", ups());
  }

  /**
   * The second look answers with an older version than the watch: it may take down, and never up.
   */
  @Test
  void anOlderVersionTakesDownAndNeverUp() {
    start("s0", "s1");
    told(A, 45, false, up("s9"), down("s1"));
    told(A, 43, true, up("s0"), up("s1"));
    assertEquals("s0", ups()); // s9 in doubt, s1 as the newer one has it
    told(A, 45, true, up("s0"), down("s1"), up("s9"));
    pass(101);
    assertEquals("s0 s9", ups());
  }

  @Test
  void aDrainInAnOlderVersionIsHonoured() {
    start("s0", "s1");
    told(A, 3, false, down("s0"));
    assertEquals("s1", ups());
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
      pass(50);
      told(A, 45 + i, false, up("s0"));
      pass(50);
    }
    assertEquals("s0 s9", ups());
    assertTrue(askAnew);
    assertTrue(notes.stream().anyMatch(n -> n.startsWith("disputed")), notes.toString());
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
      pass(100);
    }
    assertEquals("s1", ups());
    assertTrue(askAnew);
    assertEquals(-1, core.version());
    told(A, 3, true, up("s1"), up("s2"));
    assertEquals("s1 s2", ups());
    told(A, 4, false, up("s3"));
    assertEquals("s1 s2 s3", ups());
  }

  @Test
  void aVersionBelowZeroTakesDownOnly() {
    start("s0", "s1");
    told(A, -5, true, down("s0"), up("s7"));
    assertEquals("s1", ups()); // s1 is not in it: no version, no word on what it lacks
  }

  @Test
  void anEmptyListIsHeldWhileServersAnswer() {
    start("s0", "s1", "s2", "s3");
    told(A, 41, true);
    assertEquals("s0 s1 s2 s3", ups());
    assertEquals(1, notes.size());
    assertTrue(core.toTry().containsAll(List.of("s0", "s1", "s2", "s3")));
    for (int i = 0; i < 40; i++) { // s3 does not answer
      pass(100);
      for (String id : List.of("s0", "s1", "s2")) {
        take(core.answered(now, id));
      }
    }
    assertEquals("s0 s1 s2", ups());
    take(core.unreachable(now, "s2", true, 0));
    take(core.unreachable(now, "s2", true, 0));
    assertEquals("s0 s1", ups());
    for (int i = 0; i < 270; i++) {
      pass(100);
      take(core.answered(now, "s0"));
      take(core.answered(now, "s1"));
    }
    assertEquals("", ups()); // 30 s are over
    assertTrue(core.toTry().isEmpty());
  }

  @Test
  void aListThatShrinksByHalfIsHeldAndThenBelieved() {
    start("s0", "s1", "s2", "s3", "s4");
    told(A, 41, true, up("s0"), up("s1"));
    assertEquals("s0 s1 s2 s3 s4", ups());
    for (int i = 0; i < 21; i++) {
      told(A, 41, true, up("s0"), up("s1"));
      List.of("s2", "s3", "s4").forEach(id -> take(core.answered(now, id)));
      pass(100);
    }
    assertEquals("s0 s1", ups());
  }

  /** The platform's page: what a whole list does not name is gone, also where it still answers. */
  @Test
  void onThePlatformAListThatShrinksIsBelievedAtOnceAndAnEmptyOneIsHeld() {
    core = new Membership(Limits.platform(18_000), A);
    start("s0", "s1", "s2", "s3", "s4");
    told(A, 41, true, up("s0"));
    assertEquals("s0", ups());
    told(A, 42, true);
    assertEquals("s0", ups());
  }

  @Test
  void aFleetThatIsReplacedIsNoShrinking() {
    start("s0", "s1", "s2");
    told(A, 41, true, up("t0"), up("t1"), up("t2"));
    assertEquals("t0 t1 t2", ups());
  }

  /** A drain that is told is honoured also of a server that is held. */
  @Test
  void aHeldServerThatIsToldToDrainDoes() {
    start("s0", "s1", "s2");
    told(A, 41, true);
    told(A, 42, false, down("s1"));
    assertEquals("s0 s2", ups());
    told(A, 43, false, gone("s2"));
    assertEquals("s0", ups());
  }

  @Test
  void theOldPlaceCountsUntilTheNewOneTellsAndItsDrainsLonger() {
    start("s0", "s1", "s2");
    core.move(now, B);
    assertEquals("s0 s1 s2", ups());
    told(A, 41, false, down("s0"));
    assertEquals("s1 s2", ups());
    told(B, 7, true, up("s0"), up("s1"), up("s2")); // older than what is known
    assertEquals("s1 s2", ups());
    told(A, 42, false, gone("s1"));
    assertEquals("s2", ups());
    take(core.ended(now, A));
    pass(LIMITS.overlay() + 200);
    assertEquals("s0 s1 s2", ups()); // nobody else speaks any more
  }

  @Test
  void aDrainOfBeforeTheMoveStaysInForce() {
    start("s0", "s1", "s2");
    told(A, 41, false, down("s0"));
    told(A, 42, false, gone("s1"));
    core.move(now, B);
    told(B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s2", ups());
    told(B, 8, false, entry("s0", "s0:1", EndpointState.UP, now + 5)); // started since
    pass(1000);
    assertEquals("s0 s2", ups());
  }

  /**
   * A drain told by the old place ends with it, to the moment: also of one that it had told as
   * gone.
   */
  @Test
  void whatTheOldPlaceToldAsGoneIsBackWhenItsWordEnds() {
    start("s0", "s1", "s2");
    told(A, 41, false, gone("s1"));
    core.move(now, B);
    told(B, 7, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s0 s2", ups());
    take(core.ended(now, A));
    pass(LIMITS.overlay() + 101);
    assertEquals("s0 s1 s2", ups());
  }

  @Test
  void aMoveToAndFroTakesEachAsNew() {
    start("s0", "s1");
    core.move(now, B);
    core.move(now, "a:1#3");
    assertEquals("s0 s1", ups());
    assertEquals(-1, core.version());
    told(B, 7, true, down("s0"), up("s1"));
    assertEquals("s1", ups());
    told("a:1#3", 2, true, up("s0"), up("s1"), up("s2"));
    assertEquals("s1 s2", ups());
  }

  @Test
  void aServerThatRefusesIsDownUntilItAcceptsAndIsColdThen() {
    start("s0", "s1");
    take(core.unreachable(now, "s0", true, 1)); // others stand: it is crowded, not dead
    take(core.unreachable(now, "s0", true, 1));
    assertEquals("s0 s1", ups());
    take(core.unreachable(now, "s0", true, 0));
    assertEquals("s0 s1", ups()); // one may be chance
    take(core.unreachable(now, "s0", true, 0));
    assertEquals("s1", ups());
    assertEquals(List.of("s0"), List.copyOf(core.toTry()));
    pass(3000);
    take(core.reachable(now, "s0"));
    double back = now;
    pass(101);
    assertEquals("s0 s1", ups());
    assertEquals(back, view.get("s0").server().startedAtMs());
    told(A, 41, false, entry("s0", "s0:1", EndpointState.UP, back - 30));
    assertEquals(back, view.get("s0").server().startedAtMs());
    assertTrue(core.toTry().isEmpty());
  }

  @Test
  void anAnswerBetweenRefusalsIsLife() {
    start("s0");
    take(core.unreachable(now, "s0", true, 0));
    take(core.answered(now, "s0"));
    take(core.unreachable(now, "s0", true, 0));
    assertEquals("s0", ups());
  }

  /**
   * Another server at an address that has just become cold, and the same one after it was
   * forgotten.
   */
  @Test
  void anAddressStaysCold() {
    start("s0");
    told(A, 41, false, entry("s5", "x:1", EndpointState.UP, now - 100));
    double born = now - 100;
    told(A, 42, false, gone("s5"));
    told(A, 43, false, entry("s6", "x:1", EndpointState.UP, 0));
    assertEquals(born, view.get("s6").server().startedAtMs());
    pass(LIMITS.flapWindow() + 10);
    told(A, 44, false, gone("s6"));
    told(A, 45, false, entry("s5", "x:1", EndpointState.UP, 0));
    assertEquals(born, view.get("s5").server().startedAtMs());
    pass(LIMITS.warm());
    told(A, 46, false, entry("s7", "x:1", EndpointState.UP, 0));
    assertEquals(0, view.get("s7").server().startedAtMs());
  }

  /** What is due in this moment must not be lost where the same list is known by its bytes. */
  @Test
  void theSameListAgainLeavesWhatIsDueToBeTold() {
    start("s0");
    assertTrue(core.again(now, A, 40));
    told(A, 41, false, down("s0"));
    told(A, 42, false, up("s0"));
    now += LIMITS.upAfter();
    assertFalse(core.again(now, A, 42)); // s0 comes up in this moment: the list is told in full
    told(A, 42, true, up("s0"));
    assertEquals("s0", ups());
    assertTrue(core.again(now, A, 42));
    now += LIMITS.old() + 1;
    take(core.tick(now));
    assertFalse(core.again(now, A, 42)); // else the end of the old view would not be told
  }

  @Test
  void theSameServerAtAnotherAddressIsTold() {
    start("s0");
    told(A, 41, false, entry("s0", "y:1", EndpointState.UP, 0));
    assertEquals("y:1", view.get("s0").dial());
    assertEquals("s0", ups());
  }

  @Test
  void aServerGoneThatStillAnswersIsToldOnce() {
    start("s0", "s1");
    told(A, 41, false, gone("s0"));
    take(core.answered(now + 10, "s0"));
    assertEquals(List.of(), notes); // what was out may end
    pass(1100);
    take(core.answered(now, "s0"));
    take(core.answered(now, "s0"));
    assertEquals(List.of("server s0 is listed as gone and still answers"), notes);
  }

  @Test
  void anOldViewIsToldOnceAndItsEnd() {
    start("s0");
    pass(20_000);
    assertEquals(1, notes.size(), notes.toString());
    assertTrue(notes.get(0).startsWith("the view is old"), notes.get(0));
    assertEquals(20_000, core.figures(now).age());
    take(core.heard(now, A));
    assertEquals(2, notes.size());
    assertEquals("s0", ups());
  }

  /** Ever new servers, as on a long day: nothing is kept of those that left. */
  @Test
  void serversThatLeftAreForgotten() {
    start("s0");
    for (int i = 0; i < 2000; i++) {
      told(A, 41 + 2 * i, false, up("n" + i));
      told(A, 42 + 2 * i, false, gone("n" + i));
      pass(50);
    }
    pass(LIMITS.flapWindow() + LIMITS.warm() + 100);
    assertEquals(1, core.remembered());
  }
}
