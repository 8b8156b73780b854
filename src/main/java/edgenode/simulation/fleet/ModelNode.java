package edgenode.simulation.fleet;

import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.membership.MembershipUpdate;
import edgenode.node.EdgeNode;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.RequestClass;
import io.netty.util.collection.LongObjectHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/**
 * An edge node without its sockets, from its start to its end: the decision module and the
 * membership core as {@code Node} and {@code MembershipService} host them, on virtual time. It
 * counts and decides nothing.
 */
final class ModelNode implements PolicyActions {
  private static final double[] NO_LOAD = new double[0];

  /** Between tries of a server that is dead or held (ms), as {@code MembershipService} has it. */
  private static final double PROBE_INTERVAL_MS = 250;

  /** One event in so many is timed. */
  private static final int CPU_SAMPLE_INTERVAL = 8;

  private static final String SOURCE_NAME = "discovery";

  /** A request, from its arrival to the end of its last attempt. */
  static final class PendingRequest {
    final long id;
    final FleetSimulation.Tenant tenant;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>(1);
    private int inFlight;
    private boolean isOver;

    PendingRequest(long id, FleetSimulation.Tenant tenant, double deadline) {
      this.id = id;
      this.tenant = tenant;
      this.deadlineMs = deadline;
    }
  }

  static final class Attempt {
    final PendingRequest request;
    final int number;
    final AppServerModel server;
    final int incarnation;
    final double sentMs;
    private boolean hasEnded;

    Attempt(PendingRequest request, AppServerModel server, double sent) {
      this.request = request;
      this.server = server;
      this.sentMs = sent;
      number = request.attempts.size();
      incarnation = server.incarnation;
    }
  }

  final int place;
  private final FleetSimulation fleet;
  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final DiscoveryModel discovery;
  private final PolicySettings settings;
  private PolicyEvents policy;
  private Membership membership;
  private final LongObjectHashMap<PendingRequest> openRequests = new LongObjectHashMap<>();

  /**
   * By place on the list: shown as up; ever sent to; when last; which change was last seen in
   * force.
   */
  private final BitSet shownUp;

  private final BitSet usedServers;
  private final float[] lastUsedMs;
  private final int[] appliedChangeCount;
  private boolean isKilled;
  private boolean isReady;
  private boolean isPartitioned;
  private boolean isProbeScheduled;
  private double tickDueMs = Double.POSITIVE_INFINITY;

  ModelNode(
      FleetSimulation fleet,
      int place,
      DiscoveryModel discovery,
      PolicySettings settings,
      EdgeNode.PolicyFactory policyFactory,
      long seed) {
    this.fleet = fleet;
    this.place = place;
    this.discovery = discovery;
    this.settings = settings;
    timeline = fleet.timeline();
    counters = fleet.counters();
    shownUp = new BitSet(discovery.size());
    usedServers = new BitSet(discovery.size());
    lastUsedMs = new float[discovery.size()];
    appliedChangeCount = new int[discovery.size()];
    java.util.Arrays.fill(lastUsedMs, Float.NEGATIVE_INFINITY);
    membership =
        new Membership(MembershipLimits.defaults(settings.rules().warmUpMs()), SOURCE_NAME);
    long startNs = FleetCounters.threadCpuNs();
    policy = policyFactory.create(settings, seed, timeline.nowMs(), this);
    counters.policyCpuNs += FleetCounters.threadCpuNs() - startNs;
  }

  /** Begins with a list that was known before, as after a deployment, or with none. */
  void start(boolean hasInitialList) {
    if (hasInitialList) {
      WireFormats.ListMessage list = discovery.completeList();
      long startNs = FleetCounters.threadCpuNs();
      MembershipUpdate changes =
          membership.loadInitialList(timeline.nowMs(), list.version(), list.entries());
      counters.membershipCpuNs += FleetCounters.threadCpuNs() - startNs;
      isReady = true;
      apply(changes);
    }
    discovery.watch(this, membership.resumeVersion());
  }

  /** The process is killed: nothing of it speaks any more. */
  void kill() {
    isKilled = true;
    discovery.unwatch(this);
    for (PendingRequest request :
        openRequests.values()) { // what should have been answered long ago did not die with it
      boolean isLate = timeline.nowMs() > request.deadlineMs + settings.rules().answerGraceMs();
      counters.unanswered += !request.isOver && isLate ? 1 : 0;
      counters.lostWithNode += request.isOver || isLate ? 0 : 1;
    }
    openRequests.clear();
  }

