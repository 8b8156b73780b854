package edgenode.simulation.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock (ms) and scheduled tasks, in the order of time, then of scheduling. */
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

  /** Tasks that have run. */
  long executedCount() {
    return serial - scheduled.size();
  }

  /** Schedules a task; now, where the time has passed. */
  void scheduleAt(double dueMs, Runnable task) {
    scheduled.add(new ScheduledTask(Math.max(nowMs, dueMs), serial++, task));
  }

  void scheduleAfter(double delayMs, Runnable task) {
    scheduleAt(nowMs + delayMs, task);
  }

  /**
   * Runs the next task that is due at {@code untilMs} or before.
   *
   * @return false where there is none; the clock is at {@code untilMs} then
   */
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

  /** Drops all tasks. */
  void clear() {
    scheduled.clear();
  }
}
