package edgenode.simulation.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time (ms): what is due, in the order of time, and of asking where times are equal. */
final class Agenda {
  private record Due(double at, long serial, Runnable what) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          Comparator.<Due>comparingDouble(d -> d.at).thenComparingLong(d -> d.serial));
  private double now;
  private long serial;

  Agenda(double now) {
    this.now = now;
  }

  double now() {
    return now;
  }

  /** Things done so far. */
  long done() {
    return serial - due.size();
  }

  void at(double time, Runnable what) {
    due.add(new Due(Math.max(now, time), serial++, what));
  }

  void after(double ms, Runnable what) {
    at(now + ms, what);
  }

  /** Does the next thing, unless it is due after this time; then the clock stands there. */
  boolean step(double until) {
    if (due.isEmpty() || due.peek().at > until) {
      now = Math.max(now, until);
      return false;
    }
    Due next = due.poll();
    now = next.at;
    next.what.run();
    return true;
  }

  /** Nothing more is done. */
  void clear() {
    due.clear();
  }
}
