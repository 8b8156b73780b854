package edgenode.simulation.fleet;

import edgenode.node.PolicyFactory;
import java.util.BitSet;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;

/**
 * A fleet of model nodes in one process, with models of the app servers, the counter, discovery and
 * the clients, in virtual time. The same shape and seed give the same run. One thread; a simulation
 * runs once.
 */
public final class FleetSimulation {
  private static final double START_MS = 1_000_000;

  /** After the last arrival: open requests end, and the nodes' endpoint lists settle. */
  private static final double SETTLE_MS = 12_000;

  /** Share of the virtual time between two reports of progress. */
  private static final double PROGRESS_STEP = 0.01;

  private static final double NODE_RESTART_MS = 1000;
  private static final double SERVER_RESTART_MS = 3000;
  private static final double MACHINE_FAILURE_MS = 5000;

  private final FleetShape shape;
  private final PolicyFactory policyFactory;
  private final double arrivalsEndMs;
  private final VirtualTimeline timeline = new VirtualTimeline(START_MS);
  private final FleetCounters counters = new FleetCounters();
  private final WireFormats formats = new WireFormats();
  private final CounterModel counter;
  private final AppServerFleet servers;
  private final TenantPopulation tenants;
  private final ModelNode[] nodes;

  /** By node: servers that its earlier incarnations have sent to. */
  private final BitSet[] usedServers;

  private long lastRequestId;
  private int nodesStarted;

  /**
   * Creates a simulation that has not started.
   *
   * @param policyFactory creates the decision module of each node; tests give faulty ones
   */
  public FleetSimulation(FleetShape shape, PolicyFactory policyFactory) {
    this.shape = shape;
    this.policyFactory = policyFactory;
    arrivalsEndMs = START_MS + shape.seconds() * 1000.0;
    int nodeCount = shape.modelledNodes();
    nodes = new ModelNode[nodeCount];
    usedServers = new BitSet[nodeCount];
    SplittableRandom[] randomByNode = new SplittableRandom[nodeCount];
    SplittableRandom seeds = new SplittableRandom(shape.seed());
    SplittableRandom workRandom = seeds.split();
    for (int i = 0; i < nodeCount; i++) {
      usedServers[i] = new BitSet();
      randomByNode[i] = seeds.split();
    }
    counter =
        new CounterModel(
            timeline,
            counters,
            formats,
            FleetAssumptions.COUNTER_ADDS_PER_SECOND_PER_NODE * nodeCount);
    servers = new AppServerFleet(shape, timeline, counters, workRandom, arrivalsEndMs);
    tenants = new TenantPopulation(shape, seeds.split(), randomByNode, START_MS);
  }

  /**
   * Runs the simulation to its end.
   *
   * @param progress gets the share of the virtual time that has passed, 0 to 1, about a hundred
   *     times
   * @param measureState whether to measure the heap that the nodes' cores take; costs some
   *     collections of garbage
   * @return the counts of the run
   */
  public FleetCounters run(DoubleConsumer progress, boolean measureState) {
    for (int i = 0; i < nodes.length; i++) {
      startNode(i, true);
      scheduleArrival(i);
    }
    scheduleHeartbeat();
    scheduleChurn(new SplittableRandom(shape.seed() + 2));
    if (shape.hasIncidents()) {
      scheduleIncidents();
    }
    double endMs = arrivalsEndMs + SETTLE_MS;
    double reportedMs = START_MS;
    while (reportedMs < endMs) {
      double nextMs = Math.min(endMs, reportedMs + PROGRESS_STEP * (endMs - START_MS));
      while (timeline.runNext(nextMs)) {
        counters.events++;
      }
      reportedMs = nextMs;
      progress.accept((reportedMs - START_MS) / (endMs - START_MS));
    }
    close(measureState);
    return counters;
  }

  // ---- clients ----

