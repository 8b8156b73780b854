package edgenode.simulation.fleet;

import edgenode.node.PolicyFactory;
import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.RequestClass;
import edgenode.simulation.fleet.FleetSimulation.DigestEvent;
import io.netty.util.collection.LongObjectHashMap;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/**
 * An edge node without sockets, from its start to its end: the decision module as {@code EdgeNode}
 * runs it, and the membership core, in virtual time. It counts and decides nothing itself.
 */
final class ModelNode implements PolicyActions {
  private static final double[] NO_LOAD = new double[0];

  /** One policy event in so many is timed, as reading the thread's CPU time costs CPU itself. */
  private static final int CPU_SAMPLE_INTERVAL = 8;

  private final FleetSimulation fleet;
  private final int index;
  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final DiscoveryModel discovery;
  private final PolicySettings settings;
  private final ModelMembership membership;
  private final LongObjectHashMap<PendingRequest> openRequests = new LongObjectHashMap<>();

  /** Null after {@link #dropCores}. */
  private PolicyEvents policy;

  /** By position on the list: whether and when an attempt was sent to the server. */
  private final BitSet usedServers;

  private final float[] lastUsedMs;
  private boolean isKilled;
  private boolean isPartitioned;

  ModelNode(
      FleetSimulation fleet,
      int index,
      DiscoveryModel discovery,
      PolicySettings settings,
      PolicyFactory policyFactory,
      long seed) {
    this.fleet = fleet;
    this.index = index;
    this.discovery = discovery;
    this.settings = settings;
    timeline = fleet.timeline();
    counters = fleet.counters();
    usedServers = new BitSet(discovery.size());
    lastUsedMs = new float[discovery.size()];
    Arrays.fill(lastUsedMs, Float.NEGATIVE_INFINITY);
    membership = new ModelMembership(this, fleet, discovery, settings.rules().warmUpMs());
    long startNs = FleetCounters.threadCpuNs();
    policy = policyFactory.create(settings, seed, timeline.nowMs(), this);
    counters.policyCpuNs += FleetCounters.threadCpuNs() - startNs;
  }

  // ---- life cycle ----

  /** Starts with the list that is known from before, as after a deployment, or without one. */
  void start(boolean hasInitialList) {
    if (hasInitialList) {
      membership.loadInitialList();
    }
    membership.watch();
  }

  /** Kills the process: it receives and does nothing from now on. */
  void kill() {
    isKilled = true;
    membership.unwatch();
    for (PendingRequest request : openRequests.values()) {
      // a request whose answer was overdue counts as unanswered, not as lost with the node
      boolean isLate = timeline.nowMs() > request.deadlineMs + settings.rules().answerGraceMs();
      counters.unanswered += !request.isOver && isLate ? 1 : 0;
      counters.lostWithNode += request.isOver || isLate ? 0 : 1;
    }
    openRequests.clear();
  }

  /** Cuts the node off from discovery and counter, or connects it again. */
  void setPartitioned(boolean partitioned) {
    isPartitioned = partitioned;
    if (partitioned) {
      membership.unwatch();
    } else {
      membership.watch();
    }
  }

