package edgenode.simulation.fleet;

import edgenode.node.EdgeNode;
import edgenode.policy.CallOutcome;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;

/**
 * Hollow edge nodes, many in one process, and thin models of all around them, on virtual time: the
 * same shape and seed give the same run. Clients are a Poisson process at each node.
 */
public final class FleetSimulation {
  private static final double START_MS = 1_000_000;

  /** After the last arrival: what is open ends, and views settle. */
  private static final double SETTLE_MS = 12_000;

  private static final double ROUND_TRIP_MS = 2 * Assumptions.ONE_WAY_LATENCY_MS;
  private static final double PROGRESS_STEP = 0.01;

  /**
   * A customer, with how many nodes it comes through; {@code store}: its true quota's level, when,
   * its rate.
   */
  record Tenant(String name, String plan, double ratePerSecond, int spread, double[] store) {}

  private final FleetShape shape;
  private final EdgeNode.PolicyFactory policyFactory;
  private final VirtualTimeline timeline = new VirtualTimeline(START_MS);
  private final FleetCounters counters = new FleetCounters();
  private final WireFormats formats = new WireFormats();
  private final CounterModel counter;
  private final AppServerModel[] servers;
  private final DiscoveryModel[] lists;
  private final ModelNode[] nodes;
  private final BitSet[] usedServers;

  /** By node: its tenants, and the running sum of their rates there (requests a second). */
  private final int[][] tenantsByNode;

  private final double[][] cumulativeRatesByNode;
  private final Tenant[] tenants;
  private final SplittableRandom[] randomByNode;
  private final SplittableRandom workRandom;

  /** Sends to warm servers, by list. */
  private final long[] warmSends;

  private final double unmodelledLoad;
  private long lastRequestId;
  private int nodesStarted;
  private double arrivalsEndMs;
  private double wrongListsFromMs = Double.POSITIVE_INFINITY;