  /** Neither discovery nor the counter can be reached. */
  void setPartitioned(boolean partitioned) {
    isPartitioned = partitioned;
    if (partitioned) {
      discovery.unwatch(this);
    } else {
      discovery.watch(this, membership.resumeVersion());
    }
  }

  boolean isReady() {
    return isReady;
  }

  boolean isKilled() {
    return isKilled;
  }

  BitSet usedServers() {
    return usedServers;
  }

  PolicySettings settings() {
    return settings;
  }

  /** Lets the cores go, so that what they held can be weighed. */
  void dropCores() {
    policy = null;
    membership = null;
  }

  /** Requests that have no answer, and servers that are shown otherwise than discovery has them. */
  void close() {
    for (PendingRequest request : openRequests.values()) {
      counters.unanswered += request.isOver ? 0 : 1;
    }
    openRequests.clear();
    for (int i = 0; i < discovery.size(); i++) {
      boolean isActive =
          fleet.server(discovery.firstServer() + i).health == AppServerModel.Health.ACTIVE;
      counters.differingEntries += isActive == shownUp.get(i) ? 0 : 1;
    }
  }

  /**
   * The thread's CPU, as a busy machine would count the waits too; not at each event, as asking is
   * dear itself.
   */
  private void timedEvent(Runnable event) {
    if (counters.policyEvents++ % CPU_SAMPLE_INTERVAL != 0) {
      event.run();
      return;
    }
    long startNs = FleetCounters.threadCpuNs();
    event.run();
    counters.policyCpuNs += CPU_SAMPLE_INTERVAL * (FleetCounters.threadCpuNs() - startNs);
  }

  private void notifyPolicy(List<EndpointInfo> endpoints, boolean isComplete) {
    double nowMs = timeline.nowMs();
    long startNs = FleetCounters.threadCpuNs();
    policy.endpointsChanged(nowMs, endpoints, isComplete);
    counters.policyCpuNs += FleetCounters.threadCpuNs() - startNs;
  }

  // ---- from clients ----

  void requestArrived(RequestClass requestClass, FleetSimulation.Tenant tenant) {
    long id = fleet.nextId();
    counters.arrived++;
    double nowMs = timeline.nowMs();
    openRequests.put(id, new PendingRequest(id, tenant, nowMs + requestClass.deadlineMs()));
    timedEvent(
        () ->
            policy.requestArrived(
                nowMs,
                new IncomingRequest(
                    id,
                    requestClass.name(),
                    tenant.plan(),
                    tenant.name(),
                    requestClass.deadlineMs(),
                    1,
                    tenant.spread(),
                    0,
                    false)));
  }

  // ---- from app servers ----

  /** An attempt has ended, if its node still lives and nothing has ended it before. */
  void attemptEnded(Attempt attempt, CallOutcome outcome) {
    if (isKilled || attempt.hasEnded) {
      return;
    }
    attempt.hasEnded = true;
    PendingRequest request = attempt.request;
    request.inFlight--;
    if (outcome == CallOutcome.OK && !request.isOver) {
      request.isOver = true;
      counters.served++;
    }
    double nowMs = timeline.nowMs();
    fleet.record(place, 2, request.id, outcome.ordinal());
    timedEvent(
        () ->
            policy.attemptEnded(
                nowMs,
                request.id,
                attempt.number,
                outcome,
                nowMs - attempt.sentMs,
                request.isOver,
                0,
                NO_LOAD));
    removeIfDone(request);
    if (outcome == CallOutcome.OK) {
      MembershipUpdate changes = membership.responded(nowMs, "s" + attempt.server.index);
      if (changes != MembershipUpdate.NONE) { // as with nearly every answer
        apply(changes);
      }
    }
  }

  private void removeIfDone(PendingRequest request) {
    if (request.isOver && request.inFlight == 0) {
      openRequests.remove(request.id);
    }
  }

  void unreachable(AppServerModel server, boolean isRefused) {
    if (!isKilled) {
      membershipEvent(
          () -> membership.connectFailed(timeline.nowMs(), "s" + server.index, isRefused, 0));
    }
  }