  boolean isReady() {
    return membership.isReady();
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

  /** Drops the cores, so that the heap that they take can be measured. */
  void dropCores() {
    policy = null;
    membership.dropCore();
  }

  /** Counts requests without an answer, and list entries that differ from discovery's. */
  void close() {
    for (PendingRequest request : openRequests.values()) {
      counters.unanswered += request.isOver ? 0 : 1;
    }
    openRequests.clear();
    membership.close();
  }

  // ---- events ----

  /** Runs an event of the policy, and measures the thread's CPU time of some of them. */
  private void runPolicyEvent(Runnable event) {
    if (counters.policyEvents++ % CPU_SAMPLE_INTERVAL != 0) {
      event.run();
      return;
    }
    long startNs = FleetCounters.threadCpuNs();
    event.run();
    counters.policyCpuNs += CPU_SAMPLE_INTERVAL * (FleetCounters.threadCpuNs() - startNs);
  }

  void requestArrived(RequestClass requestClass, Tenant tenant) {
    long id = fleet.nextRequestId();
    counters.arrived++;
    double nowMs = timeline.nowMs();
    openRequests.put(id, new PendingRequest(id, tenant, nowMs + requestClass.deadlineMs()));
    IncomingRequest request =
        new IncomingRequest(
            id,
            requestClass.name(),
            tenant.plan,
            tenant.name,
            requestClass.deadlineMs(),
            1,
            tenant.spread,
            0,
            false);
    runPolicyEvent(() -> policy.requestArrived(nowMs, request));
  }

  /** Ignored where the node was killed or the attempt has ended before. */
  void attemptEnded(RequestAttempt attempt, CallOutcome outcome) {
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
    fleet.record(index, DigestEvent.ATTEMPT_ENDED, request.id, outcome.ordinal());
    runPolicyEvent(
        () ->
            policy.attemptEnded(
                nowMs,
                request.id,
                attempt.number,
                new AttemptResult(outcome, nowMs - attempt.sentMs, 0, NO_LOAD),
                request.isOver));
    removeIfDone(request);
    if (outcome == CallOutcome.OK) {
      membership.responded(attempt.server);
    }
  }

  private void removeIfDone(PendingRequest request) {
    if (request.isOver && request.inFlight == 0) {
      openRequests.remove(request.id);
    }
  }

  void connectFailed(AppServerModel server, boolean isRefused) {
    if (!isKilled) {
      membership.connectFailed(server, isRefused);
    }
  }

  void counterCallEnded(long name, CallOutcome outcome, double sentMs, double total) {
    if (!isKilled) {
      double nowMs = timeline.nowMs();
      runPolicyEvent(() -> policy.counterCallEnded(nowMs, name, outcome, nowMs - sentMs, total));
    }
  }

  void listReceived(WireFormats.ListMessage message) {
    if (!isKilled && !isPartitioned) {
      membership.listReceived(message);
    }
  }

  void heartbeatReceived() {
    if (!isKilled && !isPartitioned) {
      membership.heartbeatReceived();
    }
  }

  /** The membership core has changed the endpoints of the policy. */
  void endpointsChanged(List<EndpointInfo> endpoints, boolean isComplete) {
    double nowMs = timeline.nowMs();
    long startNs = FleetCounters.threadCpuNs();
    policy.endpointsChanged(nowMs, endpoints, isComplete);
    counters.policyCpuNs += FleetCounters.threadCpuNs() - startNs;
  }

  // ---- actions of the policy ----

  @Override
  public void send(long id, String endpointId, double untilMs) {
    int serverIndex = ModelMembership.serverIndex(endpointId);
    int position = serverIndex - discovery.firstServer();
    counters.sends++;
    fleet.record(index, DigestEvent.SENT, id, serverIndex);
    boolean isListed = position >= 0 && position < discovery.size();
    counters.sendsToDown += isListed && membership.isShownUp(position) ? 0 : 1;
    PendingRequest request = openRequests.get(id);
    if (request == null || request.isOver || !isListed) {
      counters.sendsAfterEnd += isListed ? 1 : 0;
      return;
    }
    double nowMs = timeline.nowMs();
    counters.connects += nowMs - lastUsedMs[position] > FleetAssumptions.KEEP_ALIVE_MS ? 1 : 0;
    lastUsedMs[position] = (float) nowMs;
    usedServers.set(position);
    RequestAttempt attempt =
        new RequestAttempt(request, fleet.servers().server(serverIndex), nowMs);
    if (request.attempts.isEmpty()) {
      fleet.unitForwarded(request.tenant);
    }
    request.attempts.add(attempt);
    request.inFlight++;
    if (nowMs >= request.deadlineMs || attempt.number >= settings.capabilities().maxAttempts()) {
      timeline.scheduleAfter(0, () -> attemptEnded(attempt, CallOutcome.NOT_SENT));
      return;
    }
    fleet.servers().forward(this, attempt);
  }

  @Override
  public void cancel(long id, int number) {
    PendingRequest request = openRequests.get(id);
    if (request != null && number >= 0 && number < request.attempts.size()) {
      RequestAttempt attempt = request.attempts.get(number);
      timeline.scheduleAfter(0, () -> attemptEnded(attempt, CallOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(long id, double retryAfterMs) {
    counters.rejected += finish(id, DigestEvent.REJECTED) ? 1 : 0;
  }

  @Override
  public void fail(long id) {
    counters.failed += finish(id, DigestEvent.FAILED) ? 1 : 0;
  }

  /** Ends a request by an answer of the node's own; false where it was over. */
  private boolean finish(long id, DigestEvent event) {
    PendingRequest request = openRequests.get(id);
    if (request == null || request.isOver) {
      counters.answeredAgain++;
      return false;
    }
    fleet.record(index, event, id, 0);
    request.isOver = true;
    if (request.inFlight == 0) {
      timeline.scheduleAfter(0, () -> removeIfDone(request)); // the policy is within an event
    }
    return true;
  }

  @Override
  public void setTimer(double delayMs, long token) {
    double dueMs = timeline.nowMs() + delayMs;
    timeline.scheduleAt(dueMs, () -> timerFired(dueMs, token));
  }

  private void timerFired(double dueMs, long token) {
    if (!isKilled) {
      runPolicyEvent(() -> policy.timerFired(Math.max(timeline.nowMs(), dueMs), token));
    }
  }

  @Override
  public void checkHealth(String endpointId) {
    double sentMs = timeline.nowMs();
    timeline.scheduleAfter(
        2 * FleetAssumptions.ONE_WAY_LATENCY_MS, () -> healthCheckEnded(endpointId, sentMs));
  }

  private void healthCheckEnded(String endpointId, double sentMs) {
    if (!isKilled) {
      double nowMs = timeline.nowMs();
      runPolicyEvent(
          () ->
              policy.healthCheckEnded(nowMs, endpointId, CallOutcome.OK, nowMs - sentMs, NO_LOAD));
    }
  }

  @Override
  public void addToCounter(long name, double amount, double ttlMs) {
    fleet.record(index, DigestEvent.COUNTER_ADD, name, Double.doubleToLongBits(amount));
    fleet.counter().add(this, name, amount, ttlMs, isPartitioned);
  }

  /** Does nothing: the subscription is renewed all the time. */
  @Override
  public void subscribe() {}
}
