package edgenode.membership;

import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * One view of the servers, from what several sources say, each late, partial or wrong in its own
 * way. A pure core: time (ms) is an argument and never goes back, the same calls give the same
 * results, nothing is read or waited for. Not safe for use by several threads.
 *
 * <p>A <em>space</em> is one numbering of versions: an address of discovery. What comes from one
 * space is ordered by its versions; two spaces are not ordered at all. One space is current, those
 * that a move has left stay as witnesses until they end. The rules, in the order in which they are
 * applied to a server:
 *
 * <ol>
 *   <li>It is down as soon as any source of a living space says so, also one that goes back in
 *       versions: an older version may take servers down, never up. What a newer whole list says
 *       ends that doubt.
 *   <li>It is gone if the current space's whole list lacks it, unless that list leaves less than a
 *       stated share of the servers; then it is kept for a stated time, as long as it answers.
 *   <li>It is down while connects to it are refused and none stands, whatever the lists say.
 *   <li>It comes up again a moment later than it is told, and later each time that it has lately
 *       gone down.
 * </ol>
 *
 * An address is remembered as cold, also where the server that made it so has been forgotten.
 *
 * <p>Costs: a change is O(log n) for each server that it names, a whole list O(n log n), a health
 * event O(1).
 */
public final class Membership {
  /** What one call has changed, for the decision module and for the log. */
  public record MembershipUpdate(
      List<DiscoveredEndpoint> endpoints,
      boolean isComplete,
      List<String> messages,
      boolean mustResync) {
    public static final MembershipUpdate NONE =
        new MembershipUpdate(List.of(), false, List.of(), false);
  }

  /**
   * The view in figures: servers shown, up, held, dead, and ms since a source last confirmed it.
   */
  public record MembershipStats(
      int endpointCount,
      int upCount,
      int quarantinedCount,
      int unreachableCount,
      double ageMs,
      long version) {}

  private static final class Space {
    final String name;
    final Map<String, DiscoveredEndpoint> entries = new LinkedHashMap<>();
    long seq = -1;

    /**
     * A source of this space itself has told; until then its entries are what was known at the
     * start.
     */
    boolean confirmed;

    /** The next whole list counts whatever its version: all were asked anew. */
    boolean anew;

    double endedAt = Double.NaN;
    double newestAt = Double.NEGATIVE_INFINITY;

    /** Since when only older versions have come, or NaN. */
    double staleSince = Double.NaN;

    /** When each entry was told. */
    final Map<String, Double> toldAt = new HashMap<>();

    /** Servers that it lately told as gone, and when: after a move that still counts. */
    final Map<String, Double> gone = new HashMap<>();

    /** Servers that an older version took down. */
    final Set<String> doubted = new HashSet<>();

    /** The older version that came last. */
    long behind;

    /** Since when there is doubt, or NaN. */
    double doubtSince = Double.NaN;

    /** What the older version that came last said. */
    Collection<DiscoveredEndpoint> behindSaid = List.of();

    /** An older version that was looked into and found to be of no account, and what it said. */
    long ignored = Long.MIN_VALUE;

    Collection<DiscoveredEndpoint> ignoredSaid = List.of();

    /** It has told a whole list, or one was known of it: its word on who is there counts. */
    boolean usable;

    Space(String name) {
      this.name = name;
    }
  }

  private static final class Host {
    DiscoveredEndpoint shown;
    DiscoveredEndpoint kept;
    double heldUntil = Double.NEGATIVE_INFINITY;
    double upAt = Double.NEGATIVE_INFINITY;
    double downAt = Double.NEGATIVE_INFINITY;
    double answeredAt = Double.NEGATIVE_INFINITY;
    double goneAt = Double.NaN;
    int falls;
    int refused;
    int timedOut;
    boolean dead;
    boolean disputed;
  }

  private record Check(double at, long serial, String id) implements Comparable<Check> {
    @Override
    public int compareTo(Check o) {
      int by = Double.compare(at, o.at);
      return by != 0 ? by : Long.compare(serial, o.serial);
    }
  }

  private record Cold(double startedAt, double until) {}