  // ---- from the counter ----

  void counterCallEnded(long name, CallOutcome outcome, double sentMs, double total) {
    if (!isKilled) {
      double nowMs = timeline.nowMs();
      timedEvent(() -> policy.counterCallEnded(nowMs, name, outcome, nowMs - sentMs, total));
    }
  }

  // ---- from discovery ----

  /** A list or change has come. */
  void listReceived(WireFormats.ListMessage message) {
    if (isKilled || isPartitioned) {
      return;
    }
    if (message.isComplete()) {
      counters.completeLists++;
      counters.completeListBytes += message.bytes();
    } else {
      counters.changeMessages++;
      counters.changeBytes += message.bytes();
      counters.changesSent += message.entries().size();
    }
    if (!isReady) { // what changed before it came is not late here
      isReady = true;
      for (int i = 0; i < appliedChangeCount.length; i++) {
        appliedChangeCount[i] = fleet.server(discovery.firstServer() + i).changeCount;
      }
    }
    membershipEvent(
        () ->
            membership.endpointsReceived(
                timeline.nowMs(),
                SOURCE_NAME,
                message.version(),
                message.isComplete(),
                message.entries()));
    for (DiscoveredEndpoint endpoint : message.entries()) {
      changeApplied(serverIndex(endpoint.info().id()));
    }
  }

  /** Nothing has changed. */
  void heartbeatReceived() {
    if (!isKilled && !isPartitioned) {
      counters.heartbeatBytes += Assumptions.HEARTBEAT_BYTES;
      membershipEvent(() -> membership.sourceConfirmed(timeline.nowMs(), SOURCE_NAME));
    }
  }

  private void membershipEvent(java.util.function.Supplier<MembershipUpdate> event) {
    long startNs = FleetCounters.threadCpuNs();
    MembershipUpdate changes = event.get();
    counters.membershipCpuNs += FleetCounters.threadCpuNs() - startNs;
    apply(changes);
  }

  private static int serverIndex(String id) {
    return Integer.parseInt(id, 1, id.length(), 10);
  }

  private void apply(MembershipUpdate changes) {
    if (!changes.endpoints().isEmpty()) {
      List<EndpointInfo> list = new ArrayList<>(changes.endpoints().size());
      for (DiscoveredEndpoint endpoint : changes.endpoints()) {
        list.add(endpoint.info());
        int index = serverIndex(endpoint.info().id());
        shownUp.set(index - discovery.firstServer(), endpoint.info().state() == EndpointState.UP);
        changeApplied(index);
      }
      notifyPolicy(list, changes.isComplete());
    }
    if (changes.mustResync()) {
      discovery.resync(this);
    }
    scheduleProbes();
    scheduleTick();
  }

  /** Whether the last change of a server is in force here, and how long that took. */
  private void changeApplied(int index) {
    AppServerModel server = fleet.server(index);
    int position = index - discovery.firstServer();
    if (server.changeCount > appliedChangeCount[position]
        && shownUp.get(position) == (server.health == AppServerModel.Health.ACTIVE)) {
      appliedChangeCount[position] = server.changeCount;
      if (server.changedAtMs > 0) {
        counters.changeLatencyUs.recordValue(
            Math.max(0, Math.round((timeline.nowMs() - server.changedAtMs) * 1000)));
      }
    }
  }

  private void scheduleProbes() {
    if (isProbeScheduled || membership.endpointsToProbe().isEmpty()) {
      return;
    }
    isProbeScheduled = true;
    timeline.scheduleAfter(
        PROBE_INTERVAL_MS,
        () -> {
          isProbeScheduled = false;
          if (isKilled) {
            return;
          }
          Collection<String> serverIds = new ArrayList<>(membership.endpointsToProbe());
          counters.probes += serverIds.size();
          for (String id : serverIds) {
            AppServerModel server = fleet.server(serverIndex(id));
            timeline.scheduleAfter(
                server.isUp
                    ? 2 * Assumptions.ONE_WAY_LATENCY_MS
                    : server.isUnresponsive
                        ? Assumptions.CONNECT_TIMEOUT_MS
                        : 2 * Assumptions.ONE_WAY_LATENCY_MS,
                () -> probeEnded(server));
          }
          scheduleProbes();
        });
  }

