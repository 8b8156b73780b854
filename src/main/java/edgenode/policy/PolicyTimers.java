package edgenode.policy;

import java.util.PriorityQueue;

/**
 * The time of the event that is being handled, and the timers that are still to come. The shell
 * holds one timer for all of them, which is set anew only where an earlier one is needed.
 */
final class PolicyTimers {
  /** Length of a quota tick: reservations, releases and limits are adapted four times a second. */
  static final double QUOTA_TICK_MS = 250;

  /** The shell's timer is not set anew for a gain below this. */
  private static final double MIN_GAIN_MS = 1e-6;

  /** The shell may report a timer this much early by rounding. */
  private static final double ROUNDING_MS = 1e-3;

  /** From this number of timers on, those of finished requests are looked for. */
  private static final int MIN_PURGE_SIZE = 4096;

  /** The shell's timer is not set. */
  private static final double NOT_SET_MS = Double.MAX_VALUE;

  /**
   * A timer.
   *
   * @param serial timers of the same time fire in the order in which they were scheduled
   * @param request the request concerned, null for the kinds that concern none
   */
  record Timer(double atMs, long serial, TimerKind kind, PendingRequest request)
      implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(serial, other.serial);
    }
  }

  private final PolicyActions actions;
  private final double tickPhaseMs;
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private double nowMs;
  private double shellTimerAtMs = NOT_SET_MS;
  private long nextSerial;
  private int purgeSize = MIN_PURGE_SIZE;

  PolicyTimers(PolicySettings settings, PolicyActions actions, double nowMs) {
    this.actions = actions;
    this.nowMs = nowMs;
    tickPhaseMs = QUOTA_TICK_MS * settings.nodeIndex() / settings.nodeCount();
  }

  /** The time of the event that is being handled; it never goes back. */
  double nowMs() {
    return nowMs;
  }

  void advanceTo(double eventMs) {
    nowMs = Math.max(nowMs, eventMs);
  }

  /** Schedules a timer that concerns no request. */
  void schedule(TimerKind kind, double atMs) {
    schedule(kind, atMs, null);
  }

  void schedule(TimerKind kind, double atMs, PendingRequest request) {
    if (queue.size() >= purgeSize) {
      purge();
    }
    queue.add(new Timer(atMs, nextSerial++, kind, request));
    if (atMs < shellTimerAtMs - MIN_GAIN_MS) {
      setShellTimer(atMs);
    }
  }

  /**
   * Removes the timers of requests that are finished: they would hold these until the time for
   * which their clients would have waited. The number of timers doubles between two purges at
   * least, so that each costs O(1) for a timer.
   */
  private void purge() {
    queue.removeIf(timer -> timer.request != null && timer.request.isSettled());
    purgeSize = Math.max(MIN_PURGE_SIZE, 2 * queue.size());
  }

  /** How many timers are still to come. */
  int size() {
    return queue.size();
  }

  /** Takes the next timer that is due by now, null where none is. */
  Timer pollDue() {
    Timer next = queue.peek();
    return next != null && next.atMs <= nowMs ? queue.poll() : null;
  }

  /** Whether this event is the shell's timer that was set last, not an older one still to come. */
  boolean isLastShellTimer(double eventMs) {
    return eventMs >= shellTimerAtMs - ROUNDING_MS;
  }

  /** Sets the shell's timer for the next timer; a quota tick is always scheduled. */
  void setNextShellTimer() {
    setShellTimer(queue.peek().atMs);
  }

  private void setShellTimer(double atMs) {
    shellTimerAtMs = atMs;
    actions.setTimer(Math.max(0, atMs - nowMs), 0);
  }

  /**
   * The next quota tick of this node. Nodes spread their ticks over the period, or the counter
   * would get all calls at once.
   */
  double nextQuotaTickMs() {
    double next =
        (Math.floor((nowMs - tickPhaseMs) / QUOTA_TICK_MS) + 1) * QUOTA_TICK_MS + tickPhaseMs;
    // by rounding it may be this very instant, and ticks would follow each other without end
    return next > nowMs ? next : next + QUOTA_TICK_MS;
  }
}
