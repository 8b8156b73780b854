package edgenode.simulation.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The figures of a run, for the report, beside their budgets. Their names and units are fields of
 * {@code scale.json} and stay.
 */
final class FleetFigures {
  /** Budgets of one node for control traffic, memory and CPU. */
  private static final double CONTROL_BYTES_PER_SECOND_BUDGET = 10_000;

  private static final double MEMORY_BYTES_BUDGET = 256e6;
  private static final double CORE_SHARE_BUDGET = 0.014;

  /** Budget for a change until all nodes have it. */
  private static final double CHANGE_LATENCY_MS_BUDGET = 4000;

  /** The longest list that {@code AgentSource} and {@code HttpPollingSource} accept. */
  private static final double MAX_LIST_BYTES = 8 << 20;

  /** {@code AgentSource} polls at {@link #POLLS_PER_SECOND} where the list is no longer. */
  private static final int MAX_POLLED_LIST_BYTES = 48 << 10;

  private static final double POLLS_PER_SECOND = 8;

  /** How a figure came about; the lower-case names are in the report. */
  enum Kind {
    /** Counted in the run. */
    MEASURED,
    /** Depends on the machine. */
    TIMED,
    /** Computed from other figures. */
    COMPUTED
  }

  /** One figure; {@code budget} is NaN where there is none. */
  record Figure(String name, double value, String unit, Kind kind, double budget) {}

  private FleetFigures() {}

  /** All figures of a run, in the order of the report. */
  static List<Figure> of(FleetVerdicts.Run run) {
    List<Figure> figures = new ArrayList<>();
    addRequests(figures, run.counters());
    addControl(figures, run.counters(), run.shape());
    addControlBytes(figures, run.counters(), run.shape());
    addChangeLatency(figures, run.counters());
    addTimes(figures, run.counters());
    return figures;
  }

  private static void addRequests(List<Figure> figures, FleetCounters counters) {
    double seconds = Math.max(1, counters.nodeSeconds);
    add(figures, "requests decided a node and second", counters.arrived / seconds, "1/s");
    add(figures, "served", (double) counters.served / counters.arrived, "of requests");
    add(figures, "refused", (double) counters.rejected / counters.arrived, "of requests");
    add(figures, "failed", (double) counters.failed / counters.arrived, "of requests");
    add(
        figures,
        "units beyond quotas",
        (double) counters.unitsOverQuota / Math.max(1, counters.units),
        "of those sent");
    add(figures, "sends a request", (double) counters.sends / counters.arrived, "");
    add(figures, "new connections a node and second", counters.connects / seconds, "1/s");
    add(figures, "servers that a node has sent to", counters.usedServers, "");
    add(figures, "entries on a node's list", counters.listEntries, "");
    add(
        figures,
        "connect tries of dead and held servers a node and second",
        counters.reachabilityChecks / seconds,
        "1/s");
  }

  private static void addControl(List<Figure> figures, FleetCounters counters, FleetShape shape) {
    double seconds = Math.max(1, counters.nodeSeconds);
    add(figures, "counter calls a node and second", counters.counterCalls / seconds, "1/s");
    add(
        figures,
        "counter calls turned away or late",
        (double) (counters.counterRejected + counters.counterLate)
            / Math.max(1, counters.counterCalls),
        "of calls");
    add(
        figures,
        "counter bytes a node and second, both ways",
        counters.counterBytes / seconds,
        "B/s");
    add(figures, "changes made at discovery", counters.changesMade, "");
    add(figures, "changes told a node", (double) counters.changesSent / shape.modelledNodes(), "");
    add(
        figures,
        "bytes a change told",
        (double) counters.changeBytes / Math.max(1, counters.changesDue),
        "B");
    add(figures, "whole lists a node", (double) counters.completeLists / shape.modelledNodes(), "");
  }

  private static void addControlBytes(
      List<Figure> figures, FleetCounters counters, FleetShape shape) {
    double seconds = Math.max(1, counters.nodeSeconds);
    double controlBytes =
        counters.counterBytes
            + counters.completeListBytes
            + counters.changeBytes
            + counters.heartbeatBytes;
    figures.add(
        new Figure(
            "bytes of a whole list", counters.listBytes, "B", Kind.MEASURED, MAX_LIST_BYTES));
    figures.add(
        new Figure(
            "control bytes a node and second, churn pressed together",
            controlBytes / seconds,
            "B/s",
            Kind.MEASURED,
            CONTROL_BYTES_PER_SECOND_BUDGET));
    if (shape.hours() > 0) { // the budget is for churn at its real pace
      figures.add(
          new Figure(
              "the same at the day's own pace",
              (counters.counterBytes + counters.heartbeatBytes) / seconds
                  + (counters.completeListBytes + counters.changeBytes)
                      / (shape.hours() * 3600 * shape.modelledNodes()),
              "B/s",
              Kind.COMPUTED,
              CONTROL_BYTES_PER_SECOND_BUDGET));
    }
    if (counters.listBytes <= MAX_POLLED_LIST_BYTES) {
      figures.add(
          new Figure(
              "looks at the agent on the node's own machine",
              POLLS_PER_SECOND * counters.listBytes,
              "B/s",
              Kind.COMPUTED,
              Double.NaN));
    }
  }

  private static void addChangeLatency(List<Figure> figures, FleetCounters counters) {
    figures.add(
        new Figure(
            "change in force, 99 in 100",
            counters.changeLatencyUs.getValueAtPercentile(99) / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            CHANGE_LATENCY_MS_BUDGET));
    figures.add(
        new Figure(
            "change in force, last",
            counters.changeLatencyUs.getMaxValue() / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            CHANGE_LATENCY_MS_BUDGET));
  }

  private static void addTimes(List<Figure> figures, FleetCounters counters) {
    double seconds = Math.max(1, counters.nodeSeconds);
    figures.add(
        new Figure(
            "decision CPU a request",
            counters.policyCpuNs / 1e3 / counters.arrived,
            "us",
            Kind.TIMED,
            Double.NaN));
    figures.add(
        new Figure(
            "decision CPU a node",
            counters.policyCpuNs / 1e9 / seconds,
            "of a core",
            Kind.TIMED,
            Double.NaN));
    figures.add(
        new Figure(
            "membership CPU a node",
            counters.membershipCpuNs / 1e9 / seconds,
            "of a core",
            Kind.TIMED,
            CORE_SHARE_BUDGET));
    if (counters.stateBytes >= 0) {
      figures.add(
          new Figure(
              "state of the cores a node",
              counters.stateBytes,
              "B",
              Kind.TIMED,
              MEMORY_BYTES_BUDGET));
    }
  }

  private static void add(List<Figure> figures, String name, double value, String unit) {
    figures.add(new Figure(name, value, unit, Kind.MEASURED, Double.NaN));
  }
}
