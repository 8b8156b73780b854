package edgenode.simulation.fleet;

import edgenode.policy.Capabilities;
import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.PolicySettings;
import edgenode.policy.Prices;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Figures of the model that no measurement backs: network, app servers, outside services, tenants.
 * The report prints them with each run.
 */
final class FleetAssumptions {
  /**
   * Adds a second that the counter's machines serve for one edge node: 16 machines of 100,000 over
   * 5,500 nodes.
   */
  static final double COUNTER_ADDS_PER_SECOND_PER_NODE = 16 * 100_000.0 / 5500;

  /**
   * Bytes a ms that discovery's machines send for one edge node: 10 machines of 10 Gbit/s over
   * 5,500 nodes.
   */
  static final double DISCOVERY_BYTES_PER_MS_PER_NODE = 10 * 1.25e6 / 5500;

  /** One way through the network (ms). */
  static final double ONE_WAY_LATENCY_MS = 0.25;

  /** Connects to a lost machine time out after this. */
  static final double CONNECT_TIMEOUT_MS = 250;

  /** Mean work of a request at an app server (ms of a core). */
  static final double MEAN_WORK_MS = 40;

  /** Speed of a server at its start, as a share of its full speed. */
  static final double INITIAL_SPEED_SHARE = 0.2;

  static final double WARM_UP_MS = 5000;

  /** Until discovery detects that a server has failed. */
  static final double FAILURE_DETECTION_MS = 1000;

  /** Discovery sends changes within this time in one message. */
  static final double CHANGE_BATCH_MS = 10;

  /** The counter rejects calls that would wait longer. */
  static final double COUNTER_MAX_QUEUE_MS = 200;

  /** Interval of a watch's heartbeats. */
  static final double HEARTBEAT_MS = 2000;

  /** Length of a heartbeat with its chunk. */
  static final int HEARTBEAT_BYTES = 7;

  /** Failures a day over {@link #ALL_MACHINES}. */
  static final double FAILURES_PER_DAY = 1000;

  static final double RESTARTS_PER_DAY = 9800;
  static final double ROUTE_CHANGES_PER_DAY = 30_000;

  /** Machines of the target fleet: nodes and app servers. */
  static final int ALL_MACHINES = 195_500;

  /** A tenant's rate falls with its rank by this power (Zipf's law). */
  static final double ZIPF_EXPONENT = 0.8;

  /** A tenant comes through one node for each so many requests a second. */
  static final double TENANT_RATE_PER_NODE = 20;

  /** Zones of the target fleet. */
  static final int ZONES = 10;

  static final int REGIONS = 5;

  static final int SERVERS_PER_RACK = 40;

  static final double KEEP_ALIVE_MS = 15_000;
  static final double COUNTER_TIMEOUT_MS = 80;

  /** A node closes its connection to the counter when an answer is this late. */
  static final double COUNTER_DISCONNECT_MS = 400;

  static final int PLAN_COUNT = 14;

  private FleetAssumptions() {}

  /** Rate of the quota plan of a step, 0 to {@link #PLAN_COUNT} - 1 (units a second). */
  static double planRatePerSecond(int step) {
    return 0.25 * Math.pow(4, step);
  }

  /** Settings of the decision module of one node. */
  static PolicySettings settings(int nodeIndex, int nodeCount, String zone) {
    List<QuotaPlan> plans = new ArrayList<>();
    for (int i = 0; i < PLAN_COUNT; i++) {
      plans.add(
          new QuotaPlan(
              "p" + i,
              planRatePerSecond(i),
              Math.max(4, 2 * planRatePerSecond(i)),
              0,
              1,
              0,
              1,
              0,
              0,
              0));
    }
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "read", Idempotency.IDEMPOTENT, IdempotencyGroup.CELL, 300, 900, 1, 0, 0, false),
            new RequestClass(
                "enrol", Idempotency.KEYED, IdempotencyGroup.CELL, 600, 1500, 2, 0, 7500, false));
    return new PolicySettings(
        nodeIndex,
        nodeCount,
        zone,
        4,
        false,
        false,
        1,
        List.of(),
        classes,
        plans,
        new Capabilities(
            false, true, false, true, false, true, 5, 2000, COUNTER_TIMEOUT_MS, KEEP_ALIVE_MS),
        new RuleLimits(16, 250, INITIAL_SPEED_SHARE, WARM_UP_MS, 3, 2000),
        new Prices(0.05, 0.01, 0.02, 0, 0.03));
  }

  /** One line of the report for each group of assumptions. */
  static List<String> describe() {
    return List.of(
        String.format(
            Locale.ROOT,
            "counter: %.0f adds/s for each node, a line of %.0f ms, %.2f ms each way",
            COUNTER_ADDS_PER_SECOND_PER_NODE,
            COUNTER_MAX_QUEUE_MS,
            ONE_WAY_LATENCY_MS),
        String.format(
            Locale.ROOT,
            "discovery: %.1f MB/s for each node, changes of %.0f ms in one message, a death"
                + " known after %.0f ms",
            DISCOVERY_BYTES_PER_MS_PER_NODE / 1000,
            CHANGE_BATCH_MS,
            FAILURE_DETECTION_MS),
        String.format(
            Locale.ROOT,
            "app servers: %d cores, mean work %.0f ms, cold %.0f%% growing to all in %.0f s",
            AppServerModel.CORES,
            MEAN_WORK_MS,
            100 * INITIAL_SPEED_SHARE,
            WARM_UP_MS / 1000),
        String.format(
            Locale.ROOT,
            "tenants: rate by rank^-%.1f, a node for each %.0f requests/s and two at least,"
                + " homed in groups of %d nodes; one in 20 asks more than its quota",
            ZIPF_EXPONENT,
            TENANT_RATE_PER_NODE,
            FleetShape.NODES_PER_GROUP),
        "a node carries one service's list, or with --flat all servers; a change of a route is told as a change of"
            + " one entry");
  }
}
