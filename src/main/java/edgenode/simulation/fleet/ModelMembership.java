package edgenode.simulation.fleet;

import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.membership.MembershipUpdate;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/**
 * A model node's membership core, with its timer and its connection probes in virtual time, as
 * {@code MembershipService} runs it. It counts how long a change at discovery takes until the
 * node's policy has it.
 */
final class ModelMembership {
  /** Between probes of ejected or quarantined endpoints (ms), as in {@code MembershipService}. */
  private static final double REACHABILITY_CHECK_INTERVAL_MS = 250;

  private static final String SOURCE_NAME = "discovery";
  private static final char ID_PREFIX = 's';

  private final ModelNode node;
  private final AppServerFleet servers;
  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final DiscoveryModel discovery;

  /** Null after {@link #dropCore}. */
  private Membership membership;

  /** By position on the list: whether the policy has the server as up. */
  private final BitSet shownUp;

  /** By position on the list: the server's change count that the policy has. */
  private final int[] appliedChangeCount;

  private boolean isReady;
  private boolean isCheckScheduled;
  private double tickDueMs = Double.POSITIVE_INFINITY;

  ModelMembership(
      ModelNode node, FleetSimulation fleet, DiscoveryModel discovery, double warmUpMs) {
    this.node = node;
    this.discovery = discovery;
    servers = fleet.servers();
    timeline = fleet.timeline();
    counters = fleet.counters();
    shownUp = new BitSet(discovery.size());
    appliedChangeCount = new int[discovery.size()];
    membership = new Membership(MembershipLimits.defaults(warmUpMs), SOURCE_NAME);
  }

  static String endpointId(AppServerModel server) {
    return ID_PREFIX + Integer.toString(server.index);
  }

  static int serverIndex(String endpointId) {
    return Integer.parseInt(endpointId, 1, endpointId.length(), 10);
  }

  /** Whether the node has an endpoint list. */
  boolean isReady() {
    return isReady;
  }

  /** Whether the policy has the server at this position on the list as up. */
  boolean isShownUp(int position) {
    return shownUp.get(position);
  }

  /** Loads the present list, as a node does that stored it before a restart. */
  void loadInitialList() {
    WireFormats.ListMessage list = discovery.completeList();
    long startNs = FleetCounters.threadCpuNs();
    MembershipUpdate update =
        membership.loadInitialList(timeline.nowMs(), list.version(), list.entries());
    counters.membershipCpuNs += FleetCounters.threadCpuNs() - startNs;
    isReady = true;
    apply(update);
  }

  /** Subscribes to changes from the version that the node has. */
  void watch() {
    discovery.watch(node, membership.resumeVersion());
  }

  void unwatch() {
    discovery.unwatch(node);
  }

  /** Drops the core, so that the heap that it takes can be measured. */
  void dropCore() {
    membership = null;
  }

  /** Counts the servers whose state the policy has otherwise than discovery. */
  void close() {
    for (int i = 0; i < discovery.size(); i++) {
      boolean isActive =
          servers.server(discovery.firstServer() + i).health == AppServerModel.Health.ACTIVE;
      counters.differingEntries += isActive == shownUp.get(i) ? 0 : 1;
    }
  }

  void listReceived(WireFormats.ListMessage message) {
    if (message.isComplete()) {
      counters.completeLists++;
      counters.completeListBytes += message.bytes();
    } else {
      counters.changeMessages++;
      counters.changeBytes += message.bytes();
      counters.changesSent += message.entries().size();
    }
    if (!isReady) { // changes before the first list do not count as late
      isReady = true;
      for (int i = 0; i < appliedChangeCount.length; i++) {
        appliedChangeCount[i] = servers.server(discovery.firstServer() + i).changeCount;
      }
    }
    process(
        () ->
            membership.endpointsReceived(
                timeline.nowMs(),
                SOURCE_NAME,
                message.version(),
                message.isComplete(),
                message.entries()));
    for (DiscoveredEndpoint endpoint : message.entries()) {
      countIfApplied(serverIndex(endpoint.info().id()));
    }
  }

