package edgenode.policy;

import edgenode.policy.subset.Subset;
import java.nio.charset.StandardCharsets;
import java.util.*;

/**
 * Every decision of one gateway. The same events give the same actions; all chance comes from one
 * seed.
 */
public final class PolicyEngine implements PolicyEvents {
  /** The design re-splits four times a second. */
  private static final double SUBPERIOD = 250;

  /**
   * A running total has a new name this often (ms), and lives twice as long: 60 s at most are kept.
   */
  private static final double ACCOUNT = 120 * SUBPERIOD;

  /**
   * An EWMA over about the last ten samples follows a server within a second of ordinary traffic.
   */
  private static final double FAST = 0.2;

  /** Class means move slowly: servers are judged by them. */
  private static final double SLOW = 0.03;

  /** What is believed of a server's slowness halves in about this time (ms) without new samples. */
  private static final double FORGET = 4000;

  /**
   * First ejection (ms): longer than a blip, short against the time that a client waits; then
   * doubled.
   */
  private static final double EJECT = 500;

  private static final int EJECT_DOUBLINGS = 4;

  /**
   * An answer beyond a quarter of its aim takes a tenth off the bound: some are long by themselves.
   */
  private static final double LIMIT_DOWN = 0.9;

  /**
   * Least step of the pace an answer; a late one takes three, so that it falls when a quarter are
   * late.
   */
  private static final double PACE_STEP = 0.03;

  /** No pace at all: where answers are in time, what comes all at once goes all at once. */
  private static final double UNPACED = Double.POSITIVE_INFINITY;

  /** The least bound: an attempt in eight half aims still shows soon when a server does better. */
  private static final double LIMIT_LEAST = 1.0 / 8;

  /**
   * A server that may hold no connection of ours counts as if half a request more were out there.
   */
  private static final double HANDSHAKE = 1.5;

  /**
   * A host lets an idle connection go after this part of the server's time, before the two can
   * cross.
   */
  private static final double KEPT = 0.4;

  /**
   * With less than this many mean times left an answer is too often late to spend a server on it.
   */
  private static final double LAST_CALL = 2;

  /**
   * Calls of all gateways for an edge, at first: one a millisecond; then by what is turned away.
   */
  private static final double CALLS = SUBPERIOD;

  /**
   * Edges' worth of calls that may be saved up; a start has them too: with one it sends by belief
   * and too much.
   */
  private static final double SAVED = 4;

  /**
   * A part of the rate falls due by so many units later: what is sent a moment early is beyond the
   * quota.
   */
  private static final double DUE_LATE = 0.1;

  /**
   * A call answered after more than this part of its time-out stood in a line that is about to be
   * too long.
   */
  private static final double CROWDED = 0.5;

  /**
   * Servers are pressed where the pace is under this part of what is asked: the rest is beyond
   * quotas anyway.
   */
  private static final double PRESSED = 0.5;

  /**
   * Each edge that fails no call adds so much to the growth of calls: what failed long ago tells
   * little.
   */
  private static final double REGAIN = 0.01;

  /**
   * Belief leaves at most this part of the store for what others have sent unseen since the last
   * reading.
   */
  private static final double UNSEEN = 0.25;

  /**
   * A claim is worth its call once so many times this gateway's part of the rate since the last
   * covers it.
   */
  private static final double PARTS = 4;

  /**
   * An add for a thin store stands for what was sent and never told (Horvitz, Thompson 1952), at
   * most for this.
   */
  private static final double STANDS_FOR = 2.5;

  /** So many calls in a row unanswered are not chance but a counter that is away. */
  private static final int MISSES = 8;

  /** Open counts get a new name this often (ms): what a killed node held is forgotten by then. */
  private static final double OPEN_EPOCH = 16 * SUBPERIOD;

  /** A retry that finds no server looks again after this (ms): a few of the shortest ticks. */
  private static final double LOOK_AGAIN = 25;

  /**
   * Servers drawn from a subset for a look (97%: one of the best tenth); the last sent to, which
   * are connected.
   */
  private static final int DRAWN = 32, NEAR = 16;

  /**
   * Mates brought in for a repeat that may go to its group only: each attempt of it finds another
   * one.
   */
  private static final int MATES = 8;

  /**
   * A subset doubles where less than the one part of its even size can be used, and narrows from
   * the other on.
   */
  private static final double SHORT = 5.0 / 8, ENOUGH = 7.0 / 8;

  /**
   * Where under a sixteenth can be used, or all in a fourfold subset are full, more servers are no
   * help.
   */
  private static final double SHORT_MOST = 16, FULL_MOST = 4;

  /** A widened subset halves in 11 s of edges: longer than most troubles that widen one. */
  private static final double NARROW = 1.0 / 64;

  // ---- state ----