  private void scheduleArrival(int node) {
    if (!tenants.hasTenants(node)) {
      return;
    }
    double waitMs = tenants.drawInterarrivalMs(node);
    if (timeline.nowMs() + waitMs < arrivalsEndMs) {
      timeline.scheduleAfter(
          waitMs,
          () -> {
            arrive(node);
            scheduleArrival(node);
          });
    }
  }

  private void arrive(int index) {
    Tenant tenant = tenants.drawTenant(index);
    boolean isKeyed = tenants.drawKeyed(index);
    ModelNode node = nodes[index];
    if (!node.isKilled() && node.isReady()) { // else the client goes to another node
      node.requestArrived(node.settings().requestClasses().get(isKeyed ? 1 : 0), tenant);
    }
  }

  // ---- node life cycle ----

  private void startNode(int index, boolean hasInitialList) {
    int nodeIndex = (int) ((long) index * shape.nodes() / shape.modelledNodes());
    ModelNode node =
        new ModelNode(
            this,
            index,
            servers.listOfNode(index),
            FleetAssumptions.settings(
                nodeIndex, shape.nodes(), "z" + index % FleetAssumptions.ZONES),
            policyFactory,
            shape.seed() * 31 + nodesStarted++);
    nodes[index] = node;
    node.start(hasInitialList);
  }

  private void restartNode(int index) {
    if (!nodes[index].isKilled()) {
      usedServers[index].or(nodes[index].usedServers());
      nodes[index].kill();
      counters.nodeRestarts++;
      timeline.scheduleAfter(NODE_RESTART_MS, () -> startNode(index, false));
    }
  }

  private void scheduleHeartbeat() {
    timeline.scheduleAfter(
        FleetAssumptions.HEARTBEAT_MS,
        () -> {
          for (ModelNode node : nodes) {
            node.heartbeatReceived();
          }
          scheduleHeartbeat();
        });
  }

  // ---- churn and incidents ----

  /** Schedules the ordinary restarts, failures and route changes of the shape's hours. */
  private void scheduleChurn(SplittableRandom random) {
    double serverShare =
        shape.modelledServerShare()
            * shape.servers()
            / FleetAssumptions.ALL_MACHINES
            * shape.hours()
            / 24;
    double nodeShare =
        (double) shape.modelledNodes() / FleetAssumptions.ALL_MACHINES * shape.hours() / 24;
    scheduleRandomly(
        random,
        FleetAssumptions.RESTARTS_PER_DAY * serverShare,
        () -> servers.stopGracefully(servers.randomServer(random), SERVER_RESTART_MS));
    scheduleRandomly(
        random,
        FleetAssumptions.FAILURES_PER_DAY * serverShare,
        () -> servers.failMachine(servers.randomServer(random), MACHINE_FAILURE_MS));
    scheduleRandomly(
        random,
        FleetAssumptions.ROUTE_CHANGES_PER_DAY * serverShare,
        () -> servers.changeRoute(servers.randomServer(random)));
    scheduleRandomly(
        random,
        (FleetAssumptions.RESTARTS_PER_DAY + FleetAssumptions.FAILURES_PER_DAY) * nodeShare,
        () -> restartNode(random.nextInt(nodes.length)));
  }

  private void scheduleRandomly(SplittableRandom random, double expected, Runnable event) {
    long count = (long) expected + (random.nextDouble() < expected - Math.floor(expected) ? 1 : 0);
    double lengthMs = arrivalsEndMs - START_MS;
    for (long i = 0; i < count; i++) { // not in the last 8 %: its end would fall into the settling
      timeline.scheduleAt(START_MS + lengthMs * (0.02 + 0.9 * random.nextDouble()), event);
    }
  }

