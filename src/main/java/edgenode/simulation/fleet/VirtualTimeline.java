package edgenode.simulation.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time (ms): what is due, in the order of time, and of asking where times are equal. */
final class VirtualTimeline {
  private record ScheduledTask(double dueMs, long serial, Runnable task) {}

  private final PriorityQueue<ScheduledTask> scheduled =
      new PriorityQueue<>(
          Comparator.<ScheduledTask>comparingDouble(d -> d.dueMs).thenComparingLong(d -> d.serial));
  private double nowMs;
  private long serial;

  VirtualTimeline(double now) {
    this.nowMs = now;
  }

  double nowMs() {
    return nowMs;
  }

  /** Things done so far. */
  long executedCount() {
    return serial - scheduled.size();
  }

  void scheduleAt(double dueMs, Runnable task) {
    scheduled.add(new ScheduledTask(Math.max(nowMs, dueMs), serial++, task));
  }

  void scheduleAfter(double delayMs, Runnable task) {
    scheduleAt(nowMs + delayMs, task);
  }

  /** Does the next thing, unless it is due after this time; then the clock stands there. */
  boolean runNext(double untilMs) {
    if (scheduled.isEmpty() || scheduled.peek().dueMs > untilMs) {
      nowMs = Math.max(nowMs, untilMs);
      return false;
    }
    ScheduledTask next = scheduled.poll();
    nowMs = next.dueMs;
    next.task.run();
    return true;
  }

  /** Nothing more is done. */
  void clear() {
    scheduled.clear();
  }
}
