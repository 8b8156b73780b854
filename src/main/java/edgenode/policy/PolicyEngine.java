package edgenode.policy;

import edgenode.policy.subset.EndpointSubset;
import java.nio.charset.StandardCharsets;
import java.util.*;

/**
 * Every decision of one gateway. The same events give the same actions; all chance comes from one
 * seed.
 */
public final class PolicyEngine implements PolicyEvents {
  /** The design re-splits four times a second. */
  private static final double QUOTA_TICK_MS = 250;

  /**
   * A running total has a new name this often (ms), and lives twice as long: 60 s at most are kept.
   */
  private static final double COUNTER_EPOCH_MS = 120 * QUOTA_TICK_MS;

  /**
   * An EWMA over about the last ten samples follows a server within a second of ordinary traffic.
   */
  private static final double FAST_EWMA_WEIGHT = 0.2;

  /** Class means move slowly: servers are judged by them. */
  private static final double SLOW_EWMA_WEIGHT = 0.03;

  /** What is believed of a server's slowness halves in about this time (ms) without new samples. */
  private static final double SLOWDOWN_HALF_LIFE_MS = 4000;

  /**
   * First ejection (ms): longer than a blip, short against the time that a client waits; then
   * doubled.
   */
  private static final double FIRST_EJECTION_MS = 500;

  private static final int MAX_EJECTION_DOUBLINGS = 4;

  /**
   * An answer beyond a quarter of its aim takes a tenth off the bound: some are long by themselves.
   */
  private static final double CONCURRENCY_DECREASE_FACTOR = 0.9;

  /**
   * Least step of the pace an answer; a late one takes three, so that it falls when a quarter are
   * late.
   */
  private static final double MIN_PACE_STEP = 0.03;

  /** No pace at all: where answers are in time, what comes all at once goes all at once. */
  private static final double UNPACED = Double.POSITIVE_INFINITY;

  /** The least bound: an attempt in eight half aims still shows soon when a server does better. */
  private static final double MIN_CONCURRENCY_LIMIT = 1.0 / 8;

  /**
   * A server that may hold no connection of ours counts as if half a request more were out there.
   */
  private static final double HANDSHAKE_COST_FACTOR = 1.5;

  /**
   * A host lets an idle connection go after this part of the server's time, before the two can
   * cross.
   */
  private static final double IDLE_CONNECTION_SHARE = 0.4;

  /**
   * With less than this many mean times left an answer is too often late to spend a server on it.
   */
  private static final double MIN_MEAN_TIMES_LEFT = 2;

  /**
   * Calls of all gateways for an edge, at first: one a millisecond; then by what is turned away.
   */
  private static final double INITIAL_FLEET_CALLS_PER_TICK = QUOTA_TICK_MS;

  /**
   * Edges' worth of calls that may be saved up; a start has them too: with one it sends by belief
   * and too much.
   */
  private static final double SAVED_CALL_TICKS = 4;

  /**
   * A part of the rate falls due by so many units later: what is sent a moment early is beyond the
   * quota.
   */
  private static final double ACCRUAL_DELAY_UNITS = 0.1;

  /**
   * A call answered after more than this part of its time-out stood in a line that is about to be
   * too long.
   */
  private static final double CROWDED_TIMEOUT_SHARE = 0.5;

  /**
   * Servers are pressed where the pace is under this part of what is asked: the rest is beyond
   * quotas anyway.
   */
  private static final double OVERLOADED_PACE_SHARE = 0.5;

  /**
   * Each edge that fails no call adds so much to the growth of calls: what failed long ago tells
   * little.
   */
  private static final double CALL_GROWTH_STEP = 0.01;

  /**
   * Belief leaves at most this part of the store for what others have sent unseen since the last
   * reading.
   */
  private static final double UNSEEN = 0.25;

  /**
   * A claim is worth its call once so many times this gateway's part of the rate since the last
   * covers it.
   */
  private static final double MAX_SHARES_PER_CLAIM = 4;

  /**
   * An add for a thin store stands for what was sent and never told (Horvitz, Thompson 1952), at
   * most for this.
   */
  private static final double MAX_REPORT_FACTOR = 2.5;

  /** So many calls in a row unanswered are not chance but a counter that is away. */
  private static final int SILENT_AFTER_FAILURES = 8;

  /** Open counts get a new name this often (ms): what a killed node held is forgotten by then. */
  private static final double OPEN_COUNT_EPOCH_MS = 16 * QUOTA_TICK_MS;

  /** A retry that finds no server looks again after this (ms): a few of the shortest ticks. */
  private static final double RETRY_DELAY_MS = 25;

  /**
   * Servers drawn from a subset for a look (97%: one of the best tenth); the last sent to, which
   * are connected.
   */
  private static final int SAMPLED_ENDPOINTS = 32, RECENT_ENDPOINTS = 16;

  /**
   * Mates brought in for a repeat that may go to its group only: each attempt of it finds another
   * one.
   */
  private static final int MAX_GROUP_MEMBERS = 8;

  /**
   * A subset doubles where less than the one part of its even size can be used, and narrows from
   * the other on.
   */
  private static final double WIDEN_BELOW_SHARE = 5.0 / 8, NARROW_ABOVE_SHARE = 7.0 / 8;

  /**
   * Where under a sixteenth can be used, or all in a fourfold subset are full, more servers are no
   * help.
   */
  private static final double MAX_WIDTH_FEW_USABLE = 16, MAX_WIDTH_FULL = 4;

  /** A widened subset halves in 11 s of edges: longer than most troubles that widen one. */
  private static final double NARROWING_STEP = 1.0 / 64;

  // ---- state ----

