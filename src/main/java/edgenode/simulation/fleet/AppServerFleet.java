package edgenode.simulation.fleet;

import edgenode.policy.CallOutcome;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The modelled app servers and their lists at discovery: serves attempts, and stops and restarts
 * servers, in virtual time.
 */
final class AppServerFleet {
  private static final double ROUND_TRIP_MS = 2 * FleetAssumptions.ONE_WAY_LATENCY_MS;

  /** From the notice that a server drains to its stop (ms). */
  private static final double DRAIN_MS = 1000;

  /** Load of the nodes that are not modelled takes at most this share of a server's speed. */
  private static final double MAX_UNMODELLED_LOAD = 0.95;

  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final SplittableRandom workRandom;
  private final double arrivalsEndMs;
  private final AppServerModel[] servers;
  private final DiscoveryModel[] lists;

  /** Sends to servers that have warmed up, by list. */
  private final long[] warmSends;

  /** Share of each server's speed that nodes take which are not modelled. */
  private final double unmodelledLoad;

  private double wrongListsFromMs = Double.POSITIVE_INFINITY;

  AppServerFleet(
      FleetShape shape,
      VirtualTimeline timeline,
      FleetCounters counters,
      SplittableRandom workRandom,
      double arrivalsEndMs) {
    this.timeline = timeline;
    this.counters = counters;
    this.workRandom = workRandom;
    this.arrivalsEndMs = arrivalsEndMs;
    servers = new AppServerModel[shape.modelledServers()];
    lists = new DiscoveryModel[shape.modelledLists()];
    warmSends = new long[lists.length];
    int perList = shape.serversPerList();
    for (int i = 0; i < servers.length; i++) {
      servers[i] = new AppServerModel(i, i / perList, "z" + i % FleetAssumptions.ZONES);
    }
    DiscoveryModel.Link link =
        new DiscoveryModel.Link(
            FleetAssumptions.DISCOVERY_BYTES_PER_MS_PER_NODE * shape.modelledNodes());
    for (int i = 0; i < lists.length; i++) {
      lists[i] = new DiscoveryModel(timeline, counters, link, servers, i * perList, perList);
    }
    unmodelledLoad = shape.isFlat() ? unmodelledLoad(shape) : 0;
  }

  private static double unmodelledLoad(FleetShape shape) {
    return Math.min(
        MAX_UNMODELLED_LOAD,
        shape.requestsPerSecond()
            * (1 - shape.modelledShare())
            / shape.servers()
            * FleetAssumptions.MEAN_WORK_MS
            / 1000
            / AppServerModel.CORES);
  }

  AppServerModel server(int index) {
    return servers[index];
  }

  AppServerModel randomServer(SplittableRandom random) {
    return servers[random.nextInt(servers.length)];
  }

  int serverCount() {
    return servers.length;
  }

  DiscoveryModel list(int index) {
    return lists[index];
  }

  /** The list that a node uses. */
  DiscoveryModel listOfNode(int node) {
    return lists[node % lists.length];
  }

  void forEachList(Consumer<DiscoveryModel> action) {
    for (DiscoveryModel list : lists) {
      action.accept(list);
    }
  }

  /**
   * From this time on (ms) nodes may hold wrong lists or restart, so the load of servers that warm
   * up is not judged.
   */
  void setWrongListsFromMs(double timeMs) {
    wrongListsFromMs = timeMs;
  }

  // ---- requests ----

  /** Brings an attempt to its server and its end back to the node. */
  void forward(ModelNode node, RequestAttempt attempt) {
    AppServerModel server = attempt.server;
    double nowMs = timeline.nowMs();
    if (!server.isUp) {
      connectFailed(node, attempt, nowMs);
      return;
    }
    boolean isWarmingUp =
        server.startedAtMs > 0 && nowMs - server.startedAtMs < FleetAssumptions.WARM_UP_MS;
    server.warmUpSends += isWarmingUp ? 1 : 0;
    warmSends[server.listIndex] += isWarmingUp ? 0 : 1;
    double speed =
        server.speed(nowMs, FleetAssumptions.INITIAL_SPEED_SHARE, FleetAssumptions.WARM_UP_MS)
            * (1 - unmodelledLoad);
    double workMs = -Math.log(1 - workRandom.nextDouble()) * FleetAssumptions.MEAN_WORK_MS;
    double doneMs =
        server.enqueue(
            nowMs + FleetAssumptions.ONE_WAY_LATENCY_MS,
            workMs,
            FleetAssumptions.MEAN_WORK_MS,
            speed);
    if (Double.isNaN(doneMs)) {
      counters.rejectedByServer++;
      timeline.scheduleAfter(ROUND_TRIP_MS, () -> node.attemptEnded(attempt, CallOutcome.FULL));
      return;
    }
    double answeredMs = doneMs + FleetAssumptions.ONE_WAY_LATENCY_MS;
    timeline.scheduleAt(
        Math.min(answeredMs, attempt.request.deadlineMs),
        () -> attemptDue(node, attempt, answeredMs));
  }