  private final MembershipLimits limits;
  private final Map<String, Host> hosts = new HashMap<>();
  private final Map<String, Cold> cold = new HashMap<>();
  private final List<Space> left = new ArrayList<>();
  private final PriorityQueue<Check> checks = new PriorityQueue<>();
  private final Set<String> touched = new LinkedHashSet<>();
  private final List<String> notes = new ArrayList<>();
  private final Set<String> dead = new LinkedHashSet<>();
  private final Set<String> holding = new LinkedHashSet<>();
  private Space current;
  private long serial;
  private int up;
  private double now = Double.NEGATIVE_INFINITY;
  private double heardAt = Double.NaN;
  private boolean endpointsReceived;
  private boolean oldNoted;
  private boolean askAnew;

  /**
   * @param space the name of the first space; {@code known} what was known of it at the start,
   *     perhaps old
   */
  public Membership(MembershipLimits limits, String space) {
    this.limits = limits;
    current = new Space(space);
  }

  // ---- sources ----

  /**
   * What was known at the start serves until a source tells; its version says where a watch may go
   * on.
   */
  public MembershipUpdate loadInitialList(
      double time, long seq, Collection<DiscoveredEndpoint> entries) {
    begin(time);
    if (!current.confirmed && current.seq < 0) {
      current.seq = Math.max(-1, seq);
      current.usable = true;
      for (DiscoveredEndpoint e : entries) {
        put(current, e);
        touched.add(e.id());
      }
    }
    return end();
  }

  /**
   * The version from which a watch in the current space goes on, -1 where the whole list must be
   * asked.
   */
  public long resumeVersion() {
    return current.anew ? -1 : current.seq;
  }

  /**
   * Discovery is elsewhere now. Versions start anew; what the old space says still counts against
   * servers.
   */
  public void switchSource(double time, String space) {
    begin(time);
    left.add(current);
    current = new Space(space);
  }

  /** A space that was left has closed its last connection. */
  public MembershipUpdate sourceClosed(double time, String space) {
    begin(time);
    for (Space s : left) {
      if (s.name.equals(space) && Double.isNaN(s.endedAt)) {
        s.endedAt = now;
        check(now + limits.retiredSourceTtlMs(), null);
      }
    }
    return end();
  }

  /** A source says that nothing has changed since what it told before. */
  public MembershipUpdate sourceConfirmed(double time, String space) {
    begin(time);
    if (space.equals(current.name)) {
      fresh();
    }
    return end();
  }

  /**
   * The same list again, known by its bytes: an older one stays in doubt, a newer one stays
   * confirmed. O(1).
   *
   * @return false where the list must be given to {@link #endpointsReceived} in full after all
   */
  public boolean confirmUnchanged(double time, String space, long seq) {
    if (!space.equals(current.name)
        || seq != current.seq
        || !current.doubted.isEmpty()
        || current.anew
        || !current.confirmed
        || oldNoted
        || nextTickMs() <= time) { // what is due is told with the list
      return false;
    }
    now = Math.max(now, time);
    current.newestAt = now;
    current.staleSince = Double.NaN;
    fresh();
    return true;
  }

  /**
   * What a source tells.
   *
   * @param space where it told it
   * @param seq the version; below 0 where there is none, which can take servers down and no more
   * @param whole whether it is the whole list
   * @param entries the servers that it names, the last one of a name counts
   */
  public MembershipUpdate endpointsReceived(
      double time, String space, long seq, boolean whole, Collection<DiscoveredEndpoint> entries) {
    begin(time);
    if (space.equals(current.name)) {
      fresh();
      if (seq < 0 || seq < current.seq && current.confirmed && !(current.anew && whole)) {
        older(seq, whole, entries);
      } else {
        newer(seq, whole, entries);
      }
      return end();
    }
    for (Space s : left) {
      if (s.name.equals(space)) {
        witness(s, seq, whole, entries);
      }
    }
    return end();
  }

  /** In order, from the current space. */
  private void newer(long seq, boolean whole, Collection<DiscoveredEndpoint> entries) {
    boolean first = !current.confirmed || current.anew;
    if (!whole && seq < current.seq) { // a change to a list that nobody has confirmed
      older(seq, false, entries);
      return;
    }
    current.newestAt = now;
    current.staleSince = Double.NaN;
    if (whole) {
      current.usable = true;
      replace(entries);
      current.confirmed = true;
      current.anew = false;
      current.doubted.clear();
      current.doubtSince = Double.NaN;
      touched.addAll(hosts.keySet());
    } else {
      for (DiscoveredEndpoint e : entries) {
        put(current, e);
        touched.add(e.id());
        current.doubted.remove(e.id());
      }
      current.confirmed |= first && current.seq >= 0;
    }
    current.seq = seq;
  }