  /**
   * Schedules a rack's and a zone's failure, wrong lists (empty, partial, outdated), the partition
   * of a region, an outage of the counter, and a restart of all nodes.
   */
  private void scheduleIncidents() {
    double lengthMs = arrivalsEndMs - START_MS;
    scheduleAtShare(
        0.08, () -> servers.failZone(0, FleetAssumptions.SERVERS_PER_RACK, 0.06 * lengthMs));
    scheduleAtShare(0.22, () -> servers.failZone(1, servers.serverCount(), 0.1 * lengthMs));
    servers.setWrongListsFromMs(START_MS + 0.48 * lengthMs);
    scheduleAtShare(0.48, () -> servers.forEachList(list -> list.sendWrongList(0, 0)));
    scheduleAtShare(0.51, () -> servers.forEachList(DiscoveryModel::sendCorrectList));
    scheduleAtShare(0.54, () -> servers.forEachList(list -> list.sendWrongList(0.3, 0)));
    scheduleAtShare(0.56, () -> servers.forEachList(DiscoveryModel::sendCorrectList));
    scheduleAtShare(0.58, () -> servers.forEachList(list -> list.sendWrongList(1, 5)));
    scheduleAtShare(0.64, () -> setPartitioned(true));
    scheduleAtShare(0.70, () -> setPartitioned(false));
    scheduleAtShare(0.73, () -> counter.setUnavailable(true));
    scheduleAtShare(0.76, () -> counter.setUnavailable(false));
    for (int i = 0; i < nodes.length; i++) {
      int index = i;
      scheduleAtShare(0.80 + 0.1 * i / nodes.length, () -> restartNode(index));
    }
  }

  private void scheduleAtShare(double share, Runnable event) {
    timeline.scheduleAt(START_MS + share * (arrivalsEndMs - START_MS), event);
  }

  private void setPartitioned(boolean partitioned) {
    for (int i = 0; i < nodes.length; i++) {
      if (i % FleetAssumptions.REGIONS == 0 && !nodes[i].isKilled()) {
        nodes[i].setPartitioned(partitioned);
      }
    }
  }

  // ---- the end of the run ----

  private void close(boolean measureState) {
    for (int i = 0; i < nodes.length; i++) {
      nodes[i].close();
      usedServers[i].or(nodes[i].usedServers());
      counters.usedServers += (double) usedServers[i].cardinality() / nodes.length;
      counters.listEntries += (double) servers.listOfNode(i).size() / nodes.length;
    }
    counters.nodeSeconds = (long) shape.seconds() * nodes.length;
    servers.forEachList(DiscoveryModel::completeList);
    if (measureState) {
      timeline.clear();
      long heapBefore = usedHeapBytes();
      for (ModelNode node : nodes) {
        node.dropCores();
      }
      counters.stateBytes = Math.max(0, heapBefore - usedHeapBytes()) / nodes.length;
    }
    formats.close();
  }

  private static long usedHeapBytes() {
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      System.gc();
      long bytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
      minBytes = Math.min(minBytes, bytes);
    }
    return minBytes;
  }

  // ---- for the nodes ----

  VirtualTimeline timeline() {
    return timeline;
  }

  FleetCounters counters() {
    return counters;
  }

  CounterModel counter() {
    return counter;
  }

  AppServerFleet servers() {
    return servers;
  }

  long nextRequestId() {
    return ++lastRequestId;
  }

  /** A node sends the first attempt of a request: a unit of the tenant's quota, or beyond it. */
  void unitForwarded(Tenant tenant) {
    counters.units++;
    counters.unitsOverQuota += tenant.takeUnit(timeline.nowMs()) ? 0 : 1;
  }

  /** Adds an event of a node at the present time to the digest of the run. */
  void record(int node, DigestEvent event, long id, long detail) {
    counters.addToDigest(
        Double.doubleToLongBits(timeline.nowMs())
            ^ ((long) node << 48)
            ^ ((long) event.ordinal() << 40)
            ^ id * 31
            ^ Long.rotateLeft(detail, 20));
  }

  /** Kinds of events in the digest; the order is part of it. */
  enum DigestEvent {
    NONE,
    SENT,
    ATTEMPT_ENDED,
    REJECTED,
    FAILED,
    COUNTER_ADD
  }
}
