package edgenode.simulation.fleet;

import edgenode.policy.CallOutcome;
import java.util.HashMap;
import java.util.Map;

/**
 * Model of the counter: totals by name, one queue, a fixed time for each add, and outages. The
 * bytes of its messages are counted in their real form.
 */
final class CounterModel {
  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final WireFormats formats;
  private final double serviceTimeMs;
  private final Map<Long, Double> totals = new HashMap<>();
  private double freeAtMs;
  private boolean isUnavailable;

  CounterModel(
      VirtualTimeline timeline, FleetCounters counters, WireFormats formats, double addsPerSecond) {
    this.timeline = timeline;
    this.counters = counters;
    this.formats = formats;
    serviceTimeMs = 1000 / addsPerSecond;
  }

  /** Begins or ends an outage; calls in an outage get no answer. */
  void setUnavailable(boolean unavailable) {
    isUnavailable = unavailable;
  }

  /**
   * Adds to a total for a node, which gets the outcomes that the counter's client would report.
   *
   * @param ttlMs how long the counter keeps the total
   * @param isPartitioned whether the node cannot reach the counter
   */
  void add(ModelNode node, long name, double amount, double ttlMs, boolean isPartitioned) {
    counters.counterCalls++;
    counters.counterBytes += formats.addBytes(name, amount, ttlMs);
    double sentMs = timeline.nowMs();
    double receivedMs = sentMs + FleetAssumptions.ONE_WAY_LATENCY_MS;
    if (isUnavailable || isPartitioned) {
      timeline.scheduleAfter(
          FleetAssumptions.COUNTER_TIMEOUT_MS,
          () -> node.counterCallEnded(name, CallOutcome.OVERDUE, sentMs, 0));
      timeline.scheduleAfter(
          FleetAssumptions.COUNTER_DISCONNECT_MS,
          () -> node.counterCallEnded(name, CallOutcome.RESET, sentMs, 0));
      return;
    }
    if (freeAtMs - receivedMs > FleetAssumptions.COUNTER_MAX_QUEUE_MS) {
      counters.counterRejected++;
      timeline.scheduleAt(
          receivedMs + FleetAssumptions.ONE_WAY_LATENCY_MS,
          () -> node.counterCallEnded(name, CallOutcome.FULL, sentMs, 0));
      return;
    }
    freeAtMs = Math.max(freeAtMs, receivedMs) + serviceTimeMs;
    double executedMs = freeAtMs;
    double answeredMs = executedMs + FleetAssumptions.ONE_WAY_LATENCY_MS;
    if (answeredMs - sentMs > FleetAssumptions.COUNTER_TIMEOUT_MS) {
      counters.counterLate++;
      timeline.scheduleAt(
          sentMs + FleetAssumptions.COUNTER_TIMEOUT_MS,
          () -> node.counterCallEnded(name, CallOutcome.OVERDUE, sentMs, 0));
    }
    timeline.scheduleAt(
        executedMs,
        () -> {
          double total = totals.merge(name, amount, Double::sum);
          counters.counterBytes += formats.totalBytes(total);
          timeline.scheduleAt(
              answeredMs, () -> node.counterCallEnded(name, CallOutcome.OK, sentMs, total));
        });
  }
}
