package edgenode.membership;

import java.util.PriorityQueue;

/**
 * The times at which {@link Membership} must look again at an endpoint or at its sources, in order
 * of time and, for equal times, of scheduling. Adding and removing cost O(log n).
 */
final class DeadlineQueue {
  private record Deadline(double atMs, long sequence, String endpointId)
      implements Comparable<Deadline> {
    @Override
    public int compareTo(Deadline other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>();
  private long nextSequence;

  /**
   * Schedules a look at an endpoint.
   *
   * @param nowMs the time of the call; a deadline that is not later is moved just behind it
   * @param endpointId the endpoint, or null for the sources
   */
  void schedule(double nowMs, double atMs, String endpointId) {
    deadlines.add(new Deadline(Math.max(atMs, Math.nextUp(nowMs)), nextSequence++, endpointId));
  }

  /** The earliest deadline (ms), infinite where there is none. */
  double earliestMs() {
    return deadlines.isEmpty() ? Double.POSITIVE_INFINITY : deadlines.peek().atMs;
  }

  /** Removes the earliest deadline; returns its endpoint, or null for the sources. */
  String removeEarliest() {
    return deadlines.poll().endpointId;
  }

  int size() {
    return deadlines.size();
  }
}