  private void probeEnded(AppServerModel server) {
    if (!isKilled) {
      if (server.isUp) {
        membershipEvent(() -> membership.connected(timeline.nowMs(), "s" + server.index));
      } else {
        membershipEvent(
            () ->
                membership.connectFailed(
                    timeline.nowMs(), "s" + server.index, !server.isUnresponsive, 0));
      }
    }
  }

  /** One timer for what time alone changes. */
  private void scheduleTick() {
    double tickMs = membership.nextTickMs();
    if (tickMs >= tickDueMs || tickMs == Double.POSITIVE_INFINITY) {
      return;
    }
    tickDueMs = tickMs;
    timeline.scheduleAt(
        Math.max(timeline.nowMs() + 1, tickMs),
        () -> {
          if (!isKilled && tickDueMs == tickMs) {
            tickDueMs = Double.POSITIVE_INFINITY;
            membershipEvent(() -> membership.tick(timeline.nowMs()));
          }
        });
  }

  // ---- actions of the module ----

  @Override
  public void send(long id, String server, double untilMs) {
    int index = serverIndex(server);
    int position = index - discovery.firstServer();
    counters.sends++;
    fleet.record(place, 1, id, index);
    boolean isListed = position >= 0 && position < discovery.size();
    counters.sendsToDown += isListed && shownUp.get(position) ? 0 : 1;
    PendingRequest request = openRequests.get(id);
    if (request == null || request.isOver || !isListed) {
      counters.sendsAfterEnd += isListed ? 1 : 0;
      return;
    }
    double nowMs = timeline.nowMs();
    counters.connects += nowMs - lastUsedMs[position] > Assumptions.KEEP_ALIVE_MS ? 1 : 0;
    lastUsedMs[position] = (float) nowMs;
    usedServers.set(position);
    Attempt sent = new Attempt(request, fleet.server(index), nowMs);
    if (request.attempts.isEmpty()) {
      fleet.unitForwarded(request.tenant);
    }
    request.attempts.add(sent);
    request.inFlight++;
    if (nowMs >= request.deadlineMs || sent.number >= settings.capabilities().maxAttempts()) {
      timeline.scheduleAfter(0, () -> attemptEnded(sent, CallOutcome.NOT_SENT));
      return;
    }
    fleet.forward(this, sent);
  }

  @Override
  public void cancel(long id, int attempt) {
    PendingRequest request = openRequests.get(id);
    if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
      Attempt cancelled = request.attempts.get(attempt);
      timeline.scheduleAfter(0, () -> attemptEnded(cancelled, CallOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(long id, double retryAfterMs) {
    counters.rejected += finish(id, 3) ? 1 : 0;
  }

  @Override
  public void fail(long id) {
    counters.failed += finish(id, 4) ? 1 : 0;
  }

  private boolean finish(long id, int eventKind) {
    PendingRequest request = openRequests.get(id);
    if (request == null || request.isOver) {
      counters.answeredAgain++;
      return false;
    }
    fleet.record(place, eventKind, id, 0);
    request.isOver = true;
    if (request.inFlight == 0) {
      timeline.scheduleAfter(0, () -> removeIfDone(request)); // the module is within its own event
    }
    return true;
  }

  @Override
  public void setTimer(double delayMs, long token) {
    double dueMs = timeline.nowMs() + delayMs;
    timeline.scheduleAt(
        dueMs,
        () -> {
          if (!isKilled) {
            timedEvent(() -> policy.timerFired(Math.max(timeline.nowMs(), dueMs), token));
          }
        });
  }

  @Override
  public void checkHealth(String server) {
    double sentMs = timeline.nowMs();
    timeline.scheduleAfter(
        2 * Assumptions.ONE_WAY_LATENCY_MS,
        () -> {
          if (!isKilled) {
            timedEvent(
                () ->
                    policy.healthCheckEnded(
                        timeline.nowMs(),
                        server,
                        CallOutcome.OK,
                        timeline.nowMs() - sentMs,
                        NO_LOAD));
          }
        });
  }

  @Override
  public void addToCounter(long name, double amount, double ttlMs) {
    fleet.record(place, 5, name, Double.doubleToLongBits(amount));
    fleet.counter().add(this, name, amount, ttlMs, isPartitioned);
  }

  /** The watch stands or is being renewed all the time. */
  @Override
  public void subscribe() {}
}