  private void connectFailed(ModelNode node, RequestAttempt attempt, double nowMs) {
    AppServerModel server = attempt.server;
    boolean isRefused = !server.isUnresponsive;
    counters.connectFailures++;
    timeline.scheduleAt(
        Math.min(
            attempt.request.deadlineMs,
            nowMs + (isRefused ? ROUND_TRIP_MS : FleetAssumptions.CONNECT_TIMEOUT_MS)),
        () -> {
          node.attemptEnded(attempt, CallOutcome.NO_CONNECTION);
          node.connectFailed(server, isRefused);
        });
  }

  /** The answer is there or the deadline is reached, unless the server has stopped meanwhile. */
  private void attemptDue(ModelNode node, RequestAttempt attempt, double answeredMs) {
    boolean hasRestarted = attempt.server.incarnation != attempt.incarnation;
    double deadlineMs = attempt.request.deadlineMs;
    if (hasRestarted && !attempt.server.isUnresponsive) {
      counters.resets++;
      node.attemptEnded(attempt, CallOutcome.RESET);
    } else if (hasRestarted || answeredMs > deadlineMs) {
      counters.timeouts++;
      timeline.scheduleAt(deadlineMs, () -> node.attemptEnded(attempt, CallOutcome.TIMEOUT));
    } else {
      node.attemptEnded(attempt, CallOutcome.OK);
    }
  }

  // ---- stops and restarts ----

  /** Stops a server that is listed as draining first, and restarts it {@code downMs} from now. */
  void stopGracefully(AppServerModel server, double downMs) {
    if (!isActive(server)) {
      return;
    }
    setHealth(server, AppServerModel.Health.LEAVING);
    timeline.scheduleAfter(DRAIN_MS, () -> crash(server, false));
    timeline.scheduleAfter(downMs, () -> restart(server));
  }

  /**
   * Stops a server's machine without notice; discovery detects it later. It restarts {@code downMs}
   * from now.
   */
  void failMachine(AppServerModel server, double downMs) {
    if (!isActive(server)) {
      return;
    }
    int incarnation = server.incarnation + 1;
    crash(server, true);
    timeline.scheduleAfter(
        FleetAssumptions.FAILURE_DETECTION_MS,
        () -> {
          if (server.incarnation == incarnation && !server.isUp) {
            setHealth(server, AppServerModel.Health.LEFT);
          }
        });
    timeline.scheduleAfter(downMs, () -> restart(server));
  }

  /** The machines of a zone fail, {@code maxServers} of them at most. */
  void failZone(int zone, int maxServers, double downMs) {
    int failed = 0;
    for (int i = zone; i < servers.length && failed < maxServers; i += FleetAssumptions.ZONES) {
      failed++;
      failMachine(servers[i], downMs);
    }
  }

  /** The route to a server changes: its entry is listed anew. */
  void changeRoute(AppServerModel server) {
    if (server.health == AppServerModel.Health.ACTIVE) {
      lists[server.listIndex].serverChanged(server);
    }
  }

  private static boolean isActive(AppServerModel server) {
    return server.isUp && server.health == AppServerModel.Health.ACTIVE;
  }

  private void crash(AppServerModel server, boolean isMachineLost) {
    if (server.isUp) {
      server.crash(isMachineLost);
    }
  }

  private void restart(AppServerModel server) {
    if (server.isUp) {
      return;
    }
    server.restart(timeline.nowMs(), warmSends[server.listIndex]);
    setHealth(server, AppServerModel.Health.ACTIVE);
    int incarnation = server.incarnation;
    timeline.scheduleAfter(
        FleetAssumptions.WARM_UP_MS,
        () -> {
          if (server.isUp
              && server.incarnation == incarnation
              && timeline.nowMs() < arrivalsEndMs) {
            warmUpEnded(server);
          }
        });
  }

  private void setHealth(AppServerModel server, AppServerModel.Health health) {
    server.health = health;
    lists[server.listIndex].serverChanged(server);
  }

  /**
   * Counts what all nodes together sent a server in its warm-up, beside what they may send it: the
   * mean of the warm servers, scaled to the speed that it had.
   */
  private void warmUpEnded(AppServerModel server) {
    DiscoveryModel list = lists[server.listIndex];
    int warmServers = 0;
    for (int i = list.firstServer(); i < list.firstServer() + list.size(); i++) {
      boolean isWarm =
          servers[i].isUp
              && timeline.nowMs() - servers[i].startedAtMs > FleetAssumptions.WARM_UP_MS;
      warmServers += isWarm ? 1 : 0;
    }
    if (timeline.nowMs() > wrongListsFromMs) {
      counters.warmUpsNotJudged++;
      return;
    }
    double sendsPerWarmServer =
        (double) (warmSends[server.listIndex] - server.listSendsAtStart) / Math.max(1, warmServers);
    double overloadShare =
        Math.max(1, FleetAssumptions.settings(0, 1, "").rules().overloadFactor() / 2);
    counters.warmUps.add(
        new FleetCounters.WarmUpSample(
            server.index,
            server.warmUpSends,
            sendsPerWarmServer * overloadShare * (1 + FleetAssumptions.INITIAL_SPEED_SHARE) / 2));
  }
}