  /** The whole list: what it lacks is gone, unless it lacks too much at once. */
  private void replace(Collection<DiscoveredEndpoint> entries) {
    Map<String, DiscoveredEndpoint> before = new LinkedHashMap<>(current.entries);
    if (before.isEmpty()) {
      for (Map.Entry<String, Host> h : hosts.entrySet()) { // after a move: what is shown
        if (h.getValue().shown != null) {
          before.put(h.getKey(), h.getValue().shown);
        }
      }
    }
    current.entries.clear();
    for (DiscoveredEndpoint e : entries) {
      put(current, e);
      touched.add(e.id()); // what comes is told before what goes
    }
    int left = 0;
    for (DiscoveredEndpoint e : current.entries.values()) {
      left += e.info().state() == EndpointState.UP ? 1 : 0;
    }
    double hold = left == 0 ? limits.emptyListQuarantineMs() : limits.shrunkListQuarantineMs();
    boolean holding = up > 0 && left < limits.minRetainedShare() * up;
    int held = 0;
    for (Map.Entry<String, DiscoveredEndpoint> e : before.entrySet()) {
      String id = e.getKey();
      Host h = hosts.get(id);
      touched.add(id);
      if (current.entries.containsKey(id)) {
        continue;
      }
      bury(current, id);
      current.toldAt.remove(id);
      if (h == null || h.heldUntil > now) {
        continue;
      }
      boolean wasUp = h.shown != null && h.shown.info().state() == EndpointState.UP;
      if (holding
          && wasUp
          && h.answeredAt > Double.NEGATIVE_INFINITY
          && h.refused + h.timedOut == 0) {
        h.kept = h.shown;
        h.heldUntil = now + hold;
        h.answeredAt = now; // it is tried from now on, and has so long to show that it lives
        held++;
      }
    }
    if (held > 0) {
      notes.add(
          "the list at "
              + current.name
              + " shrank from "
              + up
              + " servers to "
              + left
              + " at once: "
              + held
              + " that it lacks are kept for "
              + Math.round(hold)
              + " ms while they answer");
    }
  }

  /** A version before the newest, or none: it can take servers down, and no more. */
  private void older(long seq, boolean whole, Collection<DiscoveredEndpoint> entries) {
    if (seq == current.ignored && current.ignoredSaid.equals(entries)) {
      return;
    }
    current.behind = seq;
    current.behindSaid = entries;
    Set<String> named = new HashSet<>();
    for (DiscoveredEndpoint e : entries) {
      named.add(e.id());
      if (e.info().state() != EndpointState.UP) {
        doubt(e.id());
      }
    }
    if (whole && seq >= 0) {
      for (String id : current.entries.keySet()) {
        if (!named.contains(id)) {
          doubt(id);
        }
      }
    }
    if (seq < 0) {
      notes.add(
          "a version below 0 came from " + current.name + ": only what it takes down is taken");
    }
    if (Double.isNaN(current.staleSince)) {
      current.staleSince = now;
      check(now + limits.staleVersionTimeoutMs(), null);
    }
  }

  private void doubt(String id) {
    Host h = hosts.get(id);
    if (h != null && h.heldUntil > now) {
      h.heldUntil = Double.NEGATIVE_INFINITY;
      touched.add(id);
    }
    if (current.entries.containsKey(id) && current.doubted.add(id)) {
      touched.add(id);
      if (Double.isNaN(current.doubtSince)) {
        current.doubtSince = now;
        check(now + limits.staleVersionTimeoutMs(), null);
      }
    }
  }

  /** A space that was left: it may take servers down. */
  private void witness(Space s, long seq, boolean whole, Collection<DiscoveredEndpoint> entries) {
    if (whole) {
      touched.addAll(s.entries.keySet());
      s.entries.clear();
      s.usable = true;
    }
    for (DiscoveredEndpoint e : entries) {
      s.entries.put(e.id(), e); // also GONE: it speaks against the server
      s.toldAt.put(e.id(), now);
      touched.add(e.id());
    }
    s.seq = Math.max(seq, s.seq);
  }