  /**
   * @param policyFactory makes the decision module; tests give crooked ones
   */
  public FleetSimulation(FleetShape shape, EdgeNode.PolicyFactory policyFactory) {
    this.shape = shape;
    this.policyFactory = policyFactory;
    int nodeCount = shape.modelledNodes();
    counter =
        new CounterModel(
            timeline, counters, formats, Assumptions.COUNTER_ADDS_PER_SECOND_PER_NODE * nodeCount);
    servers = new AppServerModel[shape.modelledServers()];
    lists = new DiscoveryModel[shape.modelledLists()];
    warmSends = new long[lists.length];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = new AppServerModel(i, i / shape.serversPerList(), "z" + i % Assumptions.ZONES);
    }
    DiscoveryModel.Link link =
        new DiscoveryModel.Link(Assumptions.DISCOVERY_BYTES_PER_MS_PER_NODE * nodeCount);
    for (int i = 0; i < lists.length; i++) {
      lists[i] =
          new DiscoveryModel(
              timeline,
              counters,
              link,
              servers,
              i * shape.serversPerList(),
              shape.serversPerList());
    }
    nodes = new ModelNode[nodeCount];
    usedServers = new BitSet[nodeCount];
    randomByNode = new SplittableRandom[nodeCount];
    SplittableRandom seeds = new SplittableRandom(shape.seed());
    workRandom = seeds.split();
    for (int i = 0; i < nodeCount; i++) {
      usedServers[i] = new BitSet();
      randomByNode[i] = seeds.split();
    }
    // what nodes that are not run send to the same servers is a part of their speed
    unmodelledLoad =
        shape.isFlat()
            ? Math.min(
                0.95,
                shape.requestsPerSecond()
                    * (1 - shape.modelledShare())
                    / shape.servers()
                    * Assumptions.MEAN_WORK_MS
                    / 1000
                    / AppServerModel.CORES)
            : 0;
    tenants = tenants(seeds.split());
    tenantsByNode = new int[nodeCount][];
    cumulativeRatesByNode = new double[nodeCount][];
    assignTenants();
  }

  // ---- clients ----

  private Tenant[] tenants(SplittableRandom random) {
    int count = (int) Math.max(1, Math.round(shape.tenants() * shape.modelledShare()));
    double[] weights = new double[count];
    double totalWeight = 0;
    for (int i = 0; i < count; i++) { // of the whole fleet's ranks those that are homed here
      weights[i] = Math.pow((i + 0.5) / shape.modelledShare(), -Assumptions.ZIPF_EXPONENT);
      totalWeight += weights[i];
    }
    Tenant[] made = new Tenant[count];
    // a customer of one node alone needs no counter: where one node is run the other one is not
    int group =
        Math.max(
            Math.min(2, shape.nodes()),
            Math.min(shape.modelledNodes(), FleetShape.NODES_PER_GROUP));
    for (int i = 0; i < count; i++) {
      double rate = shape.requestsPerSecond() * shape.modelledShare() * weights[i] / totalWeight;
      int spread =
          Math.min(group, Math.max(2, (int) Math.ceil(rate / Assumptions.TENANT_RATE_PER_NODE)));
      int step = 0;
      while (step < Assumptions.planCount() - 1
          && Assumptions.planRatePerSecond(step) < 1.5 * rate) {
        step++;
      }
      step = Math.max(0, step - (random.nextInt(20) == 0 ? 1 : 0));
      made[i] =
          new Tenant(
              String.format("%016x", random.nextLong() >>> 31),
              "p" + step,
              Assumptions.planRatePerSecond(step),
              spread,
              new double[] {Math.max(4, 2 * Assumptions.planRatePerSecond(step)), START_MS, rate});
    }
    return made;
  }

  private void assignTenants() {
    int nodeCount = shape.modelledNodes();
    int groups = (nodeCount + FleetShape.NODES_PER_GROUP - 1) / FleetShape.NODES_PER_GROUP;
    List<List<double[]>> at = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      at.add(new ArrayList<>());
    }
    SplittableRandom random = new SplittableRandom(shape.seed() + 1);
    for (int t = 0; t < tenants.length; t++) {
      int first = t % groups * FleetShape.NODES_PER_GROUP;
      int size = Math.min(FleetShape.NODES_PER_GROUP, nodeCount - first);
      int spread = Math.min(size, tenants[t].spread);
      int from = random.nextInt(size);
      for (int j = 0; j < spread; j++) {
        at.get(first + (from + j) % size).add(new double[] {t, tenants[t].store[2] / spread});
      }
    }
    for (int i = 0; i < nodeCount; i++) {
      tenantsByNode[i] = new int[at.get(i).size()];
      cumulativeRatesByNode[i] = new double[at.get(i).size()];
      double sum = 0;
      for (int j = 0; j < tenantsByNode[i].length; j++) {
        tenantsByNode[i][j] = (int) at.get(i).get(j)[0];
        sum += at.get(i).get(j)[1];
        cumulativeRatesByNode[i][j] = sum;
      }
    }
  }

  private void scheduleArrival(int node) {
    double[] rates = cumulativeRatesByNode[node];
    if (rates.length == 0) {
      return;
    }
    double waitMs = -Math.log(1 - randomByNode[node].nextDouble()) / rates[rates.length - 1] * 1000;
    if (timeline.nowMs() + waitMs < arrivalsEndMs) {
      timeline.scheduleAfter(
          waitMs,
          () -> {
            arrive(node);
            scheduleArrival(node);
          });
    }
  }

  private void arrive(int place) {
    double[] rates = cumulativeRatesByNode[place];
    SplittableRandom random = randomByNode[place];
    int index = java.util.Arrays.binarySearch(rates, random.nextDouble() * rates[rates.length - 1]);
    Tenant tenant =
        tenants[tenantsByNode[place][Math.min(rates.length - 1, index < 0 ? -index - 1 : index)]];
    boolean isKeyed = random.nextInt(5) == 0;
    ModelNode node = nodes[place];
    if (!node.isKilled() && node.isReady()) { // else its clients have gone elsewhere
      node.requestArrived(node.settings().requestClasses().get(isKeyed ? 1 : 0), tenant);
    }
  }

  /** A unit of a customer's is sent on: within its quota over all nodes, or beyond. */
  void unitForwarded(Tenant tenant) {
    double[] store = tenant.store;
    double nowMs = timeline.nowMs();
    store[0] =
        Math.min(
            Math.max(4, 2 * tenant.ratePerSecond),
            store[0] + tenant.ratePerSecond * (nowMs - store[1]) / 1000);
    store[1] = nowMs;
    counters.units++;
    if (store[0] >= 1) {
      store[0]--;
    } else {
      counters.unitsOverQuota++;
    }
  }

  // ---- app servers ----

  /** Brings an attempt to its server and its end back, in virtual time. */
  void forward(ModelNode node, ModelNode.Attempt attempt) {
    AppServerModel server = attempt.server;
    double nowMs = timeline.nowMs();
    if (!server.isUp) {
      boolean isRefused = !server.isUnresponsive;
      counters.connectFailures++;
      timeline.scheduleAt(
          Math.min(
              attempt.request.deadlineMs,
              nowMs + (isRefused ? ROUND_TRIP_MS : Assumptions.CONNECT_TIMEOUT_MS)),
          () -> {
            node.attemptEnded(attempt, CallOutcome.NO_CONNECTION);
            node.unreachable(server, isRefused);
          });
      return;
    }
    boolean isWarmingUp =
        server.startedAtMs > 0 && nowMs - server.startedAtMs < Assumptions.WARM_UP_MS;
    server.warmUpSends += isWarmingUp ? 1 : 0;
    warmSends[server.listIndex] += isWarmingUp ? 0 : 1;
    double speed =
        server.speed(nowMs, Assumptions.INITIAL_SPEED_SHARE, Assumptions.WARM_UP_MS)
            * (1 - unmodelledLoad);
    double workMs = -Math.log(1 - workRandom.nextDouble()) * Assumptions.MEAN_WORK_MS;
    double doneMs =
        server.enqueue(
            nowMs + Assumptions.ONE_WAY_LATENCY_MS, workMs, Assumptions.MEAN_WORK_MS, speed);
    if (Double.isNaN(doneMs)) {
      counters.rejectedByServer++;
      timeline.scheduleAfter(ROUND_TRIP_MS, () -> node.attemptEnded(attempt, CallOutcome.FULL));
      return;
    }
    timeline.scheduleAt(
        Math.min(doneMs + Assumptions.ONE_WAY_LATENCY_MS, attempt.request.deadlineMs),
        () -> {
          if (server.incarnation != attempt.incarnation && !server.isUnresponsive) {
            counters.resets++;
            node.attemptEnded(attempt, CallOutcome.RESET);
          } else if (server.incarnation != attempt.incarnation
              || doneMs + Assumptions.ONE_WAY_LATENCY_MS > attempt.request.deadlineMs) {
            counters.timeouts++;
            timeline.scheduleAt(
                attempt.request.deadlineMs, () -> node.attemptEnded(attempt, CallOutcome.TIMEOUT));
          } else {
            node.attemptEnded(attempt, CallOutcome.OK);
          }
        });
  }

  /**
   * It goes: told as leaving first where that is planned, found dead a while later where it is not.
   */
  private void stopServer(
      AppServerModel server, boolean isPlanned, boolean isMachineLost, double downMs) {
    if (!server.isUp || server.health != AppServerModel.Health.ACTIVE) {
      return;
    }
    int incarnation = server.incarnation + 1;
    if (isPlanned) {
      setHealth(server, AppServerModel.Health.LEAVING);
      timeline.scheduleAfter(1000, () -> crashServer(server, false));
    } else {
      crashServer(server, isMachineLost);
      timeline.scheduleAfter(
          Assumptions.FAILURE_DETECTION_MS,
          () -> {
            if (server.incarnation == incarnation && !server.isUp) {
              setHealth(server, AppServerModel.Health.LEFT);
            }
          });
    }
    timeline.scheduleAfter(downMs, () -> restartServer(server));
  }

  private void crashServer(AppServerModel server, boolean isMachineLost) {
    if (server.isUp) {
      server.crash(isMachineLost);
    }
  }

  private void restartServer(AppServerModel server) {
    if (server.isUp) {
      return;
    }
    server.restart(timeline.nowMs(), warmSends[server.listIndex]);
    setHealth(server, AppServerModel.Health.ACTIVE);
    int incarnation = server.incarnation;
    timeline.scheduleAfter(
        Assumptions.WARM_UP_MS,
        () -> {
          if (server.isUp
              && server.incarnation == incarnation
              && timeline.nowMs() < arrivalsEndMs) {
            warmUpEnded(server);
          }
        });
  }

  /**
   * What all nodes together may send a cold server: its part of what warm ones got, scaled to what
   * it could do. Where nodes are told wrong lists or start anew, they see other warm servers than
   * there are, and nothing is judged.
   */
  private void warmUpEnded(AppServerModel server) {
    DiscoveryModel list = lists[server.listIndex];
    int warmServers = 0;
    for (int i = list.firstServer(); i < list.firstServer() + list.size(); i++) {
      warmServers +=
          servers[i].isUp && timeline.nowMs() - servers[i].startedAtMs > Assumptions.WARM_UP_MS
              ? 1
              : 0;
    }
    if (timeline.nowMs() > wrongListsFromMs) {
      counters.warmUpsNotJudged++;
      return;
    }
    double sendsPerWarmServer =
        (double) (warmSends[server.listIndex] - server.listSendsAtStart) / Math.max(1, warmServers);
    double overloadShare = Math.max(1, Assumptions.settings(0, 1, "").rules().overloadFactor() / 2);
    counters.warmUps.add(
        new FleetCounters.WarmUpSample(
            server.index,
            server.warmUpSends,
            sendsPerWarmServer * overloadShare * (1 + Assumptions.INITIAL_SPEED_SHARE) / 2));
  }

  private void setHealth(AppServerModel server, AppServerModel.Health health) {
    server.health = health;
    lists[server.listIndex].serverChanged(server);
  }

  // ---- the day ----

  private void startNode(int place, boolean hasInitialList) {
    int nodeIndex = (int) ((long) place * shape.nodes() / shape.modelledNodes());
    ModelNode node =
        new ModelNode(
            this,
            place,
            lists[place % lists.length],
            Assumptions.settings(nodeIndex, shape.nodes(), "z" + place % Assumptions.ZONES),
            policyFactory,
            shape.seed() * 31 + nodesStarted++);
    nodes[place] = node;
    node.start(hasInitialList);
  }

  private void restartNode(int place) {
    if (!nodes[place].isKilled()) {
      usedServers[place].or(nodes[place].usedServers());
      nodes[place].kill();
      counters.nodeRestarts++;
      timeline.scheduleAfter(1000, () -> startNode(place, false));
    }
  }

  private void scheduleHeartbeat() {
    timeline.scheduleAfter(
        Assumptions.HEARTBEAT_MS,
        () -> {
          for (ModelNode node : nodes) {
            node.heartbeatReceived();
          }
          scheduleHeartbeat();
        });
  }

  private void scheduleRandomly(SplittableRandom random, double expected, Runnable event) {
    long count = (long) expected + (random.nextDouble() < expected - Math.floor(expected) ? 1 : 0);
    double lengthMs = arrivalsEndMs - START_MS;
    for (long i = 0; i < count; i++) { // those that begin late would end in the quiet time
      timeline.scheduleAt(START_MS + lengthMs * (0.02 + 0.9 * random.nextDouble()), event);
    }
  }

  private AppServerModel randomServer(SplittableRandom random) {
    return servers[random.nextInt(servers.length)];
  }

  private void scheduleChurn(SplittableRandom random) {
    double serverShare =
        shape.modelledServerShare()
            * shape.servers()
            / Assumptions.ALL_MACHINES
            * shape.hours()
            / 24;
    double nodeShare =
        (double) shape.modelledNodes() / Assumptions.ALL_MACHINES * shape.hours() / 24;
    scheduleRandomly(
        random,
        Assumptions.RESTARTS_PER_DAY * serverShare,
        () -> stopServer(randomServer(random), true, false, 3000));
    scheduleRandomly(
        random,
        Assumptions.FAILURES_PER_DAY * serverShare,
        () -> stopServer(randomServer(random), false, true, 5000));
    scheduleRandomly(
        random,
        Assumptions.ROUTE_CHANGES_PER_DAY * serverShare,
        () -> {
          AppServerModel server = randomServer(random);
          if (server.health == AppServerModel.Health.ACTIVE) {
            lists[server.listIndex].serverChanged(server);
          }
        });
    scheduleRandomly(
        random,
        (Assumptions.RESTARTS_PER_DAY + Assumptions.FAILURES_PER_DAY) * nodeShare,
        () -> restartNode(random.nextInt(nodes.length)));
  }

  private void scheduleAtShare(double share, Runnable event) {
    timeline.scheduleAt(START_MS + share * (arrivalsEndMs - START_MS), event);
  }

  private void scheduleIncidents() {
    double lengthMs = arrivalsEndMs - START_MS;
    scheduleAtShare(0.08, () -> losePower(0, Assumptions.SERVERS_PER_RACK, 0.06 * lengthMs));
    scheduleAtShare(0.22, () -> losePower(1, servers.length, 0.1 * lengthMs));
    wrongListsFromMs = START_MS + 0.48 * lengthMs;
    scheduleAtShare(0.48, () -> forEachList(list -> list.sendWrongList(0, 0)));
    scheduleAtShare(0.51, () -> forEachList(DiscoveryModel::sendCorrectList));
    scheduleAtShare(0.54, () -> forEachList(list -> list.sendWrongList(0.3, 0)));
    scheduleAtShare(0.56, () -> forEachList(DiscoveryModel::sendCorrectList));
    scheduleAtShare(0.58, () -> forEachList(list -> list.sendWrongList(1, 5)));
    scheduleAtShare(0.64, () -> setPartitioned(true));
    scheduleAtShare(0.70, () -> setPartitioned(false));
    scheduleAtShare(0.73, () -> counter.setUnavailable(true));
    scheduleAtShare(0.76, () -> counter.setUnavailable(false));
    for (int i = 0; i < nodes.length; i++) {
      int place = i;
      scheduleAtShare(0.80 + 0.1 * i / nodes.length, () -> restartNode(place));
    }
  }

  private void forEachList(java.util.function.Consumer<DiscoveryModel> action) {
    for (DiscoveryModel list : lists) {
      action.accept(list);
    }
  }

  /** So many servers of a zone, or all of it, lose their power. */
  private void losePower(int zone, int maxServers, double downMs) {
    int lostServers = 0;
    for (int i = zone; i < servers.length && lostServers < maxServers; i += Assumptions.ZONES) {
      lostServers++;
      stopServer(servers[i], false, true, downMs);
    }
  }

  private void setPartitioned(boolean partitioned) {
    for (int i = 0; i < nodes.length; i++) {
      if (i % Assumptions.REGIONS == 0 && !nodes[i].isKilled()) {
        nodes[i].setPartitioned(partitioned);
      }
    }
  }

  // ---- the run ----

  /**
   * Runs it all.
   *
   * @param progress is told now and then which share (0 to 1) of the virtual time is over
   * @param measureState whether the cores' state is measured, by what of the heap is free without
   *     it
   */
  public FleetCounters run(DoubleConsumer progress, boolean measureState) {
    arrivalsEndMs = START_MS + shape.seconds() * 1000.0;
    for (int i = 0; i < nodes.length; i++) {
      startNode(i, true);
      scheduleArrival(i);
    }
    scheduleHeartbeat();
    SplittableRandom random = new SplittableRandom(shape.seed() + 2);
    scheduleChurn(random);
    if (shape.hasIncidents()) {
      scheduleIncidents();
    }
    double endMs = arrivalsEndMs + SETTLE_MS;
    for (double reportedMs = START_MS; reportedMs < endMs; ) {
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

  private void close(boolean measureState) {
    for (int i = 0; i < nodes.length; i++) {
      nodes[i].close();
      usedServers[i].or(nodes[i].usedServers());
      counters.usedServers += (double) usedServers[i].cardinality() / nodes.length;
      counters.listEntries += (double) lists[i % lists.length].size() / nodes.length;
    }
    counters.nodeSeconds = (long) shape.seconds() * nodes.length;
    forEachList(DiscoveryModel::completeList);
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
    long min = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      System.gc();
      min = Math.min(min, Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }
    return min;
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

  AppServerModel server(int index) {
    return servers[index];
  }

  long nextId() {
    return ++lastRequestId;
  }

  /** For tests of the judges. */
  DiscoveryModel list(int index) {
    return lists[index];
  }

  void record(int place, int kind, long id, long detail) {
    counters.addToDigest(
        Double.doubleToLongBits(timeline.nowMs())
            ^ ((long) place << 48)
            ^ ((long) kind << 40)
            ^ id * 31
            ^ Long.rotateLeft(detail, 20));
  }
}
