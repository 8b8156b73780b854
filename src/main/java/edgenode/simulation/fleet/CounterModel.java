package edgenode.simulation.fleet;

import edgenode.policy.CallOutcome;
import java.util.HashMap;
import java.util.Map;

/**
 * The counter, thinly: totals by name, so many adds a second in their order, a line before it; may
 * be away.
 */
final class CounterModel {
  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final WireFormats formats;
  private final double serviceTimeMs;
  private final Map<Long, Double> totals = new HashMap<>();
  private double freeAtMs;
  private boolean setUnavailable;

  CounterModel(
      VirtualTimeline timeline, FleetCounters counters, WireFormats formats, double addsPerSecond) {
    this.timeline = timeline;
    this.counters = counters;
    this.formats = formats;
    serviceTimeMs = 1000 / addsPerSecond;
  }

  void setUnavailable(boolean unavailable) {
    setUnavailable = unavailable;
  }

  /** An add by a node; its outcome is told as the counter's client tells it. */
  void add(ModelNode node, long name, double amount, double ttlMs, boolean isPartitioned) {
    counters.counterCalls++;
    counters.counterBytes += formats.addBytes(name, amount, ttlMs);
    double sentMs = timeline.nowMs();
    double receivedMs = sentMs + Assumptions.ONE_WAY_LATENCY_MS;
    if (setUnavailable || isPartitioned) {
      timeline.scheduleAfter(
          Assumptions.COUNTER_TIMEOUT_MS,
          () -> node.counterCallEnded(name, CallOutcome.OVERDUE, sentMs, 0));
      timeline.scheduleAfter(
          Assumptions.COUNTER_DISCONNECT_MS,
          () -> node.counterCallEnded(name, CallOutcome.RESET, sentMs, 0));
      return;
    }
    if (freeAtMs - receivedMs > Assumptions.COUNTER_MAX_QUEUE_MS) {
      counters.counterRejected++;
      timeline.scheduleAt(
          receivedMs + Assumptions.ONE_WAY_LATENCY_MS,
          () -> node.counterCallEnded(name, CallOutcome.FULL, sentMs, 0));
      return;
    }
    freeAtMs = Math.max(freeAtMs, receivedMs) + serviceTimeMs;
    double executedMs = freeAtMs;
    double answeredMs = executedMs + Assumptions.ONE_WAY_LATENCY_MS;
    if (answeredMs - sentMs > Assumptions.COUNTER_TIMEOUT_MS) {
      counters.counterLate++;
      timeline.scheduleAt(
          sentMs + Assumptions.COUNTER_TIMEOUT_MS,
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