  private void put(Space s, DiscoveredEndpoint told) {
    DiscoveredEndpoint e = told;
    if (e.address() != null) {
      Cold c = cold.get(e.address());
      if (c != null && c.until > now && e.info().startedAtMs() < c.startedAt) {
        e = e.withState(e.info().state(), c.startedAt);
      }
      remember(e.address(), e.info().startedAtMs());
    }
    if (e.info().state() == EndpointState.REMOVED) {
      s.entries.remove(e.id());
      s.toldAt.remove(e.id());
      bury(s, e.id());
    } else {
      s.entries.put(e.id(), e);
      s.toldAt.put(e.id(), now);
      s.gone.remove(e.id());
    }
    Host h = hosts.computeIfAbsent(e.id(), id -> new Host());
    if (e.info().state() == EndpointState.REMOVED) {
      h.heldUntil = Double.NEGATIVE_INFINITY; // said in so many words
    }
  }

  private void bury(Space s, String id) {
    s.gone.put(id, now);
    check(now + limits.flapWindowMs(), null);
  }

  private void remember(String dial, double startedAt) {
    if (startedAt > 0 && startedAt + limits.warmUpMs() > now) {
      Cold c = cold.get(dial);
      if (c == null || c.startedAt < startedAt) {
        cold.put(dial, new Cold(startedAt, startedAt + limits.warmUpMs()));
        check(startedAt + limits.warmUpMs(), null);
      }
    }
  }

  private void fresh() {
    heardAt = now;
    if (oldNoted) {
      oldNoted = false;
      notes.add("the view is confirmed again by " + current.name);
    }
  }

  // ---- health ----

  /** A good answer of the server's came. */
  public MembershipUpdate responded(double time, String id) {
    Host h = hosts.get(id);
    if (h == null) {
      return MembershipUpdate.NONE;
    }
    now = Math.max(now, time);
    h.answeredAt = now;
    h.refused = 0;
    h.timedOut = 0;
    if (!Double.isNaN(h.goneAt) && now - h.goneAt > limits.livenessWindowMs() && !h.disputed) {
      h.disputed = true;
      return new MembershipUpdate(
          List.of(),
          false,
          List.of("server " + id + " is listed as gone and still answers"),
          false);
    }
    return MembershipUpdate.NONE;
  }

  /**
   * A connect failed.
   *
   * @param refused whether it was refused, else it never came up
   * @param standing connections to the server that are up
   */
  public MembershipUpdate connectFailed(double time, String id, boolean refused, int standing) {
    Host h = hosts.get(id);
    if (h == null) {
      return MembershipUpdate.NONE;
    }
    begin(time);
    if (standing > 0) {
      return end();
    }
    h.refused = refused ? h.refused + 1 : h.refused;
    h.timedOut = refused ? h.timedOut : h.timedOut + 1;
    if (!h.dead
        && (h.refused >= limits.refusedConnectThreshold()
            || h.timedOut >= limits.connectTimeoutThreshold() && !answers(h))) {
      h.dead = true;
      dead.add(id);
      touched.add(id);
    }
    return end();
  }

  /**
   * A connection came up. After refusals it is a new process, and cold, whatever the lists say yet.
   */
  public MembershipUpdate connected(double time, String id) {
    Host h = hosts.get(id);
    if (h == null) {
      return MembershipUpdate.NONE;
    }
    h.answeredAt = Math.max(now, time);
    if (!h.dead && h.refused == 0 && h.timedOut == 0) {
      return MembershipUpdate.NONE;
    }
    begin(time);
    if (h.dead) {
      h.dead = false;
      dead.remove(id);
      touched.add(id);
      if (h.refused >= limits.refusedConnectThreshold()) {
        DiscoveredEndpoint e = current.entries.get(id);
        if (e != null && e.info().startedAtMs() + limits.warmUpMs() < now) {
          remember(e.address(), now);
          put(current, e);
        }
      }
    }
    h.refused = 0;
    h.timedOut = 0;
    return end();
  }

  /**
   * Servers to which a connect should be tried now and then: the dead, and those held against a
   * list.
   */
  public Collection<String> endpointsToProbe() {
    if (dead.isEmpty() && holding.isEmpty()) {
      return List.of();
    }
    Set<String> all = new LinkedHashSet<>(dead);
    all.addAll(holding);
    return all;
  }

  // ---- time ----