  void heartbeatReceived() {
    counters.heartbeatBytes += FleetAssumptions.HEARTBEAT_BYTES;
    process(() -> membership.sourceConfirmed(timeline.nowMs(), SOURCE_NAME));
  }

  void responded(AppServerModel server) {
    MembershipUpdate update = membership.responded(timeline.nowMs(), endpointId(server));
    if (update != MembershipUpdate.NONE) { // nearly every response changes nothing
      apply(update);
    }
  }

  void connectFailed(AppServerModel server, boolean isRefused) {
    process(() -> membership.connectFailed(timeline.nowMs(), endpointId(server), isRefused, 0));
  }

  private void process(Supplier<MembershipUpdate> event) {
    long startNs = FleetCounters.threadCpuNs();
    MembershipUpdate update = event.get();
    counters.membershipCpuNs += FleetCounters.threadCpuNs() - startNs;
    apply(update);
  }

  private void apply(MembershipUpdate update) {
    if (!update.endpoints().isEmpty()) {
      List<EndpointInfo> endpoints = new ArrayList<>(update.endpoints().size());
      for (DiscoveredEndpoint endpoint : update.endpoints()) {
        endpoints.add(endpoint.info());
        int index = serverIndex(endpoint.info().id());
        shownUp.set(index - discovery.firstServer(), endpoint.info().state() == EndpointState.UP);
        countIfApplied(index);
      }
      node.endpointsChanged(endpoints, update.isComplete());
    }
    if (update.mustResync()) {
      discovery.resync(node);
    }
    scheduleReachabilityChecks();
    scheduleTick();
  }

  /**
   * Counts the time from a server's last change, where the policy has it now and had not before.
   */
  private void countIfApplied(int index) {
    AppServerModel server = servers.server(index);
    int position = index - discovery.firstServer();
    boolean isActive = server.health == AppServerModel.Health.ACTIVE;
    if (server.changeCount > appliedChangeCount[position] && shownUp.get(position) == isActive) {
      appliedChangeCount[position] = server.changeCount;
      if (server.changedAtMs > 0) {
        counters.changeLatencyUs.recordValue(
            Math.max(0, Math.round((timeline.nowMs() - server.changedAtMs) * 1000)));
      }
    }
  }

  private void scheduleReachabilityChecks() {
    if (isCheckScheduled || membership.endpointsToCheck().isEmpty()) {
      return;
    }
    isCheckScheduled = true;
    timeline.scheduleAfter(REACHABILITY_CHECK_INTERVAL_MS, this::checkReachability);
  }

  private void checkReachability() {
    isCheckScheduled = false;
    if (node.isKilled()) {
      return;
    }
    Collection<String> endpointIds = new ArrayList<>(membership.endpointsToCheck());
    counters.reachabilityChecks += endpointIds.size();
    for (String id : endpointIds) {
      AppServerModel server = servers.server(serverIndex(id));
      boolean timesOut = !server.isUp && server.isUnresponsive;
      timeline.scheduleAfter(
          timesOut ? FleetAssumptions.CONNECT_TIMEOUT_MS : 2 * FleetAssumptions.ONE_WAY_LATENCY_MS,
          () -> checkEnded(server));
    }
    scheduleReachabilityChecks();
  }

  private void checkEnded(AppServerModel server) {
    if (node.isKilled()) {
      return;
    }
    if (server.isUp) {
      process(() -> membership.connected(timeline.nowMs(), endpointId(server)));
    } else {
      connectFailed(server, !server.isUnresponsive);
    }
  }

  /** Keeps one timer for what changes by time alone. */
  private void scheduleTick() {
    double tickMs = membership.nextTickMs();
    if (tickMs >= tickDueMs || tickMs == Double.POSITIVE_INFINITY) {
      return;
    }
    tickDueMs = tickMs;
    timeline.scheduleAt(Math.max(timeline.nowMs() + 1, tickMs), () -> tick(tickMs));
  }

  private void tick(double tickMs) {
    if (!node.isKilled() && tickDueMs == tickMs) { // else an earlier timer has replaced this one
      tickDueMs = Double.POSITIVE_INFINITY;
      process(() -> membership.tick(timeline.nowMs()));
    }
  }
}