  private final PolicySettings set;
  private final PolicyActions act;
  private final Random random;
  private double now;
  private long serial, edges;
  private final Map<String, Type> types = new HashMap<>();
  private final Map<String, QuotaPlan> plans = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final ArrayDeque<Customer> ring = new ArrayDeque<>();
  private final Map<Long, Req> requests = new HashMap<>();
  private final Map<String, Host> hosts =
      new TreeMap<>(); // of the subset, and where attempts are out
  private final Subset<EndpointInfo> subset;
  private final Set<Host> leaving = new LinkedHashSet<>();
  private final Host[] near = new Host[NEAR];
  private List<Host> view = List.of(); // the hosts of the subset, by id
  private final Map<Long, ArrayDeque<Call>> calls = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.<Timer>comparingDouble(t -> t.at).thenComparingLong(t -> t.serial));
  private double armed = Double.MAX_VALUE, warmRate, meanAim, longestAim, sentInPeriod;
  private double counterSilentUntil, usuallyInside = 1, silentSince;
  private int misses, up, answeredEdges, nearAt;
  private double paceRate,
      paceCredit,
      pacedAt,
      paceWake,
      askRate,
      askedInPeriod,
      width = 1,
      thinSent,
      thinTold;
  private final Set<Customer> active = new LinkedHashSet<>();
  private double callLimit,
      callsLeft,
      callsMost,
      counterBackoff = SUBPERIOD,
      subscribeBackoff = 4 * SUBPERIOD;
  private boolean callsFailed, full;

  /** A class with the mean time that its answers take. */
  private static final class Type {
    final RequestClass told;
    double mean;

    Type(RequestClass told) {
      this.told = told;
      mean =
          told.latencyObjectiveMs()
              / 8; // until seen: an aim leaves room for a queue, a retry and the way
    }
  }

  private static final class Customer {
    final String name;
    final long key;
    final QuotaPlan plan;
    final int spread;
    final TreeSet<Req> queue =
        new TreeSet<>(
            Comparator.<Req>comparingDouble(r -> r.useful).thenComparingLong(r -> r.serial));
    final ArrayDeque<Long> slots = new ArrayDeque<>();
    final ArrayDeque<double[]> due =
        new ArrayDeque<>(); // when, units: parts that the rate fills later
    double share,
        credits,
        accruedAt,
        dueUnits,
        held,
        arrived,
        usual,
        level,
        levelAt,
        guess,
        guessAt,
        lastTotal;
    double claimed, added, uncounted, fixed, inside, ceiling, ceilingAt, askAt, shortUntil, seen;
    long askEpoch, slotEpoch, totalEpoch;
    int out;
    boolean asking, inRing, read, unheard;

    Customer(String name, QuotaPlan plan, int spread, double now) {
      this.name = name;
      this.plan = plan;
      this.spread = Math.max(1, spread);
      key = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
      seen = ceilingAt = levelAt = guessAt = accruedAt = now;
      level = guess = plan.burstUnits();
      share = 1.0 / this.spread;
    }
  }

  private static final class Req {
    final IncomingRequest told;
    final Type type;
    final Customer customer;
    final double deadline, useful;
    final long serial;
    final List<Attempt> attempts = new ArrayList<>();
    boolean over, streaming;
    int out;

    Req(IncomingRequest told, Type type, Customer customer, double now, long serial) {
      this.told = told;
      this.type = type;
      this.customer = customer;
      this.serial = serial;
      deadline = now + told.remainingMs();
      useful = Math.min(now + type.told.latencyObjectiveMs(), deadline);
    }
  }

  private static final class Attempt {
    final Req req;
    final Host host;
    final double sent;
    CallOutcome outcome;

    Attempt(Req req, Host host, double sent) {
      this.req = req;
      this.host = host;
      this.sent = sent;
    }

    boolean mayHaveRun() {
      return outcome == null || !outcome.provesNothingRan;
    }
  }

  private static final class Host {
    final String id;
    EndpointInfo told;
    final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
    double slow = 1, slowAt, limit = 4; // at first about two for each core of a small machine
    double lastSent, fails, ejectedUntil, ejections, keptUntil = Double.NEGATIVE_INFINITY;
    boolean listed = true, trial, wasDead, left;
    double coldFrom = Double.NEGATIVE_INFINITY, coldCredit, coldAt;
    final Map<Type, double[]> failing = new HashMap<>(); // share that fails, when

    Host(String id) {
      this.id = id;
    }
  }

  private enum Why {
    CLAIM,
    FIX,
    GIVE,
    TAKE_SLOT,
    GIVE_SLOT
  }

  private record Call(Customer customer, Why why, double amount) {}

  private enum Kind {
    EDGE,
    EXPIRE,
    DEADLINE,
    LATE,
    RETRY,
    SUBSCRIBE
  }

  private record Timer(double at, long serial, Kind kind, Req req) {}

  public PolicyEngine(PolicySettings settings, long seed, double now, PolicyActions actions) {
    this(settings, seed, now, actions, Subset.SERVERS);
  }

  /**
   * @param servers how many of a longer list a node holds on average at least
   */
  public PolicyEngine(
      PolicySettings settings, long seed, double now, PolicyActions actions, int servers) {
    set = settings;
    subset = new Subset<>(settings.nodeIndex(), settings.nodeCount(), servers);
    act = actions;
    random = new Random(seed);
    this.now = now;
    for (RequestClass c : settings.requestClasses()) {
      types.put(c.name(), new Type(c));
      longestAim = Math.max(longestAim, c.latencyObjectiveMs());
      meanAim += c.latencyObjectiveMs() / settings.requestClasses().size();
    }
    for (QuotaPlan p : settings.plans()) {
      plans.put(p.name(), p);
    }
    callLimit = Math.max(1, CALLS / settings.nodeCount());
    callsLeft = SAVED * callLimit;
    at(Kind.EDGE, nextEdge(), null);
    if (settings.mustPollDiscovery()) {
      act.subscribe();
    }
  }

  // ---- events ----

  @Override
  public void endpointsChanged(double time, List<EndpointInfo> list, boolean whole) {
    begin(time);
    if (whole) {
      subset.retain(new HashSet<>(list.stream().map(EndpointInfo::id).toList()));
    }
    for (EndpointInfo l : list) {
      if (l.state() == EndpointState.REMOVED) {
        subset.remove(l.id());
      } else {
        subset.put(l.id(), l.state() == EndpointState.UP, l, groups(l));
      }
    }
    move(list);
    up = subset.up();
    if (edges < 4 && up > 0) { // at first two out at each server, of all gateways together
      paceRate = Math.max(paceRate, 2000.0 * up / set.nodeCount() / (meanAim / 8));
      paceCredit = Math.max(2, paceRate * SUBPERIOD / 1000);
    }
    pump();
  }

  /**
   * What enters the subset is brought in; what leaves is forgotten once nothing is out there: ids
   * are ever new.
   */
  private void move(List<EndpointInfo> list) {
    Subset.Moves<EndpointInfo> moves = subset.settle();
    for (String id : moves.left()) {
      hosts.get(id).left = true;
      leaving.add(hosts.get(id));
    }
    list.stream().filter(l -> subset.whole() || hosts.containsKey(l.id())).forEach(this::told);
    moves.entered().forEach(this::told);
    leaving.forEach(h -> h.listed &= !h.left);
    leaving.removeIf(h -> !h.left || h.out.isEmpty() && hosts.remove(h.id, h));
    view = hosts.values().stream().filter(h -> !h.left).toList();
  }

  private void told(EndpointInfo s) {
    Host h = hosts.computeIfAbsent(s.id(), Host::new);
    h.left = !subset.holds(s.id());
    h.listed = !h.left && s.state() == EndpointState.UP;
    if (h.left) {
      leaving.add(h);
    }
    boolean restarted = h.told != null && s.startedAtMs() > h.told.startedAtMs();
    h.told = s;
    if (s.startedAtMs() > 0 && s.startedAtMs() + set.rules().warmUpMs() > now) {
      cold(h, s.startedAtMs());
    }
    if (restarted) {
      h.fails = h.ejectedUntil = h.ejections = 0;
      h.slow = 1;
      h.failing.clear();
    }
  }

  /** Wider at once where little of the subset can be used or had room, narrower slowly. */
  private void adapt() {
    if (subset.whole()) {
      return;
    }
    double usable =
        view.stream()
            .filter(h -> h.listed && now >= h.ejectedUntil)
            .mapToDouble(this::warmth)
            .sum();
    if (usable < SHORT * subset.even()) {
      width = Math.min(SHORT_MOST, 2 * width);
    } else if (full) {
      width = Math.max(width, Math.min(FULL_MOST, 2 * width));
    } else if (usable > ENOUGH * subset.even()) {
      width = Math.max(1, width * (1 - NARROW));
    }
    full = false;
    subset.width(width);
    move(List.of());
  }

  @Override
  public void discoveryFailed(double time) {
    begin(time);
    if (set.mustPollDiscovery()) {
      at(Kind.SUBSCRIBE, now + subscribeBackoff * (0.5 + random.nextDouble()), null);
      // a call that is given up has taken 2 s; half as much again as this and the next call are to
      // end within 6 s
      subscribeBackoff = Math.min(2 * subscribeBackoff, 8 * SUBPERIOD);
    }
  }

  @Override
  public void requestArrived(double time, IncomingRequest told) {
    begin(time);
    Type type = types.get(told.className());
    QuotaPlan plan = plans.get(told.planName());
    if (type == null || plan == null) {
      act.reject(
          told.id(), 0); // nothing is told of such a class or plan: no quota can be kept for it
      return;
    }
    Customer c = customers.get(told.customerName());
    if (c == null) {
      c = new Customer(told.customerName(), plan, told.nodeSpread(), now);
      c.credits = alone(c) ? Math.floor(plan.burstUnits() / c.spread) : 0;
      c.inside = usuallyInside;
      customers.put(told.customerName(), c);
    }
    c.seen = now;
    c.arrived += told.units();
    askedInPeriod++;
    Req r = new Req(told, type, c, now, serial++);
    requests.put(told.id(), r);
    if (told.isClientRetry() && now < c.shortUntil) {
      answer(r); // its first try waited here until it was of no use: a fresh request earns more
      return;
    }
    c.queue.add(r);
    c.held += told.units();
    active.add(c);
    if (!c.inRing) {
      c.inRing = true;
      ring.add(c);
    }
    pump();
    if (c.queue.contains(r)) {
      // a crowded class's mean may leave no wait at all: the counter's answer is waited for, in
      // time
      double heard = now + (alone(c) ? 0 : set.capabilities().counterTimeoutMs());
      double last = Math.max(lastCall(r), Math.min(heard, r.deadline - 2 * set.tickMs()));
      at(Kind.EXPIRE, Math.max(now + set.tickMs(), last), r);
    }
  }

  @Override
  public void responseStarted(double time, long id, int attempt) {
    begin(time);
    Req r = requests.get(id);
    if (r != null) {
      r.streaming = true;
    }
  }

  @Override
  public void attemptEnded(
      double time,
      long id,
      int number,
      CallOutcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {
    begin(time);
    Req r = requests.get(id);
    if (r == null
        || number < 0
        || number >= r.attempts.size()
        || r.attempts.get(number).outcome != null) {
      return;
    }
    Attempt a = r.attempts.get(number);
    a.outcome = outcome;
    r.out--;
    r.customer.out--;
    a.host.out.remove(a);
    learn(a.host, r.type, outcome, took);
    if (outcome == CallOutcome.OK && trueUnits > 0 && set.settlesUnits()) {
      r.customer.uncounted += trueUnits - r.told.units();
    }
    if (over || r.over) {
      end(r);
    } else if (r.out == 0) {
      again(r);
    }
    pump();
    giveBack(r.customer);
  }

  @Override
  public void clientDisconnected(double time, long id) {
    begin(time);
    Req r = requests.get(id);
    if (r != null) {
      end(r);
    }
  }

  @Override
  public void timerFired(double time, long token) {
    boolean last = time >= armed - 1e-3; // an older reminder leaves the one still to come alone
    begin(time);
    pump();
    if (last) {
      armed = timers.peek().at;
      act.setTimer(Math.max(0, armed - now), 0);
    }
  }

  @Override
  public void healthCheckEnded(
      double time, String server, CallOutcome outcome, double took, double[] load) {
    begin(time);
  }

  @Override
  public void counterCallEnded(
      double time, long name, CallOutcome outcome, double took, double total) {
    begin(time);
    ArrayDeque<Call> queue = calls.get(name);
    if (queue == null) {
      return;
    }
    boolean overdue = outcome == CallOutcome.OVERDUE;
    Call call = overdue ? queue.peek() : queue.poll();
    if (queue.isEmpty()) {
      calls.remove(name);
    }
    Customer c = call.customer;
    boolean heard = outcome == CallOutcome.OK;
    // a connection that broke was up a moment ago: no sign that the counter is away
    boolean alive = outcome == CallOutcome.RESET || outcome == CallOutcome.ERROR;
    misses = heard ? 0 : alive ? misses : misses + 1;
    // crowded, also where the wait was nearly too long; a connection that breaks tells nothing of
    // that
    double crowded = CROWDED * set.capabilities().counterTimeoutMs();
    callsFailed |=
        outcome == CallOutcome.FULL
            || outcome == CallOutcome.TIMEOUT
            || overdue
            || heard && took > crowded && took <= set.capabilities().counterTimeoutMs();
    if (heard) {
      counterBackoff = SUBPERIOD;
    } else if (misses >= MISSES && now >= counterSilentUntil) {
      silentSince = counterBackoff == SUBPERIOD ? now : silentSince;
      counterSilentUntil = now + counterBackoff;
      counterBackoff = Math.min(2 * counterBackoff, 8 * SUBPERIOD);
    }
    if (overdue) {
      c.unheard |= c.asking; // its requests wait no longer; the answer is taken when it comes
      c.askAt = nextEdge();
    } else {
      callEnded(call, outcome, total);
    }
    pump();
    giveBack(c);
  }

  private void callEnded(Call call, CallOutcome outcome, double total) {
    Customer c = call.customer;
    switch (call.why) {
      case CLAIM -> claimHeard(c, outcome, total);
      case GIVE -> c.uncounted += lost(outcome) ? call.amount : 0; // below 0: still to be taken off
      case FIX -> fixHeard(c, outcome == CallOutcome.OK, total);
      case TAKE_SLOT -> slotHeard(c, outcome == CallOutcome.OK, total);
      default -> {}
    }
  }

  @Override
  public int ejectedCount(double time) {
    return (int) view.stream().filter(h -> h.listed && time < h.ejectedUntil).count();
  }

  // ---- quota: credits, weights, re-split ----

  /**
   * The next edge here: gateways spread theirs over the subperiod, or the counter gets all at once.
   */
  private double nextEdge() {
    double phase = SUBPERIOD * set.nodeIndex() / set.nodeCount();
    double next = (Math.floor((now - phase) / SUBPERIOD) + 1) * SUBPERIOD + phase;
    return next > now
        ? next
        : next + SUBPERIOD; // by rounding it may be this very instant: that would never end
  }

  private boolean alone(Customer c) {
    return !set.capabilities().hasCounter() || c.spread == 1;
  }

  /**
   * Less than half a unit of the store for each gateway: what one has put on too much is soon made
   * up for.
   */
  private static boolean thin(Customer c) {
    return c.plan.burstUnits() < c.spread / 2.0;
  }

  private boolean mayCall() {
    return now >= counterSilentUntil && callsLeft >= 1;
  }

  private void onEdge() {
    at(Kind.EDGE, nextEdge(), null);
    adapt();
    long warm = view.stream().filter(h -> h.listed && warmth(h) >= 1).count();
    warmRate += warm > 0 ? (sentInPeriod * 1000 / SUBPERIOD / warm - warmRate) * FAST : 0;
    sentInPeriod = 0;
    thinSent *= 1 - SLOW;
    thinTold *= 1 - SLOW;
    askRate += (askedInPeriod * 1000 / SUBPERIOD - askRate) * Math.max(FAST, 1.0 / ++edges);
    askedInPeriod = 0;
    if (callsFailed) {
      callsMost =
          callLimit < callsMost ? 0.9 * callLimit : callLimit; // RFC 9438 4.7, fast convergence
      callLimit =
          Math.max(CALLS / set.nodeCount() / 16, callLimit * 0.8); // as TCP: under what failed,
      answeredEdges = 0;
    } else if (callsLeft
        < (SAVED - 1) * callLimit) { // soon near it again, then past it, slowly at first
      answeredEdges++;
      callLimit *= callLimit < 0.8 * callsMost ? 1.1 : Math.min(1.1, 1 + REGAIN * answeredEdges);
    }
    callsFailed = false;
    callsLeft = Math.min(SAVED * callLimit, Math.min(callsLeft, SAVED * callLimit) + callLimit);
    for (Iterator<Customer> it = active.iterator(); it.hasNext(); ) {
      Customer c = it.next();
      c.usual += (c.arrived - c.usual) * FAST;
      c.arrived = 0;
      accrue(c);
      double ahead = Math.floor(c.usual) + c.held - c.credits - c.dueUnits;
      if (ahead >= 1 && c.usual >= 1 && c.inside > 0.5) {
        claim(c, ahead);
      } else if (ahead <= -1 && !c.asking && mayCall() && !alone(c) && c.plan.ratePerSecond() > 0) {
        double back = Math.min(Math.floor(-ahead), Math.floor(c.credits));
        c.credits -= back;
        call(c, name(c, epoch()), -back, Why.GIVE);
      }
      if (c.queue.isEmpty() && c.out == 0 && !c.asking && c.slots.isEmpty() && c.usual < 0.1) {
        it.remove();
      }
    }
    if (edges % 64 == 0) { // state of idle customers goes when their stores must be full
      customers.values().removeIf(c -> !active.contains(c) && !c.inRing && now - c.seen > ACCOUNT);
    }
  }

  private long epoch() {
    return (long) Math.floor(now / ACCOUNT);
  }

  private void call(Customer c, long name, double amount, Why why) {
    callsLeft--;
    calls.computeIfAbsent(name, k -> new ArrayDeque<>()).add(new Call(c, why, amount));
    act.addToCounter(
        name, amount, why.ordinal() < Why.TAKE_SLOT.ordinal() ? 2 * ACCOUNT : 2 * OPEN_EPOCH);
  }

  /** A name on the counter, of a customer and an epoch. */
  private static long name(Customer c, long epoch) {
    return Subset.mix(c.key + 2 * epoch) >>> 1;
  }

  private static long slotName(Customer c, long epoch) {
    return Subset.mix(c.key + 2 * epoch + 1) >>> 1;
  }

  /**
   * The re-split: adds the weight W of what is held and not covered yet, and of the last period's
   * arrivals. The running total tells what all have put before it; the part is what the quota
   * covers at this place.
   */
  private void claim(Customer c, double weight) {
    if (c.asking || alone(c) || c.plan.ratePerSecond() <= 0 || now < c.askAt || !mayCall()) {
      return;
    }
    c.asking = true;
    c.unheard = false;
    c.claimed = weight;
    thinTold += thin(c) ? weight : 0;
    c.added =
        c.uncounted
            + weight * (thin(c) ? Math.max(1, Math.min(STANDS_FOR, thinSent / thinTold)) : 1);
    c.uncounted = 0;
    c.askEpoch = epoch();
    call(c, name(c, c.askEpoch), c.added, Why.CLAIM);
  }

  /**
   * Most calls on a connection that breaks were not added: taken as added, a tenth went beyond
   * quotas.
   */
  private static boolean lost(CallOutcome outcome) {
    return outcome.provesNothingRan || outcome == CallOutcome.RESET;
  }

  /** What the quota has filled under the name of an epoch: a burst and the rate since. */
  private double filled(Customer c, long epoch) {
    return c.plan.burstUnits() + c.plan.ratePerSecond() * (now - epoch * ACCOUNT) / 1000;
  }

  private void claimHeard(Customer c, CallOutcome outcome, double total) {
    c.asking = false;
    if (outcome != CallOutcome.OK) {
      // a late call is added all the same, as a crowded counter serves those too; the next add
      // makes up
      c.uncounted += lost(outcome) ? c.added - c.claimed : -c.claimed;
      c.askAt = nextEdge();
      c.unheard = true;
      return;
    }
    double rate = c.plan.ratePerSecond() / 1000;
    double before = filled(c, c.askEpoch) - (total - c.added);
    // no store holds more than a burst, nor more than was last read of it and what has come since
    double known = Math.min(c.plan.burstUnits(), Math.max(0, c.level) + rate * (now - c.levelAt));
    double excess = before - Math.max(-rate * longestAim, Math.min(before, known));
    boolean far = Math.abs(excess) > c.plan.burstUnits() / 2;
    if (far) { // idle time, a new or lost name, lost calls: put right
      c.fixed = excess;
      call(c, name(c, c.askEpoch), excess, Why.FIX);
    }
    before -= (far ? excess : Math.max(0, excess)) + c.added - c.claimed;
    // late, and some of what it was for has been refused since
    double wanted = c.unheard ? Math.min(c.claimed, c.held + Math.max(0, c.uncounted)) : c.claimed;
    double wait = c.queue.isEmpty() ? 0 : Math.max(0, lastCall(c.queue.last()) - now);
    double part = Math.floor(Math.max(0, Math.min(wanted, before + rate * wait)) + 1e-6);
    double ready = Math.floor(Math.max(0, Math.min(part, before)) + 1e-6);
    double sent =
        Math.min(ready, Math.max(0, c.uncounted)); // by belief, while this call was overdue
    c.uncounted -= sent;
    c.credits += ready - sent;
    for (double k = ready + 1; k <= part; k++) {
      double due = now + (k - before + DUE_LATE) / rate;
      c.due.add(new double[] {due, 1});
      c.dueUnits++;
      at(Kind.RETRY, due, null);
    }
    c.level = c.guess = before - part;
    c.read = true;
    if (c.totalEpoch == c.askEpoch && c.added > 0) { // W over the sum of W since our last reading
      c.share += (c.added / Math.max(c.added, total - c.lastTotal) - c.share) * FAST;
      c.share = Math.max(c.share, 0.1 / c.spread);
    }
    c.totalEpoch = c.askEpoch;
    c.lastTotal = total + part - c.claimed + (far ? excess : 0);
    c.levelAt = c.guessAt = now;
    double inside = wanted > 0 ? part / wanted : c.inside;
    c.inside += (inside - c.inside) / 2; // few readings, and the last tells most
    usuallyInside += (inside - usuallyInside) * SLOW;
    if (part < c.claimed) {
      c.askAt = nextEdge();
      if ((callsLeft < callLimit || c.unheard)
          && thin(c)) { // calls are scarce: it goes with the next add
        c.uncounted += part - c.claimed;
      } else {
        call(c, name(c, c.askEpoch), part - c.claimed, Why.GIVE);
      }
    }
    c.unheard = false;
  }

  /**
   * Two gateways may put the same excess right: the later one sees it twice gone and takes its
   * back.
   */
  private void fixHeard(Customer c, boolean heard, double total) {
    if (heard
        && c.fixed > 0
        && filled(c, c.askEpoch) - total < Math.max(0, c.level) - c.fixed / 2) {
      call(c, name(c, c.askEpoch), -c.fixed, Why.GIVE);
    }
  }

  /** Parts fall due; while the counter is away the share of the rate comes as last known. */
  private void accrue(Customer c) {
    while (!c.due.isEmpty() && c.due.peek()[0] <= now + 1e-6) {
      c.credits += c.due.peek()[1];
      c.dueUnits -= c.due.poll()[1];
    }
    if (alone(c) || now < counterSilentUntil) {
      double from = Math.max(c.accruedAt, alone(c) ? 0 : silentSince);
      double room = Math.max(set.maxRequestUnits(), c.plan.burstUnits() * c.share);
      c.share += (1.0 / c.spread - c.share) * SLOW * Math.min(1, (now - from) / SUBPERIOD);
      c.credits =
          Math.max(
              c.credits,
              Math.min(room, c.credits + c.plan.ratePerSecond() * c.share * (now - from) / 1000));
    }
    c.accruedAt = now;
  }

  /** A slot of the open cap: by the count on the counter, by the even part while it is silent. */
  private boolean slot(Customer c) {
    if (c.plan.maxOpenRequests() <= 0 || c.out < c.slots.size()) {
      return true;
    }
    if (alone(c) || !mayCall()) {
      // the even part; where that is under one, one at a time while the last counts showed room
      return c.out < c.plan.maxOpenRequests() / c.spread || c.out == 0 && believed(c);
    }
    if (!c.asking && now >= c.askAt) {
      c.asking = true;
      c.slotEpoch = (long) Math.floor(now / OPEN_EPOCH);
      call(c, slotName(c, c.slotEpoch), 1, Why.TAKE_SLOT);
    }
    return false;
  }

  /** The answer to a try for a slot: within the cap it is ours, else given back and tried again. */
  private void slotHeard(Customer c, boolean heard, double total) {
    c.asking = false;
    c.inside += heard ? ((total <= c.plan.maxOpenRequests() ? 1 : 0) - c.inside) / 2 : 0;
    if (heard && total <= c.plan.maxOpenRequests()) {
      c.slots.add(c.slotEpoch);
    } else if (heard) {
      call(c, slotName(c, c.slotEpoch), -1, Why.GIVE_SLOT);
      c.askAt = now + LOOK_AGAIN;
      at(Kind.RETRY, c.askAt, null);
    }
  }

  private void giveBack(Customer c) {
    while (c.slots.size() > c.out && c.queue.isEmpty()) {
      call(c, slotName(c, c.slots.poll()), -1, Why.GIVE_SLOT);
    }
  }

  /** From here on a held request is of no use. */
  private double lastCall(Req r) {
    return Math.min(r.useful - LAST_CALL * r.type.mean, r.deadline - 2 * set.tickMs());
  }

  private boolean covered(Customer c, Req r) {
    accrue(c);
    if (c.plan.ratePerSecond() > 0 && c.credits < r.told.units() && !onBelief(c, r)) {
      double weight = Math.ceil(c.held - c.credits - c.dueUnits - 1e-6);
      // no use to add where the last reading leaves nothing in time; most of what has come since is
      // others'
      double part = Math.min(1, PARTS * Math.max(c.share, 1.0 / c.spread));
      double known = c.level + c.plan.ratePerSecond() / 1000 * (lastCall(r) - c.levelAt) * part;
      if (weight > 0 && known >= r.told.units()) {
        claim(c, weight);
      }
      return false;
    }
    return underCeiling(c, r) && slot(c);
  }

  /**
   * With no call to spare, or none answered, a request goes by belief, where being right earns
   * more: by the store as last read, less what was sent here since, times what all send for one of
   * ours; and by what was covered then.
   */
  private boolean onBelief(Customer c, Req r) {
    boolean unheard = c.unheard && now < c.askAt;
    return !alone(c)
        && (!c.asking || unheard)
        && (unheard || !mayCall() || spares(c))
        && c.plan.ceilingRatePerSecond() <= 0
        && !r.told.isClientRetry()
        && believed(c)
        && guess(c)
            >= r.told.units()
                + Math.min(
                    UNSEEN * c.plan.burstUnits(),
                    c.plan.ratePerSecond() / 1000 * (now - c.levelAt));
  }

  /**
   * The last calls of an edge are left to customers whose stores may be short; a full one is told
   * of later.
   */
  private boolean spares(Customer c) {
    return c.read && callsLeft < callLimit * guess(c) / c.plan.burstUnits();
  }

  /** Sending earns more than it costs, by what the plan tells, and servers are not pressed. */
  private boolean believed(Customer c) {
    double cost = c.plan.overQuotaCost();
    return paceRate >= PRESSED * askRate
        && c.inside > cost / (1 + cost - Math.min(c.plan.overQuotaWeight(), 0.99));
  }

  private double guess(Customer c) {
    return Math.min(
        c.plan.burstUnits(), c.guess + c.plan.ratePerSecond() / 1000 * (now - c.guessAt));
  }

  // ---- dispatch ----

  /**
   * Serves the customers in turn, the earliest useful request of each first, while servers have
   * room.
   */
  private void pump() {
    int blocked = 0;
    while (blocked < ring.size()) {
      Customer c = ring.poll();
      if (c.queue.isEmpty()) {
        c.inRing = false;
        continue;
      }
      ring.add(c);
      Req r = c.queue.first();
      if (!covered(c, r)) {
        blocked++;
        continue;
      }
      Host h = paced() ? choose(r) : null;
      if (h == null) {
        return;
      }
      dequeue(r);
      thinSent += thin(c) ? r.told.units() : 0;
      c.credits -= c.plan.ratePerSecond() > 0 ? r.told.units() : 0;
      c.ceiling -= r.told.units();
      if (c.credits < 0 || now < counterSilentUntil) { // told with the next add
        c.guess = guess(c) - r.told.units() / c.share;
        c.guessAt = now;
        c.uncounted += c.credits < 0 ? -c.credits : r.told.units();
        c.credits = Math.max(0, c.credits);
      }
      at(Kind.DEADLINE, r.deadline, r);
      send(r, h);
      blocked = 0;
    }
  }

  /**
   * All servers late alike: this gateway slows down, as a bound at each server sees too few
   * answers.
   */
  private boolean paced() {
    if (paceRate == UNPACED) {
      return true;
    }
    double most = Math.max(2, paceRate * SUBPERIOD / 1000);
    paceCredit = Math.min(most, paceCredit + paceRate * (now - pacedAt) / 1000);
    pacedAt = now;
    if (paceCredit < 1 && now >= paceWake) {
      paceWake = now + Math.max(set.tickMs(), (1 - paceCredit) / paceRate * 1000);
      at(Kind.RETRY, paceWake, null);
    }
    return paceCredit >= 1; // one and another's retry may always be out
  }

  /** A gateway with few answers takes larger steps, so that all are as quick down and up again. */
  private void pace(boolean late) {
    double step = Math.max(PACE_STEP, Math.min(0.25, 1 / Math.max(1, askRate)));
    double most = Math.max(1, 2 * askRate);
    if (late) {
      if (paceRate == UNPACED) { // from here on it counts
        paceCredit = 2;
        pacedAt = now;
      }
      paceRate =
          Math.max(Math.max(0.1, askRate / 8), Math.min(paceRate, most) * Math.pow(1 - step, 3));
    } else {
      paceRate = paceRate + step * askRate < most ? paceRate + step * askRate : UNPACED;
    }
  }

  // ---- server choice and health ----

  /**
   * The server with the least (requests out + 1) x slowness, of those that may get this request. Of
   * a subset some are looked at, and all only where none of these may (the power of few choices,
   * Mitzenmacher 2001).
   */
  private Host choose(Req r) {
    if (!subset.whole() && grouped(r.type.told) && !r.attempts.isEmpty()) {
      bringMates(r);
      return best(r, hosts.values());
    }
    Host best = null;
    if (!subset.whole() && view.size() > DRAWN + NEAR) {
      List<Host> some = new ArrayList<>(Arrays.asList(near));
      random.ints(DRAWN, 0, view.size()).forEach(i -> some.add(view.get(i)));
      best = best(r, some);
    }
    best = best == null ? best(r, view) : best;
    full |= best == null;
    return best;
  }

  /** Where a subset holds too few of a request's group, others are known until the next edge. */
  private void bringMates(Req r) {
    r.attempts.stream()
        .map(a -> group(r.type.told, a.host.told))
        .distinct()
        .flatMap(g -> subset.mates(g, MATES).stream())
        .filter(s -> !subset.holds(s.id()))
        .toList()
        .forEach(
            s -> {
              told(s);
              hosts.get(s.id()).listed = true;
            });
  }

  private static boolean grouped(RequestClass c) {
    return c.idempotency() == Idempotency.KEYED && c.group() != IdempotencyGroup.ALL;
  }

  private static Object group(RequestClass c, EndpointInfo s) {
    return c.group() == IdempotencyGroup.ZONE ? s.zone() : (Object) s.cell();
  }

  private Object[] groups(EndpointInfo s) {
    return set.requestClasses().stream()
        .filter(PolicyEngine::grouped)
        .map(c -> group(c, s))
        .distinct()
        .toArray();
  }

  private Host best(Req r, Collection<Host> some) {
    Host best = null;
    double bestScore = 0;
    boolean keeps = set.capabilities().keepAliveMs() > 0;
    for (Host h : some) {
      if (h == null || !mayGet(r, h) || !room(h)) {
        continue;
      }
      double score =
          (h.out.size() + 1) * slowness(h); // a cold one has its budget, and that is spent
      // a hundred nodes would connect to all
      score *= h.out.isEmpty() && now >= h.keptUntil && warmth(h) >= 1 && keeps ? HANDSHAKE : 1;
      boolean been = r.attempts.stream().anyMatch(a -> a.host == h);
      score *= (1 + 0.1 * random.nextDouble()) * (1 + 8 * failing(h, r.type)) * (been ? 8 : 1);
      if (best == null || score < bestScore) {
        best = h;
        bestScore = score;
      }
    }
    return best;
  }

  /** How likely this server fails this class, or cannot be reached; forgotten in time. */
  private double failing(Host h, Type type) {
    double[] seen = h.failing.get(type);
    return seen == null ? 0 : seen[0] * Math.pow(0.5, (now - seen[1]) / (4 * FORGET));
  }

  /**
   * How much slower than usual: the EWMA, forgotten in time, or what the oldest attempt out shows.
   */
  private double slowness(Host h) {
    double slow = 1 + (h.slow - 1) * Math.pow(0.5, (now - h.slowAt) / FORGET);
    if (!h.out.isEmpty()) {
      Attempt a = h.out.iterator().next();
      slow = Math.max(slow, (now - a.sent) / a.req.type.mean / 2);
    }
    return slow;
  }

  /**
   * Room under the bound; a bound under one is a pause, as one attempt of every node can be too
   * much.
   */
  private boolean room(Host h) {
    return h.out.isEmpty()
        ? h.limit >= 1 || now >= h.lastSent + meanAim / 2 / h.limit
        : !h.trial && h.out.size() + 1 <= h.limit;
  }

  /** Additive increase where the bound was reached and the answer quick, else decrease. */
  private void bound(Host h, Type type, double took) {
    if (took
        <= type.told.latencyObjectiveMs() / 2) { // later ones were counted when they became late
      pace(false);
    }
    if (took > type.told.latencyObjectiveMs() / 4) { // the rest is for waiting here and another try
      h.limit = Math.max(LIMIT_LEAST, h.limit * LIMIT_DOWN);
    } else if (h.out.size() + 1 >= (int) h.limit) {
      h.limit += 1 / Math.max(1, h.limit);
    }
  }

  private void learn(Host h, Type type, CallOutcome outcome, double took) {
    boolean ok = outcome == CallOutcome.OK;
    h.keptUntil =
        ok || outcome == CallOutcome.ERROR
            ? now + KEPT * set.capabilities().keepAliveMs()
            : Double.NEGATIVE_INFINITY;
    if (outcome != CallOutcome.CANCELLED && outcome != CallOutcome.NOT_SENT) {
      h.failing.put(type, new double[] {(failing(h, type) + (ok ? 0 : 1)) / 2, now});
    }
    switch (outcome) {
      case OK -> {
        sample(h, took / type.mean);
        type.mean += (took - type.mean) * SLOW;
        bound(h, type, took);
        if (h.wasDead) {
          cold(h, now); // it may have restarted before the list says so
        }
        h.fails = 0;
        h.trial = false;
        h.wasDead = false;
        h.ejections = 0;
      }
      case TIMEOUT -> {
        sample(h, Math.max(1, took / type.mean));
        type.mean += Math.max(0, took - type.mean) * SLOW; // at least so long
        bound(h, type, took);
        fault(h, 1);
      }
      case FULL -> {
        sample(h, 2 * h.slow);
        fault(h, 0.5);
      }
      case NO_CONNECTION -> { // one may be chance; a dead process fails the next and the trial too
        h.wasDead |= h.trial;
        fault(h, 2);
      }
      case RESET -> fault(h, 1); // one connection: a process that died resets all
      default -> {}
    }
  }

  private void sample(Host h, double value) {
    h.slow = 1 + (h.slow - 1) * Math.pow(0.5, (now - h.slowAt) / FORGET);
    h.slow += (Math.min(value, 30) - h.slow) * FAST;
    h.slowAt = now;
  }

  /** Ejects on evidence, for longer each time, and never more than half of the subset. */
  private void fault(Host h, double weight) {
    h.fails += weight;
    if (h.fails < 3 && !h.trial || now < h.ejectedUntil) {
      return;
    }
    if (2 * ejectedCount(now) + 2 <= view.stream().filter(o -> o.listed).count()) {
      h.ejectedUntil = now + EJECT * Math.pow(2, h.ejections);
      h.ejections = Math.min(h.ejections + 1, EJECT_DOUBLINGS);
      h.trial = true;
    }
  }

  // ---- attempts: sends, retries ----

  private void send(Req r, Host h) {
    Attempt a = new Attempt(r, h, now);
    r.attempts.add(a);
    r.out++;
    r.customer.out++;
    h.out.add(a);
    h.coldCredit -= 1;
    h.lastSent = now;
    near[nearAt++ % NEAR] = h;
    sentInPeriod += warmth(h) >= 1 ? 1 : 0;
    paceCredit--;
    at(Kind.LATE, now + r.type.told.latencyObjectiveMs() / 2, r);
    act.send(r.told.id(), h.id, 0);
  }

  /**
   * Every attempt has ended without an answer: try elsewhere where it is allowed and of use, or
   * answer.
   */
  private void again(Req r) {
    if (now >= r.useful
        || now >= r.deadline - 2 * set.tickMs()
        || !mayRepeat(r)
        || r.attempts.size() >= set.capabilities().maxAttempts()) {
      answer(r);
      return;
    }
    Host h =
        paced() ? choose(r) : null; // the pace is the retry budget too: all that is sent goes by it
    if (h == null) {
      at(Kind.RETRY, now + LOOK_AGAIN, r);
    } else {
      send(r, h);
    }
  }

  /** The final answer of a request that no attempt can answer any more. */
  private void answer(Req r) {
    if (mayRefuse(r)) {
      // what was short is so for a while: a client that comes back sooner costs calls and finds no
      // more
      act.reject(
          r.told.id(),
          set.capabilities().canSendRetryAfter() ? set.capabilities().maxRetryAfterMs() : 0);
    } else {
      act.fail(r.told.id());
    }
    end(r);
  }

  private void end(Req r) {
    for (int i = 0;
        i < r.attempts.size() && !r.over && !r.streaming && set.capabilities().canCancel();
        i++) {
      if (r.attempts.get(i).outcome == null) {
        act.cancel(r.told.id(), i);
      }
    }
    r.over = true;
    dequeue(r);
    if (r.out == 0) {
      requests.remove(r.told.id());
    }
  }

  private static void dequeue(Req r) {
    if (r.customer.queue.remove(r)) {
      r.customer.held -= r.told.units();
    }
  }

  // ---- guards for the rules ----

  /** Drains, ejections, groups and cold budgets: may this request go to this server now? */
  private boolean mayGet(Req r, Host h) {
    return h.listed
        && now >= h.ejectedUntil
        && inGroup(r, h)
        && (warmth(h) >= 1 || coldBudget(h) >= 1);
  }

  /**
   * This gateway's part of what a cold server can bear: its mean to a warm one, scaled to what this
   * one can do. It starts anywhere under one send, as one send of each gateway at once would be far
   * too much.
   */
  private double coldBudget(Host h) {
    double most = Math.max(1, set.rules().overloadFactor() / 2);
    double rate = warmRate / 1000 * warmth(h) * most;
    h.coldCredit =
        Math.min(
            Math.max(1, rate * set.rules().overloadWindowMs()),
            h.coldCredit + rate * (now - h.coldAt));
    h.coldAt = now;
    return h.coldCredit;
  }

  private void cold(Host h, double since) {
    if (warmth(h) >= 1) {
      h.coldCredit = random.nextDouble();
      h.coldAt = now;
    }
    h.coldFrom = Math.max(h.coldFrom, since);
  }

  /** The least capacity that a server can have by now, 1 when it is warm. */
  private double warmth(Host h) {
    double age = now - h.coldFrom;
    double cold = set.rules().coldCapacityShare();
    double warm = set.rules().warmUpMs();
    return age >= warm ? 1 : cold + (1 - cold) * Math.max(0, age) / warm;
  }

  /** Whether another attempt may go out now, wherever it goes; two are never out together. */
  private boolean mayRepeat(Req r) {
    OptionalDouble ran =
        r.attempts.stream().filter(Attempt::mayHaveRun).mapToDouble(a -> a.sent).min();
    return ran.isEmpty()
        || switch (r.type.told.idempotency()) {
          case IDEMPOTENT -> true;
          case KEYED ->
              now - ran.getAsDouble() < r.type.told.idempotencyWindowMs() - 2 * set.tickMs();
          case NOT_IDEMPOTENT -> false;
        };
  }

  private boolean inGroup(Req r, Host h) {
    IdempotencyGroup group = r.type.told.group();
    return r.type.told.idempotency() != Idempotency.KEYED
        || group == IdempotencyGroup.ALL
        || r.attempts.stream()
            .noneMatch(
                a ->
                    a.mayHaveRun()
                        && (group == IdempotencyGroup.ZONE
                            ? !a.host.told.zone().equals(h.told.zone())
                            : a.host.told.cell() != h.told.cell()));
  }

  private static boolean mayRefuse(Req r) {
    return r.type.told.idempotency() == Idempotency.IDEMPOTENT
        || r.type.told.idempotency() == Idempotency.KEYED
            && r.type.told.group() == IdempotencyGroup.ALL
        || r.attempts.stream().noneMatch(Attempt::mayHaveRun);
  }

  /**
   * The hard ceiling: the even part rounded down, empty at the start, whatever the counter says.
   */
  private boolean underCeiling(Customer c, Req r) {
    if (c.plan.ceilingRatePerSecond() <= 0) {
      return true;
    }
    c.ceiling =
        Math.min(
            Math.floor(c.plan.ceilingBurstUnits() / c.spread),
            c.ceiling + (now - c.ceilingAt) / 1000 * c.plan.ceilingRatePerSecond() / c.spread);
    c.ceilingAt = now;
    return c.ceiling >= r.told.units();
  }

  // ---- timers ----

  private void at(Kind kind, double time, Req r) {
    timers.add(new Timer(time, serial++, kind, r));
    if (time < armed - 1e-6) {
      armed = time;
      act.setTimer(Math.max(0, armed - now), 0);
    }
  }

  private void begin(double time) {
    now = Math.max(now, time);
    while (!timers.isEmpty() && timers.peek().at <= now) {
      Timer t = timers.poll();
      Req r = t.req;
      switch (t.kind) {
        case EDGE -> onEdge();
        case SUBSCRIBE -> act.subscribe();
        case EXPIRE -> {
          if (!r.over && r.attempts.isEmpty()) {
            r.customer.shortUntil = now + r.type.told.latencyObjectiveMs();
            answer(r); // held until it would be late
          }
        }
        case LATE -> {
          double sent = r.attempts.get(r.attempts.size() - 1).sent;
          if (r.out > 0 && sent <= now - r.type.told.latencyObjectiveMs() / 2) {
            pace(true);
          }
        }
        case DEADLINE -> {
          if (!r.over && !r.streaming) {
            answer(r);
          }
        }
        default -> {
          if (r != null && !r.over && r.out == 0) {
            again(r);
          }
        }
      }
    }
  }
}