  /** When {@link #tick} is due next (ms), infinite where nothing is. */
  public double nextTickMs() {
    double at = checks.isEmpty() ? Double.POSITIVE_INFINITY : checks.peek().at;
    return oldNoted || Double.isNaN(heardAt)
        ? at
        : Math.min(at, heardAt + limits.staleViewAfterMs());
  }

  /** What time alone has changed. */
  public MembershipUpdate tick(double time) {
    begin(time);
    return end();
  }

  /** Servers of which anything is kept, for tests of forgetting. */
  int trackedCount() {
    return Math.max(
        Math.max(hosts.size(), current.entries.size()),
        Math.max(current.gone.size(), Math.max(cold.size(), checks.size())));
  }

  public MembershipStats stats(double time) {
    int shown = 0;
    for (Host h : hosts.values()) {
      shown += h.shown != null ? 1 : 0;
    }
    return new MembershipStats(
        shown,
        up,
        holding.size(),
        dead.size(),
        Double.isNaN(heardAt) ? Double.POSITIVE_INFINITY : Math.max(0, time - heardAt),
        current.seq);
  }

  // ---- the view ----

  private void begin(double time) {
    now = Math.max(now, time);
    while (!checks.isEmpty() && checks.peek().at <= now) {
      String id = checks.poll().id;
      if (id != null) {
        touched.add(id);
      } else {
        housekeeping();
      }
    }
    if (!oldNoted && !Double.isNaN(heardAt) && now - heardAt >= limits.staleViewAfterMs()) {
      oldNoted = true;
      notes.add(
          "the view is old: nothing from "
              + current.name
              + " for "
              + Math.round(now - heardAt)
              + " ms; it stays as it is");
    }
  }

  private void check(double at, String id) {
    checks.add(new Check(Math.max(at, Math.nextUp(now)), serial++, id));
  }

  private void housekeeping() {
    for (Iterator<Space> it = left.iterator(); it.hasNext(); ) {
      Space s = it.next();
      if (!Double.isNaN(s.endedAt) && now >= s.endedAt + limits.retiredSourceTtlMs()) {
        if (!current.confirmed) { // the one to be has not told yet
          check(now + limits.retiredSourceTtlMs(), null);
          continue;
        }
        it.remove();
        touched.addAll(s.entries.keySet());
        touched.addAll(s.gone.keySet());
      }
    }
    if (!Double.isNaN(current.staleSince)
        && now >= current.staleSince + limits.staleVersionTimeoutMs()) {
      goneBack();
    }
    if (!Double.isNaN(current.doubtSince)
        && now >= current.doubtSince + limits.staleVersionTimeoutMs()) {
      stuck();
    }
    cold.values().removeIf(c -> c.until <= now);
    current.gone.values().removeIf(at -> at + limits.flapWindowMs() <= now);
  }

  /**
   * Nothing but older versions for a while: all are asked anew, and the list that this brings
   * counts.
   */
  private void goneBack() {
    current.staleSince = Double.NaN;
    current.anew = true;
    askAnew = true;
    disputed();
  }

  /**
   * One stays behind while another is ahead and lives: that one is right, and all are asked anew.
   */
  private void stuck() {
    if (current.doubted.isEmpty()) {
      current.doubtSince = Double.NaN;
    } else if (current.newestAt > now - limits.staleVersionTimeoutMs()) {
      current.ignored = current.behind;
      current.ignoredSaid = current.behindSaid;
      touched.addAll(current.doubted);
      current.doubted.clear();
      current.doubtSince = Double.NaN;
      askAnew = true;
      disputed();
    } else {
      check(now + limits.staleVersionTimeoutMs(), null);
    }
  }

  private void disputed() {
    notes.add(
        "disputed: at "
            + current.name
            + " version "
            + current.behind
            + " is told after "
            + current.seq
            + "; the whole list is asked anew");
  }

  /** Whether what this version said last was found to be of no account. */
  boolean isIgnored(long seq) {
    return seq == current.ignored;
  }

  private boolean answers(Host h) {
    return now - h.answeredAt < limits.livenessWindowMs();
  }