  private final PolicySettings settings;
  private final PolicyActions actions;
  private final Random random;
  private double nowMs;
  private long nextSerial, tickCount;
  private final Map<String, RequestClassStats> classStats = new HashMap<>();
  private final Map<String, QuotaPlan> plans = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final ArrayDeque<Customer> dispatchRing = new ArrayDeque<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<String, Host> hosts =
      new TreeMap<>(); // of the subset, and where attempts are out
  private final EndpointSubset<EndpointInfo> subset;
  private final Set<Host> leavingEndpoints = new LinkedHashSet<>();
  private final Host[] recentEndpoints = new Host[RECENT_ENDPOINTS];
  private List<Host> view = List.of(); // the hosts of the subset, by id
  private final Map<Long, ArrayDeque<CounterCall>> counterCalls = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.<Timer>comparingDouble(t -> t.atMs).thenComparingLong(t -> t.serial));
  private double armedAtMs = Double.MAX_VALUE,
      warmRatePerSecond,
      meanLatencyObjectiveMs,
      maxLatencyObjectiveMs,
      warmSendsInTick;
  private double counterSilentUntilMs, usualGrantShare = 1, counterSilentSinceMs;
  private int consecutiveCounterFailures, upEndpoints, ticksWithoutFailedCall, recentIndex;
  private double pacePerSecond,
      paceTokens,
      paceRefilledAtMs,
      paceWakeAtMs,
      arrivalsPerSecond,
      arrivalsInTick,
      subsetWidth = 1,
      underSampledSentUnits,
      underSampledReportedUnits;
  private final Set<Customer> activeCustomers = new LinkedHashSet<>();
  private double callsPerTick,
      callTokens,
      callsPerTickAtFailure,
      counterBackoffMs = QUOTA_TICK_MS,
      subscribeBackoffMs = 4 * QUOTA_TICK_MS;
  private boolean hasFailedCalls, isSubsetFull;

  /** A class with the mean time that its answers take. */
  private static final class RequestClassStats {
    final RequestClass requestClass;
    double meanMs;

    RequestClassStats(RequestClass told) {
      this.requestClass = told;
      meanMs =
          told.latencyObjectiveMs()
              / 8; // until seen: an aim leaves room for a queue, a retry and the way
    }
  }

  private static final class Customer {
    final String name;
    final long counterKey;
    final QuotaPlan plan;
    final int nodeSpread;
    final TreeSet<PendingRequest> queue =
        new TreeSet<>(
            Comparator.<PendingRequest>comparingDouble(r -> r.usefulUntilMs)
                .thenComparingLong(r -> r.serial));
    final ArrayDeque<Long> openSlotEpochs = new ArrayDeque<>();
    final ArrayDeque<double[]> pendingUnits =
        new ArrayDeque<>(); // when, units: parts that the rate fills later
    double usageShare,
        credits,
        accruedAtMs,
        pendingUnitCount,
        queuedUnits,
        arrivedUnitsInTick,
        usualUnitsPerTick,
        lastReadUnits,
        lastReadAtMs,
        estimatedUnits,
        estimatedAtMs,
        lastCounterTotal;
    double requestedUnits,
        addedUnits,
        unreportedUnits,
        correctedUnits,
        grantShare,
        ceilingUnits,
        ceilingAtMs,
        nextCallAtMs,
        shortUntilMs,
        lastSeenMs;
    long callEpoch, slotEpoch, lastTotalEpoch;
    int inFlight;
    boolean isCallInFlight, isInRing, hasReading, isCallUnanswered;

    Customer(String name, QuotaPlan plan, int spread, double now) {
      this.name = name;
      this.plan = plan;
      this.nodeSpread = Math.max(1, spread);
      counterKey =
          UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
      lastSeenMs = ceilingAtMs = lastReadAtMs = estimatedAtMs = accruedAtMs = now;
      lastReadUnits = estimatedUnits = plan.burstUnits();
      usageShare = 1.0 / this.nodeSpread;
    }
  }

  private static final class PendingRequest {
    final IncomingRequest request;
    final RequestClassStats classStats;
    final Customer customer;
    final double deadlineMs, usefulUntilMs;
    final long serial;
    final List<Attempt> attempts = new ArrayList<>();
    boolean isFinished, isStreaming;
    int inFlight;

    PendingRequest(
        IncomingRequest told, RequestClassStats type, Customer customer, double now, long serial) {
      this.request = told;
      this.classStats = type;
      this.customer = customer;
      this.serial = serial;
      deadlineMs = now + told.remainingMs();
      usefulUntilMs = Math.min(now + type.requestClass.latencyObjectiveMs(), deadlineMs);
    }
  }

  private static final class Attempt {
    final PendingRequest request;
    final Host endpoint;
    final double sentAtMs;
    CallOutcome outcome;

    Attempt(PendingRequest req, Host host, double sent) {
      this.request = req;
      this.endpoint = host;
      this.sentAtMs = sent;
    }

    boolean mayHaveRun() {
      return outcome == null || !outcome.provesNothingRan;
    }
  }

  private static final class Host {
    final String id;
    EndpointInfo info;
    final LinkedHashSet<Attempt> inFlight = new LinkedHashSet<>();
    double slowdown = 1,
        slowdownAtMs,
        concurrencyLimit = 4; // at first about two for each core of a small machine
    double lastSentMs,
        faultScore,
        ejectedUntilMs,
        ejections,
        connectedUntilMs = Double.NEGATIVE_INFINITY;
    boolean isListed = true, isOnTrial, wasUnreachable, hasLeftSubset;
    double warmUpStartMs = Double.NEGATIVE_INFINITY, slowStartTokens, slowStartRefilledAtMs;
    final Map<RequestClassStats, double[]> failureShares =
        new HashMap<>(); // share that fails, when

    Host(String id) {
      this.id = id;
    }
  }

  private enum CounterCallKind {
    RESERVE,
    CORRECT,
    RELEASE,
    TAKE_OPEN_SLOT,
    RELEASE_OPEN_SLOT
  }

  private record CounterCall(Customer customer, CounterCallKind kind, double amount) {}

  private enum TimerKind {
    QUOTA_TICK,
    QUEUE_EXPIRY,
    DEADLINE,
    LATE_ANSWER,
    RETRY,
    SUBSCRIBE
  }

  private record Timer(double atMs, long serial, TimerKind kind, PendingRequest request) {}

  public PolicyEngine(PolicySettings settings, long seed, double now, PolicyActions actions) {
    this(settings, seed, now, actions, EndpointSubset.DEFAULT_MIN_ENDPOINTS);
  }

  /**
   * @param servers how many of a longer list a node holds on average at least
   */
  public PolicyEngine(
      PolicySettings settings, long seed, double now, PolicyActions actions, int servers) {
    this.settings = settings;
    subset = new EndpointSubset<>(settings.nodeIndex(), settings.nodeCount(), servers);
    this.actions = actions;
    random = new Random(seed);
    this.nowMs = now;
    for (RequestClass c : settings.requestClasses()) {
      classStats.put(c.name(), new RequestClassStats(c));
      maxLatencyObjectiveMs = Math.max(maxLatencyObjectiveMs, c.latencyObjectiveMs());
      meanLatencyObjectiveMs += c.latencyObjectiveMs() / settings.requestClasses().size();
    }
    for (QuotaPlan p : settings.plans()) {
      plans.put(p.name(), p);
    }
    callsPerTick = Math.max(1, INITIAL_FLEET_CALLS_PER_TICK / settings.nodeCount());
    callTokens = SAVED_CALL_TICKS * callsPerTick;
    schedule(TimerKind.QUOTA_TICK, nextQuotaTickMs(), null);
    if (settings.mustPollDiscovery()) {
      this.actions.subscribe();
    }
  }

  // ---- events ----

  @Override
  public void endpointsChanged(double eventMs, List<EndpointInfo> list, boolean whole) {
    advanceTo(eventMs);
    if (whole) {
      subset.retainOnly(new HashSet<>(list.stream().map(EndpointInfo::id).toList()));
    }
    for (EndpointInfo info : list) {
      if (info.state() == EndpointState.REMOVED) {
        subset.remove(info.id());
      } else {
        subset.put(info.id(), info.state() == EndpointState.UP, info, groupsOf(info));
      }
    }
    applySubsetChanges(list);
    upEndpoints = subset.upCount();
    if (tickCount < 4
        && upEndpoints > 0) { // at first two out at each server, of all gateways together
      pacePerSecond =
          Math.max(
              pacePerSecond,
              2000.0 * upEndpoints / settings.nodeCount() / (meanLatencyObjectiveMs / 8));
      paceTokens = Math.max(2, pacePerSecond * QUOTA_TICK_MS / 1000);
    }
    dispatchQueued();
  }

  /**
   * What enters the subset is brought in; what leaves is forgotten once nothing is out there: ids
   * are ever new.
   */
  private void applySubsetChanges(List<EndpointInfo> list) {
    EndpointSubset.Changes<EndpointInfo> moves = subset.applyChanges();
    for (String id : moves.removed()) {
      hosts.get(id).hasLeftSubset = true;
      leavingEndpoints.add(hosts.get(id));
    }
    list.stream()
        .filter(l -> subset.holdsAll() || hosts.containsKey(l.id()))
        .forEach(this::updateEndpoint);
    moves.added().forEach(this::updateEndpoint);
    leavingEndpoints.forEach(h -> h.isListed &= !h.hasLeftSubset);
    leavingEndpoints.removeIf(
        h -> !h.hasLeftSubset || h.inFlight.isEmpty() && hosts.remove(h.id, h));
    view = hosts.values().stream().filter(h -> !h.hasLeftSubset).toList();
  }

  private void updateEndpoint(EndpointInfo info) {
    Host endpoint = hosts.computeIfAbsent(info.id(), Host::new);
    endpoint.hasLeftSubset = !subset.contains(info.id());
    endpoint.isListed = !endpoint.hasLeftSubset && info.state() == EndpointState.UP;
    if (endpoint.hasLeftSubset) {
      leavingEndpoints.add(endpoint);
    }
    boolean restarted = endpoint.info != null && info.startedAtMs() > endpoint.info.startedAtMs();
    endpoint.info = info;
    if (info.startedAtMs() > 0 && info.startedAtMs() + settings.rules().warmUpMs() > nowMs) {
      startWarmUp(endpoint, info.startedAtMs());
    }
    if (restarted) {
      endpoint.faultScore = endpoint.ejectedUntilMs = endpoint.ejections = 0;
      endpoint.slowdown = 1;
      endpoint.failureShares.clear();
    }
  }

  /** Wider at once where little of the subset can be used or had room, narrower slowly. */
  private void adaptSubsetWidth() {
    if (subset.holdsAll()) {
      return;
    }
    double usable =
        view.stream()
            .filter(h -> h.isListed && nowMs >= h.ejectedUntilMs)
            .mapToDouble(this::warmCapacityShare)
            .sum();
    if (usable < WIDEN_BELOW_SHARE * subset.evenSize()) {
      subsetWidth = Math.min(MAX_WIDTH_FEW_USABLE, 2 * subsetWidth);
    } else if (isSubsetFull) {
      subsetWidth = Math.max(subsetWidth, Math.min(MAX_WIDTH_FULL, 2 * subsetWidth));
    } else if (usable > NARROW_ABOVE_SHARE * subset.evenSize()) {
      subsetWidth = Math.max(1, subsetWidth * (1 - NARROWING_STEP));
    }
    isSubsetFull = false;
    subset.widthFactor(subsetWidth);
    applySubsetChanges(List.of());
  }

  @Override
  public void discoveryFailed(double eventMs) {
    advanceTo(eventMs);
    if (settings.mustPollDiscovery()) {
      schedule(TimerKind.SUBSCRIBE, nowMs + subscribeBackoffMs * (0.5 + random.nextDouble()), null);
      // a call that is given up has taken 2 s; half as much again as this and the next call are to
      // end within 6 s
      subscribeBackoffMs = Math.min(2 * subscribeBackoffMs, 8 * QUOTA_TICK_MS);
    }
  }

  @Override
  public void requestArrived(double eventMs, IncomingRequest incoming) {
    advanceTo(eventMs);
    RequestClassStats type = classStats.get(incoming.className());
    QuotaPlan plan = plans.get(incoming.planName());
    if (type == null || plan == null) {
      actions.reject(
          incoming.id(), 0); // nothing is told of such a class or plan: no quota can be kept for it
      return;
    }
    Customer customer = customers.get(incoming.customerName());
    if (customer == null) {
      customer = new Customer(incoming.customerName(), plan, incoming.nodeSpread(), nowMs);
      customer.credits =
          isUnshared(customer) ? Math.floor(plan.burstUnits() / customer.nodeSpread) : 0;
      customer.grantShare = usualGrantShare;
      customers.put(incoming.customerName(), customer);
    }
    customer.lastSeenMs = nowMs;
    customer.arrivedUnitsInTick += incoming.units();
    arrivalsInTick++;
    PendingRequest request = new PendingRequest(incoming, type, customer, nowMs, nextSerial++);
    pendingRequests.put(incoming.id(), request);
    if (incoming.isClientRetry() && nowMs < customer.shortUntilMs) {
      rejectOrFail(
          request); // its first try waited here until it was of no use: a fresh request earns more
      return;
    }
    customer.queue.add(request);
    customer.queuedUnits += incoming.units();
    activeCustomers.add(customer);
    if (!customer.isInRing) {
      customer.isInRing = true;
      dispatchRing.add(customer);
    }
    dispatchQueued();
    if (customer.queue.contains(request)) {
      // a crowded class's mean may leave no wait at all: the counter's answer is waited for, in
      // time
      double heard =
          nowMs + (isUnshared(customer) ? 0 : settings.capabilities().counterTimeoutMs());
      double last =
          Math.max(
              lastUsefulStartMs(request),
              Math.min(heard, request.deadlineMs - 2 * settings.tickMs()));
      schedule(TimerKind.QUEUE_EXPIRY, Math.max(nowMs + settings.tickMs(), last), request);
    }
  }

  @Override
  public void responseStarted(double eventMs, long id, int attempt) {
    advanceTo(eventMs);
    PendingRequest request = pendingRequests.get(id);
    if (request != null) {
      request.isStreaming = true;
    }
  }

  @Override
  public void attemptEnded(
      double eventMs,
      long id,
      int number,
      CallOutcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {
    advanceTo(eventMs);
    PendingRequest request = pendingRequests.get(id);
    if (request == null
        || number < 0
        || number >= request.attempts.size()
        || request.attempts.get(number).outcome != null) {
      return;
    }
    Attempt attempt = request.attempts.get(number);
    attempt.outcome = outcome;
    request.inFlight--;
    request.customer.inFlight--;
    attempt.endpoint.inFlight.remove(attempt);
    recordOutcome(attempt.endpoint, request.classStats, outcome, took);
    if (outcome == CallOutcome.OK && trueUnits > 0 && settings.settlesUnits()) {
      request.customer.unreportedUnits += trueUnits - request.request.units();
    }
    if (over || request.isFinished) {
      finish(request);
    } else if (request.inFlight == 0) {
      retryOrAnswer(request);
    }
    dispatchQueued();
    releaseOpenSlots(request.customer);
  }

  @Override
  public void clientDisconnected(double eventMs, long id) {
    advanceTo(eventMs);
    PendingRequest request = pendingRequests.get(id);
    if (request != null) {
      finish(request);
    }
  }

  @Override
  public void timerFired(double eventMs, long token) {
    boolean last =
        eventMs >= armedAtMs - 1e-3; // an older reminder leaves the one still to come alone
    advanceTo(eventMs);
    dispatchQueued();
    if (last) {
      armedAtMs = timers.peek().atMs;
      actions.setTimer(Math.max(0, armedAtMs - nowMs), 0);
    }
  }

  @Override
  public void healthCheckEnded(
      double eventMs, String server, CallOutcome outcome, double took, double[] load) {
    advanceTo(eventMs);
  }

  @Override
  public void counterCallEnded(
      double eventMs, long name, CallOutcome outcome, double took, double total) {
    advanceTo(eventMs);
    ArrayDeque<CounterCall> queue = counterCalls.get(name);
    if (queue == null) {
      return;
    }
    boolean overdue = outcome == CallOutcome.OVERDUE;
    CounterCall call = overdue ? queue.peek() : queue.poll();
    if (queue.isEmpty()) {
      counterCalls.remove(name);
    }
    Customer customer = call.customer;
    boolean heard = outcome == CallOutcome.OK;
    // a connection that broke was up a moment ago: no sign that the counter is away
    boolean alive = outcome == CallOutcome.RESET || outcome == CallOutcome.ERROR;
    consecutiveCounterFailures =
        heard ? 0 : alive ? consecutiveCounterFailures : consecutiveCounterFailures + 1;
    // crowded, also where the wait was nearly too long; a connection that breaks tells nothing of
    // that
    double crowded = CROWDED_TIMEOUT_SHARE * settings.capabilities().counterTimeoutMs();
    hasFailedCalls |=
        outcome == CallOutcome.FULL
            || outcome == CallOutcome.TIMEOUT
            || overdue
            || heard && took > crowded && took <= settings.capabilities().counterTimeoutMs();
    if (heard) {
      counterBackoffMs = QUOTA_TICK_MS;
    } else if (consecutiveCounterFailures >= SILENT_AFTER_FAILURES
        && nowMs >= counterSilentUntilMs) {
      counterSilentSinceMs = counterBackoffMs == QUOTA_TICK_MS ? nowMs : counterSilentSinceMs;
      counterSilentUntilMs = nowMs + counterBackoffMs;
      counterBackoffMs = Math.min(2 * counterBackoffMs, 8 * QUOTA_TICK_MS);
    }
    if (overdue) {
      customer.isCallUnanswered |=
          customer.isCallInFlight; // its requests wait no longer; the answer is taken when it comes
      customer.nextCallAtMs = nextQuotaTickMs();
    } else {
      callEnded(call, outcome, total);
    }
    dispatchQueued();
    releaseOpenSlots(customer);
  }

  private void callEnded(CounterCall call, CallOutcome outcome, double total) {
    Customer customer = call.customer;
    switch (call.kind) {
      case RESERVE -> reservationAnswered(customer, outcome, total);
      case RELEASE ->
          customer.unreportedUnits +=
              isUnapplied(outcome) ? call.amount : 0; // below 0: still to be taken off
      case CORRECT -> correctionAnswered(customer, outcome == CallOutcome.OK, total);
      case TAKE_OPEN_SLOT -> openSlotAnswered(customer, outcome == CallOutcome.OK, total);
      default -> {}
    }
  }

  @Override
  public int ejectedCount(double eventMs) {
    return (int) view.stream().filter(h -> h.isListed && eventMs < h.ejectedUntilMs).count();
  }

  // ---- quota: credits, weights, re-split ----

  /**
   * The next edge here: gateways spread theirs over the subperiod, or the counter gets all at once.
   */
  private double nextQuotaTickMs() {
    double phase = QUOTA_TICK_MS * settings.nodeIndex() / settings.nodeCount();
    double next = (Math.floor((nowMs - phase) / QUOTA_TICK_MS) + 1) * QUOTA_TICK_MS + phase;
    return next > nowMs
        ? next
        : next + QUOTA_TICK_MS; // by rounding it may be this very instant: that would never end
  }

  private boolean isUnshared(Customer customer) {
    return !settings.capabilities().hasCounter() || customer.nodeSpread == 1;
  }

  /**
   * Less than half a unit of the store for each gateway: what one has put on too much is soon made
   * up for.
   */
  private static boolean isUnderSampled(Customer customer) {
    return customer.plan.burstUnits() < customer.nodeSpread / 2.0;
  }

  private boolean canCallCounter() {
    return nowMs >= counterSilentUntilMs && callTokens >= 1;
  }

  private void onQuotaTick() {
    schedule(TimerKind.QUOTA_TICK, nextQuotaTickMs(), null);
    adaptSubsetWidth();
    long warm = view.stream().filter(h -> h.isListed && warmCapacityShare(h) >= 1).count();
    warmRatePerSecond +=
        warm > 0
            ? (warmSendsInTick * 1000 / QUOTA_TICK_MS / warm - warmRatePerSecond) * FAST_EWMA_WEIGHT
            : 0;
    warmSendsInTick = 0;
    underSampledSentUnits *= 1 - SLOW_EWMA_WEIGHT;
    underSampledReportedUnits *= 1 - SLOW_EWMA_WEIGHT;
    arrivalsPerSecond +=
        (arrivalsInTick * 1000 / QUOTA_TICK_MS - arrivalsPerSecond)
            * Math.max(FAST_EWMA_WEIGHT, 1.0 / ++tickCount);
    arrivalsInTick = 0;
    if (hasFailedCalls) {
      callsPerTickAtFailure =
          callsPerTick < callsPerTickAtFailure
              ? 0.9 * callsPerTick
              : callsPerTick; // RFC 9438 4.7, fast convergence
      callsPerTick =
          Math.max(
              INITIAL_FLEET_CALLS_PER_TICK / settings.nodeCount() / 16,
              callsPerTick * 0.8); // as TCP: under what failed,
      ticksWithoutFailedCall = 0;
    } else if (callTokens
        < (SAVED_CALL_TICKS - 1)
            * callsPerTick) { // soon near it again, then past it, slowly at first
      ticksWithoutFailedCall++;
      callsPerTick *=
          callsPerTick < 0.8 * callsPerTickAtFailure
              ? 1.1
              : Math.min(1.1, 1 + CALL_GROWTH_STEP * ticksWithoutFailedCall);
    }
    hasFailedCalls = false;
    callTokens =
        Math.min(
            SAVED_CALL_TICKS * callsPerTick,
            Math.min(callTokens, SAVED_CALL_TICKS * callsPerTick) + callsPerTick);
    for (Iterator<Customer> it = activeCustomers.iterator(); it.hasNext(); ) {
      Customer customer = it.next();
      customer.usualUnitsPerTick +=
          (customer.arrivedUnitsInTick - customer.usualUnitsPerTick) * FAST_EWMA_WEIGHT;
      customer.arrivedUnitsInTick = 0;
      accrue(customer);
      double ahead =
          Math.floor(customer.usualUnitsPerTick)
              + customer.queuedUnits
              - customer.credits
              - customer.pendingUnitCount;
      if (ahead >= 1 && customer.usualUnitsPerTick >= 1 && customer.grantShare > 0.5) {
        reserve(customer, ahead);
      } else if (ahead <= -1
          && !customer.isCallInFlight
          && canCallCounter()
          && !isUnshared(customer)
          && customer.plan.ratePerSecond() > 0) {
        double back = Math.min(Math.floor(-ahead), Math.floor(customer.credits));
        customer.credits -= back;
        callCounter(
            customer, counterName(customer, counterEpoch()), -back, CounterCallKind.RELEASE);
      }
      if (customer.queue.isEmpty()
          && customer.inFlight == 0
          && !customer.isCallInFlight
          && customer.openSlotEpochs.isEmpty()
          && customer.usualUnitsPerTick < 0.1) {
        it.remove();
      }
    }
    if (tickCount % 64 == 0) { // state of idle customers goes when their stores must be full
      customers
          .values()
          .removeIf(
              customer ->
                  !activeCustomers.contains(customer)
                      && !customer.isInRing
                      && nowMs - customer.lastSeenMs > COUNTER_EPOCH_MS);
    }
  }

  private long counterEpoch() {
    return (long) Math.floor(nowMs / COUNTER_EPOCH_MS);
  }

  private void callCounter(Customer customer, long name, double amount, CounterCallKind why) {
    callTokens--;
    counterCalls
        .computeIfAbsent(name, k -> new ArrayDeque<>())
        .add(new CounterCall(customer, why, amount));
    actions.addToCounter(
        name,
        amount,
        why.ordinal() < CounterCallKind.TAKE_OPEN_SLOT.ordinal()
            ? 2 * COUNTER_EPOCH_MS
            : 2 * OPEN_COUNT_EPOCH_MS);
  }

  /** A name on the counter, of a customer and an epoch. */
  private static long counterName(Customer customer, long epoch) {
    return EndpointSubset.mix64(customer.counterKey + 2 * epoch) >>> 1;
  }

  private static long openCountName(Customer customer, long epoch) {
    return EndpointSubset.mix64(customer.counterKey + 2 * epoch + 1) >>> 1;
  }

  /**
   * The re-split: adds the weight W of what is held and not covered yet, and of the last period's
   * arrivals. The running total tells what all have put before it; the part is what the quota
   * covers at this place.
   */
  private void reserve(Customer customer, double weight) {
    if (customer.isCallInFlight
        || isUnshared(customer)
        || customer.plan.ratePerSecond() <= 0
        || nowMs < customer.nextCallAtMs
        || !canCallCounter()) {
      return;
    }
    customer.isCallInFlight = true;
    customer.isCallUnanswered = false;
    customer.requestedUnits = weight;
    underSampledReportedUnits += isUnderSampled(customer) ? weight : 0;
    customer.addedUnits =
        customer.unreportedUnits
            + weight
                * (isUnderSampled(customer)
                    ? Math.max(
                        1,
                        Math.min(
                            MAX_REPORT_FACTOR, underSampledSentUnits / underSampledReportedUnits))
                    : 1);
    customer.unreportedUnits = 0;
    customer.callEpoch = counterEpoch();
    callCounter(
        customer,
        counterName(customer, customer.callEpoch),
        customer.addedUnits,
        CounterCallKind.RESERVE);
  }

  /**
   * Most calls on a connection that breaks were not added: taken as added, a tenth went beyond
   * quotas.
   */
  private static boolean isUnapplied(CallOutcome outcome) {
    return outcome.provesNothingRan || outcome == CallOutcome.RESET;
  }

  /** What the quota has filled under the name of an epoch: a burst and the rate since. */
  private double accruedSinceEpoch(Customer customer, long epoch) {
    return customer.plan.burstUnits()
        + customer.plan.ratePerSecond() * (nowMs - epoch * COUNTER_EPOCH_MS) / 1000;
  }

  private void reservationAnswered(Customer customer, CallOutcome outcome, double total) {
    customer.isCallInFlight = false;
    if (outcome != CallOutcome.OK) {
      // a late call is added all the same, as a crowded counter serves those too; the next add
      // makes up
      customer.unreportedUnits +=
          isUnapplied(outcome)
              ? customer.addedUnits - customer.requestedUnits
              : -customer.requestedUnits;
      customer.nextCallAtMs = nextQuotaTickMs();
      customer.isCallUnanswered = true;
      return;
    }
    double rate = customer.plan.ratePerSecond() / 1000;
    double before = accruedSinceEpoch(customer, customer.callEpoch) - (total - customer.addedUnits);
    // no store holds more than a burst, nor more than was last read of it and what has come since
    double known =
        Math.min(
            customer.plan.burstUnits(),
            Math.max(0, customer.lastReadUnits) + rate * (nowMs - customer.lastReadAtMs));
    double excess = before - Math.max(-rate * maxLatencyObjectiveMs, Math.min(before, known));
    boolean far = Math.abs(excess) > customer.plan.burstUnits() / 2;
    if (far) { // idle time, a new or lost name, lost calls: put right
      customer.correctedUnits = excess;
      callCounter(
          customer, counterName(customer, customer.callEpoch), excess, CounterCallKind.CORRECT);
    }
    before -= (far ? excess : Math.max(0, excess)) + customer.addedUnits - customer.requestedUnits;
    // late, and some of what it was for has been refused since
    double wanted =
        customer.isCallUnanswered
            ? Math.min(
                customer.requestedUnits,
                customer.queuedUnits + Math.max(0, customer.unreportedUnits))
            : customer.requestedUnits;
    double wait =
        customer.queue.isEmpty()
            ? 0
            : Math.max(0, lastUsefulStartMs(customer.queue.last()) - nowMs);
    double part = Math.floor(Math.max(0, Math.min(wanted, before + rate * wait)) + 1e-6);
    double ready = Math.floor(Math.max(0, Math.min(part, before)) + 1e-6);
    double sent =
        Math.min(
            ready, Math.max(0, customer.unreportedUnits)); // by belief, while this call was overdue
    customer.unreportedUnits -= sent;
    customer.credits += ready - sent;
    for (double k = ready + 1; k <= part; k++) {
      double due = nowMs + (k - before + ACCRUAL_DELAY_UNITS) / rate;
      customer.pendingUnits.add(new double[] {due, 1});
      customer.pendingUnitCount++;
      schedule(TimerKind.RETRY, due, null);
    }
    customer.lastReadUnits = customer.estimatedUnits = before - part;
    customer.hasReading = true;
    if (customer.lastTotalEpoch == customer.callEpoch
        && customer.addedUnits > 0) { // W over the sum of W since our last reading
      customer.usageShare +=
          (customer.addedUnits / Math.max(customer.addedUnits, total - customer.lastCounterTotal)
                  - customer.usageShare)
              * FAST_EWMA_WEIGHT;
      customer.usageShare = Math.max(customer.usageShare, 0.1 / customer.nodeSpread);
    }
    customer.lastTotalEpoch = customer.callEpoch;
    customer.lastCounterTotal = total + part - customer.requestedUnits + (far ? excess : 0);
    customer.lastReadAtMs = customer.estimatedAtMs = nowMs;
    double inside = wanted > 0 ? part / wanted : customer.grantShare;
    customer.grantShare +=
        (inside - customer.grantShare) / 2; // few readings, and the last tells most
    usualGrantShare += (inside - usualGrantShare) * SLOW_EWMA_WEIGHT;
    if (part < customer.requestedUnits) {
      customer.nextCallAtMs = nextQuotaTickMs();
      if ((callTokens < callsPerTick || customer.isCallUnanswered)
          && isUnderSampled(customer)) { // calls are scarce: it goes with the next add
        customer.unreportedUnits += part - customer.requestedUnits;
      } else {
        callCounter(
            customer,
            counterName(customer, customer.callEpoch),
            part - customer.requestedUnits,
            CounterCallKind.RELEASE);
      }
    }
    customer.isCallUnanswered = false;
  }

  /**
   * Two gateways may put the same excess right: the later one sees it twice gone and takes its
   * back.
   */
  private void correctionAnswered(Customer customer, boolean heard, double total) {
    if (heard
        && customer.correctedUnits > 0
        && accruedSinceEpoch(customer, customer.callEpoch) - total
            < Math.max(0, customer.lastReadUnits) - customer.correctedUnits / 2) {
      callCounter(
          customer,
          counterName(customer, customer.callEpoch),
          -customer.correctedUnits,
          CounterCallKind.RELEASE);
    }
  }

  /** Parts fall due; while the counter is away the share of the rate comes as last known. */
  private void accrue(Customer customer) {
    while (!customer.pendingUnits.isEmpty() && customer.pendingUnits.peek()[0] <= nowMs + 1e-6) {
      customer.credits += customer.pendingUnits.peek()[1];
      customer.pendingUnitCount -= customer.pendingUnits.poll()[1];
    }
    if (isUnshared(customer) || nowMs < counterSilentUntilMs) {
      double from = Math.max(customer.accruedAtMs, isUnshared(customer) ? 0 : counterSilentSinceMs);
      double room =
          Math.max(settings.maxRequestUnits(), customer.plan.burstUnits() * customer.usageShare);
      customer.usageShare +=
          (1.0 / customer.nodeSpread - customer.usageShare)
              * SLOW_EWMA_WEIGHT
              * Math.min(1, (nowMs - from) / QUOTA_TICK_MS);
      customer.credits =
          Math.max(
              customer.credits,
              Math.min(
                  room,
                  customer.credits
                      + customer.plan.ratePerSecond()
                          * customer.usageShare
                          * (nowMs - from)
                          / 1000));
    }
    customer.accruedAtMs = nowMs;
  }

  /** A slot of the open cap: by the count on the counter, by the even part while it is silent. */
  private boolean hasOpenSlot(Customer customer) {
    if (customer.plan.maxOpenRequests() <= 0
        || customer.inFlight < customer.openSlotEpochs.size()) {
      return true;
    }
    if (isUnshared(customer) || !canCallCounter()) {
      // the even part; where that is under one, one at a time while the last counts showed room
      return customer.inFlight < customer.plan.maxOpenRequests() / customer.nodeSpread
          || customer.inFlight == 0 && isEstimateTrusted(customer);
    }
    if (!customer.isCallInFlight && nowMs >= customer.nextCallAtMs) {
      customer.isCallInFlight = true;
      customer.slotEpoch = (long) Math.floor(nowMs / OPEN_COUNT_EPOCH_MS);
      callCounter(
          customer, openCountName(customer, customer.slotEpoch), 1, CounterCallKind.TAKE_OPEN_SLOT);
    }
    return false;
  }

  /** The answer to a try for a slot: within the cap it is ours, else given back and tried again. */
  private void openSlotAnswered(Customer customer, boolean heard, double total) {
    customer.isCallInFlight = false;
    customer.grantShare +=
        heard ? ((total <= customer.plan.maxOpenRequests() ? 1 : 0) - customer.grantShare) / 2 : 0;
    if (heard && total <= customer.plan.maxOpenRequests()) {
      customer.openSlotEpochs.add(customer.slotEpoch);
    } else if (heard) {
      callCounter(
          customer,
          openCountName(customer, customer.slotEpoch),
          -1,
          CounterCallKind.RELEASE_OPEN_SLOT);
      customer.nextCallAtMs = nowMs + RETRY_DELAY_MS;
      schedule(TimerKind.RETRY, customer.nextCallAtMs, null);
    }
  }

  private void releaseOpenSlots(Customer customer) {
    while (customer.openSlotEpochs.size() > customer.inFlight && customer.queue.isEmpty()) {
      callCounter(
          customer,
          openCountName(customer, customer.openSlotEpochs.poll()),
          -1,
          CounterCallKind.RELEASE_OPEN_SLOT);
    }
  }

  /** From here on a held request is of no use. */
  private double lastUsefulStartMs(PendingRequest request) {
    return Math.min(
        request.usefulUntilMs - MIN_MEAN_TIMES_LEFT * request.classStats.meanMs,
        request.deadlineMs - 2 * settings.tickMs());
  }

  private boolean isCovered(Customer customer, PendingRequest request) {
    accrue(customer);
    if (customer.plan.ratePerSecond() > 0
        && customer.credits < request.request.units()
        && !isCoveredByEstimate(customer, request)) {
      double weight =
          Math.ceil(customer.queuedUnits - customer.credits - customer.pendingUnitCount - 1e-6);
      // no use to add where the last reading leaves nothing in time; most of what has come since is
      // others'
      double part =
          Math.min(
              1, MAX_SHARES_PER_CLAIM * Math.max(customer.usageShare, 1.0 / customer.nodeSpread));
      double known =
          customer.lastReadUnits
              + customer.plan.ratePerSecond()
                  / 1000
                  * (lastUsefulStartMs(request) - customer.lastReadAtMs)
                  * part;
      if (weight > 0 && known >= request.request.units()) {
        reserve(customer, weight);
      }
      return false;
    }
    return isUnderHardCeiling(customer, request) && hasOpenSlot(customer);
  }

  /**
   * With no call to spare, or none answered, a request goes by belief, where being right earns
   * more: by the store as last read, less what was sent here since, times what all send for one of
   * ours; and by what was covered then.
   */
  private boolean isCoveredByEstimate(Customer customer, PendingRequest request) {
    boolean unheard = customer.isCallUnanswered && nowMs < customer.nextCallAtMs;
    return !isUnshared(customer)
        && (!customer.isCallInFlight || unheard)
        && (unheard || !canCallCounter() || canSpareCall(customer))
        && customer.plan.ceilingRatePerSecond() <= 0
        && !request.request.isClientRetry()
        && isEstimateTrusted(customer)
        && estimatedUnits(customer)
            >= request.request.units()
                + Math.min(
                    UNSEEN * customer.plan.burstUnits(),
                    customer.plan.ratePerSecond() / 1000 * (nowMs - customer.lastReadAtMs));
  }

  /**
   * The last calls of an edge are left to customers whose stores may be short; a full one is told
   * of later.
   */
  private boolean canSpareCall(Customer customer) {
    return customer.hasReading
        && callTokens < callsPerTick * estimatedUnits(customer) / customer.plan.burstUnits();
  }

  /** Sending earns more than it costs, by what the plan tells, and servers are not pressed. */
  private boolean isEstimateTrusted(Customer customer) {
    double cost = customer.plan.overQuotaCost();
    return pacePerSecond >= OVERLOADED_PACE_SHARE * arrivalsPerSecond
        && customer.grantShare
            > cost / (1 + cost - Math.min(customer.plan.overQuotaWeight(), 0.99));
  }

  private double estimatedUnits(Customer customer) {
    return Math.min(
        customer.plan.burstUnits(),
        customer.estimatedUnits
            + customer.plan.ratePerSecond() / 1000 * (nowMs - customer.estimatedAtMs));
  }

  // ---- dispatch ----

  /**
   * Serves the customers in turn, the earliest useful request of each first, while servers have
   * room.
   */
  private void dispatchQueued() {
    int blocked = 0;
    while (blocked < dispatchRing.size()) {
      Customer customer = dispatchRing.poll();
      if (customer.queue.isEmpty()) {
        customer.isInRing = false;
        continue;
      }
      dispatchRing.add(customer);
      PendingRequest request = customer.queue.first();
      if (!isCovered(customer, request)) {
        blocked++;
        continue;
      }
      Host endpoint = hasPaceToken() ? chooseEndpoint(request) : null;
      if (endpoint == null) {
        return;
      }
      removeFromQueue(request);
      underSampledSentUnits += isUnderSampled(customer) ? request.request.units() : 0;
      customer.credits -= customer.plan.ratePerSecond() > 0 ? request.request.units() : 0;
      customer.ceilingUnits -= request.request.units();
      if (customer.credits < 0 || nowMs < counterSilentUntilMs) { // told with the next add
        customer.estimatedUnits =
            estimatedUnits(customer) - request.request.units() / customer.usageShare;
        customer.estimatedAtMs = nowMs;
        customer.unreportedUnits +=
            customer.credits < 0 ? -customer.credits : request.request.units();
        customer.credits = Math.max(0, customer.credits);
      }
      schedule(TimerKind.DEADLINE, request.deadlineMs, request);
      sendAttempt(request, endpoint);
      blocked = 0;
    }
  }

  /**
   * All servers late alike: this gateway slows down, as a bound at each server sees too few
   * answers.
   */
  private boolean hasPaceToken() {
    if (pacePerSecond == UNPACED) {
      return true;
    }
    double most = Math.max(2, pacePerSecond * QUOTA_TICK_MS / 1000);
    paceTokens = Math.min(most, paceTokens + pacePerSecond * (nowMs - paceRefilledAtMs) / 1000);
    paceRefilledAtMs = nowMs;
    if (paceTokens < 1 && nowMs >= paceWakeAtMs) {
      paceWakeAtMs = nowMs + Math.max(settings.tickMs(), (1 - paceTokens) / pacePerSecond * 1000);
      schedule(TimerKind.RETRY, paceWakeAtMs, null);
    }
    return paceTokens >= 1; // one and another's retry may always be out
  }

  /** A gateway with few answers takes larger steps, so that all are as quick down and up again. */
  private void adjustPace(boolean late) {
    double step = Math.max(MIN_PACE_STEP, Math.min(0.25, 1 / Math.max(1, arrivalsPerSecond)));
    double most = Math.max(1, 2 * arrivalsPerSecond);
    if (late) {
      if (pacePerSecond == UNPACED) { // from here on it counts
        paceTokens = 2;
        paceRefilledAtMs = nowMs;
      }
      pacePerSecond =
          Math.max(
              Math.max(0.1, arrivalsPerSecond / 8),
              Math.min(pacePerSecond, most) * Math.pow(1 - step, 3));
    } else {
      pacePerSecond =
          pacePerSecond + step * arrivalsPerSecond < most
              ? pacePerSecond + step * arrivalsPerSecond
              : UNPACED;
    }
  }

  // ---- server choice and health ----

  /**
   * The server with the least (requests out + 1) x slowness, of those that may get this request. Of
   * a subset some are looked at, and all only where none of these may (the power of few choices,
   * Mitzenmacher 2001).
   */
  private Host chooseEndpoint(PendingRequest request) {
    if (!subset.holdsAll()
        && isGroupBound(request.classStats.requestClass)
        && !request.attempts.isEmpty()) {
      addGroupMembers(request);
      return bestOf(request, hosts.values());
    }
    Host best = null;
    if (!subset.holdsAll() && view.size() > SAMPLED_ENDPOINTS + RECENT_ENDPOINTS) {
      List<Host> some = new ArrayList<>(Arrays.asList(recentEndpoints));
      random.ints(SAMPLED_ENDPOINTS, 0, view.size()).forEach(i -> some.add(view.get(i)));
      best = bestOf(request, some);
    }
    best = best == null ? bestOf(request, view) : best;
    isSubsetFull |= best == null;
    return best;
  }

  /** Where a subset holds too few of a request's group, others are known until the next edge. */
  private void addGroupMembers(PendingRequest request) {
    request.attempts.stream()
        .map(a -> groupOf(request.classStats.requestClass, a.endpoint.info))
        .distinct()
        .flatMap(g -> subset.groupMembers(g, MAX_GROUP_MEMBERS).stream())
        .filter(s -> !subset.contains(s.id()))
        .toList()
        .forEach(
            s -> {
              updateEndpoint(s);
              hosts.get(s.id()).isListed = true;
            });
  }

  private static boolean isGroupBound(RequestClass requestClass) {
    return requestClass.idempotency() == Idempotency.KEYED
        && requestClass.group() != IdempotencyGroup.ALL;
  }

  private static Object groupOf(RequestClass requestClass, EndpointInfo info) {
    return requestClass.group() == IdempotencyGroup.ZONE ? info.zone() : (Object) info.cell();
  }

  private Object[] groupsOf(EndpointInfo info) {
    return settings.requestClasses().stream()
        .filter(PolicyEngine::isGroupBound)
        .map(c -> groupOf(c, info))
        .distinct()
        .toArray();
  }

  private Host bestOf(PendingRequest request, Collection<Host> some) {
    Host best = null;
    double bestScore = 0;
    boolean keeps = settings.capabilities().keepAliveMs() > 0;
    for (Host endpoint : some) {
      if (endpoint == null || !isEligible(request, endpoint) || !hasCapacity(endpoint)) {
        continue;
      }
      double score =
          (endpoint.inFlight.size() + 1)
              * currentSlowdown(endpoint); // a cold one has its budget, and that is spent
      // a hundred nodes would connect to all
      score *=
          endpoint.inFlight.isEmpty()
                  && nowMs >= endpoint.connectedUntilMs
                  && warmCapacityShare(endpoint) >= 1
                  && keeps
              ? HANDSHAKE_COST_FACTOR
              : 1;
      boolean been = request.attempts.stream().anyMatch(a -> a.endpoint == endpoint);
      score *=
          (1 + 0.1 * random.nextDouble())
              * (1 + 8 * failureShare(endpoint, request.classStats))
              * (been ? 8 : 1);
      if (best == null || score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
    }
    return best;
  }

  /** How likely this server fails this class, or cannot be reached; forgotten in time. */
  private double failureShare(Host endpoint, RequestClassStats type) {
    double[] seen = endpoint.failureShares.get(type);
    return seen == null
        ? 0
        : seen[0] * Math.pow(0.5, (nowMs - seen[1]) / (4 * SLOWDOWN_HALF_LIFE_MS));
  }

  /**
   * How much slower than usual: the EWMA, forgotten in time, or what the oldest attempt out shows.
   */
  private double currentSlowdown(Host endpoint) {
    double slow =
        1
            + (endpoint.slowdown - 1)
                * Math.pow(0.5, (nowMs - endpoint.slowdownAtMs) / SLOWDOWN_HALF_LIFE_MS);
    if (!endpoint.inFlight.isEmpty()) {
      Attempt attempt = endpoint.inFlight.iterator().next();
      slow = Math.max(slow, (nowMs - attempt.sentAtMs) / attempt.request.classStats.meanMs / 2);
    }
    return slow;
  }

  /**
   * Room under the bound; a bound under one is a pause, as one attempt of every node can be too
   * much.
   */
  private boolean hasCapacity(Host endpoint) {
    return endpoint.inFlight.isEmpty()
        ? endpoint.concurrencyLimit >= 1
            || nowMs >= endpoint.lastSentMs + meanLatencyObjectiveMs / 2 / endpoint.concurrencyLimit
        : !endpoint.isOnTrial && endpoint.inFlight.size() + 1 <= endpoint.concurrencyLimit;
  }

  /** Additive increase where the bound was reached and the answer quick, else decrease. */
  private void adjustConcurrencyLimit(Host endpoint, RequestClassStats type, double took) {
    if (took
        <= type.requestClass.latencyObjectiveMs()
            / 2) { // later ones were counted when they became late
      adjustPace(false);
    }
    if (took
        > type.requestClass.latencyObjectiveMs()
            / 4) { // the rest is for waiting here and another try
      endpoint.concurrencyLimit =
          Math.max(MIN_CONCURRENCY_LIMIT, endpoint.concurrencyLimit * CONCURRENCY_DECREASE_FACTOR);
    } else if (endpoint.inFlight.size() + 1 >= (int) endpoint.concurrencyLimit) {
      endpoint.concurrencyLimit += 1 / Math.max(1, endpoint.concurrencyLimit);
    }
  }

  private void recordOutcome(
      Host endpoint, RequestClassStats type, CallOutcome outcome, double took) {
    boolean ok = outcome == CallOutcome.OK;
    endpoint.connectedUntilMs =
        ok || outcome == CallOutcome.ERROR
            ? nowMs + IDLE_CONNECTION_SHARE * settings.capabilities().keepAliveMs()
            : Double.NEGATIVE_INFINITY;
    if (outcome != CallOutcome.CANCELLED && outcome != CallOutcome.NOT_SENT) {
      endpoint.failureShares.put(
          type, new double[] {(failureShare(endpoint, type) + (ok ? 0 : 1)) / 2, nowMs});
    }
    switch (outcome) {
      case OK -> {
        recordSlowdown(endpoint, took / type.meanMs);
        type.meanMs += (took - type.meanMs) * SLOW_EWMA_WEIGHT;
        adjustConcurrencyLimit(endpoint, type, took);
        if (endpoint.wasUnreachable) {
          startWarmUp(endpoint, nowMs); // it may have restarted before the list says so
        }
        endpoint.faultScore = 0;
        endpoint.isOnTrial = false;
        endpoint.wasUnreachable = false;
        endpoint.ejections = 0;
      }
      case TIMEOUT -> {
        recordSlowdown(endpoint, Math.max(1, took / type.meanMs));
        type.meanMs += Math.max(0, took - type.meanMs) * SLOW_EWMA_WEIGHT; // at least so long
        adjustConcurrencyLimit(endpoint, type, took);
        recordFault(endpoint, 1);
      }
      case FULL -> {
        recordSlowdown(endpoint, 2 * endpoint.slowdown);
        recordFault(endpoint, 0.5);
      }
      case NO_CONNECTION -> { // one may be chance; a dead process fails the next and the trial too
        endpoint.wasUnreachable |= endpoint.isOnTrial;
        recordFault(endpoint, 2);
      }
      case RESET -> recordFault(endpoint, 1); // one connection: a process that died resets all
      default -> {}
    }
  }

  private void recordSlowdown(Host endpoint, double value) {
    endpoint.slowdown =
        1
            + (endpoint.slowdown - 1)
                * Math.pow(0.5, (nowMs - endpoint.slowdownAtMs) / SLOWDOWN_HALF_LIFE_MS);
    endpoint.slowdown += (Math.min(value, 30) - endpoint.slowdown) * FAST_EWMA_WEIGHT;
    endpoint.slowdownAtMs = nowMs;
  }

  /** Ejects on evidence, for longer each time, and never more than half of the subset. */
  private void recordFault(Host endpoint, double weight) {
    endpoint.faultScore += weight;
    if (endpoint.faultScore < 3 && !endpoint.isOnTrial || nowMs < endpoint.ejectedUntilMs) {
      return;
    }
    if (2 * ejectedCount(nowMs) + 2 <= view.stream().filter(o -> o.isListed).count()) {
      endpoint.ejectedUntilMs = nowMs + FIRST_EJECTION_MS * Math.pow(2, endpoint.ejections);
      endpoint.ejections = Math.min(endpoint.ejections + 1, MAX_EJECTION_DOUBLINGS);
      endpoint.isOnTrial = true;
    }
  }

  // ---- attempts: sends, retries ----

  private void sendAttempt(PendingRequest request, Host endpoint) {
    Attempt attempt = new Attempt(request, endpoint, nowMs);
    request.attempts.add(attempt);
    request.inFlight++;
    request.customer.inFlight++;
    endpoint.inFlight.add(attempt);
    endpoint.slowStartTokens -= 1;
    endpoint.lastSentMs = nowMs;
    recentEndpoints[recentIndex++ % RECENT_ENDPOINTS] = endpoint;
    warmSendsInTick += warmCapacityShare(endpoint) >= 1 ? 1 : 0;
    paceTokens--;
    schedule(
        TimerKind.LATE_ANSWER,
        nowMs + request.classStats.requestClass.latencyObjectiveMs() / 2,
        request);
    actions.send(request.request.id(), endpoint.id, 0);
  }

  /**
   * Every attempt has ended without an answer: try elsewhere where it is allowed and of use, or
   * answer.
   */
  private void retryOrAnswer(PendingRequest request) {
    if (nowMs >= request.usefulUntilMs
        || nowMs >= request.deadlineMs - 2 * settings.tickMs()
        || !canRetry(request)
        || request.attempts.size() >= settings.capabilities().maxAttempts()) {
      rejectOrFail(request);
      return;
    }
    Host endpoint =
        hasPaceToken()
            ? chooseEndpoint(request)
            : null; // the pace is the retry budget too: all that is sent goes by it
    if (endpoint == null) {
      schedule(TimerKind.RETRY, nowMs + RETRY_DELAY_MS, request);
    } else {
      sendAttempt(request, endpoint);
    }
  }

  /** The final answer of a request that no attempt can answer any more. */
  private void rejectOrFail(PendingRequest request) {
    if (canReject(request)) {
      // what was short is so for a while: a client that comes back sooner costs calls and finds no
      // more
      actions.reject(
          request.request.id(),
          settings.capabilities().canSendRetryAfter()
              ? settings.capabilities().maxRetryAfterMs()
              : 0);
    } else {
      actions.fail(request.request.id());
    }
    finish(request);
  }

  private void finish(PendingRequest request) {
    for (int i = 0;
        i < request.attempts.size()
            && !request.isFinished
            && !request.isStreaming
            && settings.capabilities().canCancel();
        i++) {
      if (request.attempts.get(i).outcome == null) {
        actions.cancel(request.request.id(), i);
      }
    }
    request.isFinished = true;
    removeFromQueue(request);
    if (request.inFlight == 0) {
      pendingRequests.remove(request.request.id());
    }
  }

  private static void removeFromQueue(PendingRequest request) {
    if (request.customer.queue.remove(request)) {
      request.customer.queuedUnits -= request.request.units();
    }
  }

  // ---- guards for the rules ----

  /** Drains, ejections, groups and cold budgets: may this request go to this server now? */
  private boolean isEligible(PendingRequest request, Host endpoint) {
    return endpoint.isListed
        && nowMs >= endpoint.ejectedUntilMs
        && isInAllowedGroup(request, endpoint)
        && (warmCapacityShare(endpoint) >= 1 || slowStartBudget(endpoint) >= 1);
  }

  /**
   * This gateway's part of what a cold server can bear: its mean to a warm one, scaled to what this
   * one can do. It starts anywhere under one send, as one send of each gateway at once would be far
   * too much.
   */
  private double slowStartBudget(Host endpoint) {
    double most = Math.max(1, settings.rules().overloadFactor() / 2);
    double rate = warmRatePerSecond / 1000 * warmCapacityShare(endpoint) * most;
    endpoint.slowStartTokens =
        Math.min(
            Math.max(1, rate * settings.rules().overloadWindowMs()),
            endpoint.slowStartTokens + rate * (nowMs - endpoint.slowStartRefilledAtMs));
    endpoint.slowStartRefilledAtMs = nowMs;
    return endpoint.slowStartTokens;
  }

  private void startWarmUp(Host endpoint, double since) {
    if (warmCapacityShare(endpoint) >= 1) {
      endpoint.slowStartTokens = random.nextDouble();
      endpoint.slowStartRefilledAtMs = nowMs;
    }
    endpoint.warmUpStartMs = Math.max(endpoint.warmUpStartMs, since);
  }

  /** The least capacity that a server can have by now, 1 when it is warm. */
  private double warmCapacityShare(Host endpoint) {
    double age = nowMs - endpoint.warmUpStartMs;
    double cold = settings.rules().coldCapacityShare();
    double warm = settings.rules().warmUpMs();
    return age >= warm ? 1 : cold + (1 - cold) * Math.max(0, age) / warm;
  }

  /** Whether another attempt may go out now, wherever it goes; two are never out together. */
  private boolean canRetry(PendingRequest request) {
    OptionalDouble ran =
        request.attempts.stream().filter(Attempt::mayHaveRun).mapToDouble(a -> a.sentAtMs).min();
    return ran.isEmpty()
        || switch (request.classStats.requestClass.idempotency()) {
          case IDEMPOTENT -> true;
          case KEYED ->
              nowMs - ran.getAsDouble()
                  < request.classStats.requestClass.idempotencyWindowMs() - 2 * settings.tickMs();
          case NOT_IDEMPOTENT -> false;
        };
  }

  private boolean isInAllowedGroup(PendingRequest request, Host endpoint) {
    IdempotencyGroup group = request.classStats.requestClass.group();
    return request.classStats.requestClass.idempotency() != Idempotency.KEYED
        || group == IdempotencyGroup.ALL
        || request.attempts.stream()
            .noneMatch(
                a ->
                    a.mayHaveRun()
                        && (group == IdempotencyGroup.ZONE
                            ? !a.endpoint.info.zone().equals(endpoint.info.zone())
                            : a.endpoint.info.cell() != endpoint.info.cell()));
  }

  private static boolean canReject(PendingRequest request) {
    return request.classStats.requestClass.idempotency() == Idempotency.IDEMPOTENT
        || request.classStats.requestClass.idempotency() == Idempotency.KEYED
            && request.classStats.requestClass.group() == IdempotencyGroup.ALL
        || request.attempts.stream().noneMatch(Attempt::mayHaveRun);
  }

  /**
   * The hard ceiling: the even part rounded down, empty at the start, whatever the counter says.
   */
  private boolean isUnderHardCeiling(Customer customer, PendingRequest request) {
    if (customer.plan.ceilingRatePerSecond() <= 0) {
      return true;
    }
    customer.ceilingUnits =
        Math.min(
            Math.floor(customer.plan.ceilingBurstUnits() / customer.nodeSpread),
            customer.ceilingUnits
                + (nowMs - customer.ceilingAtMs)
                    / 1000
                    * customer.plan.ceilingRatePerSecond()
                    / customer.nodeSpread);
    customer.ceilingAtMs = nowMs;
    return customer.ceilingUnits >= request.request.units();
  }

  // ---- timers ----

  private void schedule(TimerKind kind, double atMs, PendingRequest request) {
    timers.add(new Timer(atMs, nextSerial++, kind, request));
    if (atMs < armedAtMs - 1e-6) {
      armedAtMs = atMs;
      actions.setTimer(Math.max(0, armedAtMs - nowMs), 0);
    }
  }

  private void advanceTo(double eventMs) {
    nowMs = Math.max(nowMs, eventMs);
    while (!timers.isEmpty() && timers.peek().atMs <= nowMs) {
      Timer timer = timers.poll();
      PendingRequest request = timer.request;
      switch (timer.kind) {
        case QUOTA_TICK -> onQuotaTick();
        case SUBSCRIBE -> actions.subscribe();
        case QUEUE_EXPIRY -> {
          if (!request.isFinished && request.attempts.isEmpty()) {
            request.customer.shortUntilMs =
                nowMs + request.classStats.requestClass.latencyObjectiveMs();
            rejectOrFail(request); // held until it would be late
          }
        }
        case LATE_ANSWER -> {
          double sent = request.attempts.get(request.attempts.size() - 1).sentAtMs;
          if (request.inFlight > 0
              && sent <= nowMs - request.classStats.requestClass.latencyObjectiveMs() / 2) {
            adjustPace(true);
          }
        }
        case DEADLINE -> {
          if (!request.isFinished && !request.isStreaming) {
            rejectOrFail(request);
          }
        }
        default -> {
          if (request != null && !request.isFinished && request.inFlight == 0) {
            retryOrAnswer(request);
          }
        }
      }
    }
  }
}