  /** What is to be shown of a server now; null where it is gone. */
  private DiscoveredEndpoint verdict(String id, Host h) {
    DiscoveredEndpoint e = current.entries.get(id);
    boolean fromLeft = false;
    if (e == null
        && !current.confirmed) { // a move whose new place has not told: the last one counts
      for (int i = left.size() - 1; i >= 0 && e == null && !fromLeft; i--) {
        if (left.get(i).usable) {
          e = left.get(i).entries.get(id);
          fromLeft = true;
        }
      }
      if (e != null && e.info().state() == EndpointState.REMOVED) {
        e = null;
      }
    }
    if (e == null) {
      if (h.heldUntil > now && answers(h) && !h.dead && !against(id, h.kept)) {
        check(Math.min(h.heldUntil, h.answeredAt + limits.livenessWindowMs()), id);
        holding.add(id);
        return h.kept;
      }
      h.heldUntil = Double.NEGATIVE_INFINITY;
      holding.remove(id);
      return null;
    }
    h.heldUntil = Double.NEGATIVE_INFINITY;
    holding.remove(id);
    boolean down =
        e.info().state() != EndpointState.UP
            || h.dead
            || current.doubted.contains(id)
            || against(id, e);
    return down ? e.withState(EndpointState.DRAINING, e.info().startedAtMs()) : e;
  }

  /**
   * Whether a space that was left speaks against it, and its word is not overtaken by a later
   * start.
   */
  private boolean against(String id, DiscoveredEndpoint e) {
    for (Space s : left) {
      DiscoveredEndpoint old = s.entries.get(id);
      if (old == null && s.gone.containsKey(id) && e.info().startedAtMs() <= s.gone.get(id)) {
        return true;
      }
      if (old != null
          && old.info().state() != EndpointState.UP
          && e.info().startedAtMs() <= Math.max(old.info().startedAtMs(), s.toldAt.get(id))) {
        return true;
      }
    }
    return false;
  }

  private MembershipUpdate end() {
    List<DiscoveredEndpoint> changed = new ArrayList<>();
    for (String id : touched.toArray(new String[0])) {
      Host h = hosts.get(id);
      if (h != null) {
        judge(id, h, changed);
      }
    }
    touched.clear();
    if (changed.isEmpty() && notes.isEmpty() && !askAnew) {
      return MembershipUpdate.NONE;
    }
    boolean whole = !endpointsReceived && !changed.isEmpty();
    endpointsReceived |= whole;
    MembershipUpdate all = new MembershipUpdate(changed, whole, List.copyOf(notes), askAnew);
    notes.clear();
    askAnew = false;
    return all;
  }

  private void judge(String id, Host h, List<DiscoveredEndpoint> changed) {
    DiscoveredEndpoint e = verdict(id, h);
    boolean wasUp = h.shown != null && h.shown.info().state() == EndpointState.UP;
    boolean isUp = e != null && e.info().state() == EndpointState.UP;
    if (isUp && !wasUp && h.downAt > Double.NEGATIVE_INFINITY) { // it comes back: not at once
      if (h.upAt == Double.NEGATIVE_INFINITY) {
        h.upAt =
            now
                + Math.min(
                    limits.maxRecoveryDelayMs(), limits.recoveryDelayMs() * Math.pow(2, h.falls));
        check(h.upAt, id);
      }
      if (now < h.upAt) {
        isUp = false;
        e = e.withState(EndpointState.DRAINING, e.info().startedAtMs());
      }
    } else if (!isUp) {
      h.upAt = Double.NEGATIVE_INFINITY;
    }
    if (wasUp && !isUp) {
      h.falls = now - h.downAt < limits.flapWindowMs() ? Math.min(h.falls + 1, 16) : 0;
      h.downAt = now;
      h.upAt = Double.NEGATIVE_INFINITY;
      check(now + limits.flapWindowMs(), id); // when it is forgotten, if it has left
    }
    up += (isUp ? 1 : 0) - (wasUp ? 1 : 0);
    if (e == null) {
      if (h.shown != null) {
        changed.add(h.shown.withState(EndpointState.REMOVED, h.shown.info().startedAtMs()));
        h.shown = null;
        h.goneAt = now;
      }
      h.dead = false;
      h.refused = 0;
      h.timedOut = 0;
      dead.remove(id);
      double since = Double.isNaN(h.goneAt) ? h.downAt : Math.max(h.downAt, h.goneAt);
      if (now - since >= limits.flapWindowMs()) {
        hosts.remove(id);
      } else {
        check(since + limits.flapWindowMs(), id);
      }
      return;
    }
    h.goneAt = Double.NaN;
    h.disputed = false;
    if (!e.equals(h.shown)) {
      changed.add(e);
      h.shown = e;
    }
  }
}
