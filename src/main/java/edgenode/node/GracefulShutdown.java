package edgenode.node;

import edgenode.drain.DrainController;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.downstream.ClientListener;
import edgenode.policy.RequestClass;
import java.util.concurrent.CompletableFuture;

/**
 * Draining of clients, for a while or before the process ends. {@link DrainController} says which
 * phase it is; this class carries the phases out on the clients' connections. On the event loop
 * only, where not said otherwise.
 */
final class GracefulShutdown {
  /** New connections arrive for up to 400 ms after SIGTERM. */
  private static final double LISTEN_AFTER_SIGTERM_MS = 600;

  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline of a request class, of which
   * this much counts at most (ms), and {@link #KILL_GRACE_MS}. Until then requests that arrive on
   * open connections are answered.
   */
  private static final double MAX_GRANTED_DEADLINE_MS = 3000;

  private static final double KILL_GRACE_MS = 700;

  /** Subtracted from that time (ms), so that a busy machine writes its last responses in time. */
  private static final double KILL_MARGIN_MS = 50;

  /** Interval (ms) at which it is checked whether the node may end. */
  private static final double IDLE_CHECK_INTERVAL_MS = 5;

  private final NodeComponents components;
  private final Runnable beforeEnd;
  private final EdgeEventLoop loop;
  private final ClientListener downstream;
  private final DrainController drain = new DrainController();
  private final CompletableFuture<Void> completed = new CompletableFuture<>();
  private DrainController.Phase phase = DrainController.Phase.ACCEPTING;

  /** When a timer for the next phase is due (ms), or infinity. */
  private double nextPhaseAtMs = Double.POSITIVE_INFINITY;

  /** All requests are answered by then (ms), as the process may be killed. */
  private double killDeadlineMs = Double.POSITIVE_INFINITY;

  /**
   * @param beforeEnd runs on the event loop when all requests are answered
   */
  GracefulShutdown(NodeComponents components, Runnable beforeEnd) {
    this.components = components;
    this.beforeEnd = beforeEnd;
    loop = components.loop;
    downstream = components.downstream;
  }

  /** Whether clients are invited to connect. */
  boolean isAccepting() {
    return drain.isAccepting();
  }

  /** Whether the process is about to end. */
  boolean isShuttingDown() {
    return drain.isShuttingDown();
  }

  /** Starts to send clients away; connections are closed phase by phase. */
  void startDrain() {
    drain.startDrain(loop.nowMs());
    updatePhase();
  }

  /** Accepts clients again; false where the process ends. */
  boolean cancelDrain() {
    if (!drain.cancelDrain()) {
      return false;
    }
    updatePhase();
    return true;
  }

  /** Begins the end of the node: all requests are answered by the time of the kill. */
  void startShutdown() {
    double grantedMs = grantedMs();
    killDeadlineMs = loop.nowMs() + grantedMs;
    components.requests.limitDeadlines(killDeadlineMs);
    drain.startShutdown(loop.nowMs());
    downstream.startShutdown();
    downstream.stopAcceptingAtSharedAddress();
    updatePhase();
    loop.schedule(LISTEN_AFTER_SIGTERM_MS, this::stopListening);
    // A connection that always has a request open would never end.
    loop.schedule(grantedMs, downstream::stopFurtherRequests);
  }

  /** Completes when all requests are answered and their responses written. From any thread. */
  CompletableFuture<Void> completed() {
    return completed;
  }

  /** Time (ms) from SIGTERM in which everything must be answered. */
  private double grantedMs() {
    double longestDeadlineMs = 0;
    for (RequestClass requestClass : components.config.settings().requestClasses()) {
      longestDeadlineMs = Math.max(longestDeadlineMs, requestClass.deadlineMs());
    }
    return Math.min(longestDeadlineMs, MAX_GRANTED_DEADLINE_MS) + KILL_GRACE_MS - KILL_MARGIN_MS;
  }

  private void stopListening() {
    downstream.stopListening();
    completeWhenIdle();
  }

  private void updatePhase() {
    double nowMs = loop.nowMs();
    downstream.setAcceptingClients(drain.isAccepting());
    DrainController.Phase nextPhase = drain.phase(nowMs);
    if (nextPhase != phase) {
      phase = nextPhase;
      switch (nextPhase) {
        case CLOSING_CONNECTIONS -> downstream.closeIdleConnections();
        case READING_STOPPED -> downstream.stopFurtherRequests();
        case ACCEPTING -> downstream.cancelClose();
        default -> {} // PING fails, connections stay open
      }
    }
    double nextAtMs = drain.nextPhaseChangeMs(nowMs);
    if (nextAtMs < Double.POSITIVE_INFINITY && nextAtMs != nextPhaseAtMs) {
      nextPhaseAtMs = nextAtMs;
      loop.schedule(Math.max(1, nextAtMs - nowMs + 1), this::phaseTimerFired);
    }
  }

  private void phaseTimerFired() {
    nextPhaseAtMs = Double.POSITIVE_INFINITY;
    updatePhase();
  }

  /**
   * Completes once no connection is left, or once clients may send nothing more and everything is
   * answered and written. No time limit alone ends the node: deadlines bound the requests, and the
   * connections bound how long a client that does not read is waited for.
   */
  private void completeWhenIdle() {
    boolean isAllAnswered =
        loop.nowMs() >= killDeadlineMs
            && components.requests.openRequestCount() == 0
            && downstream.openRequestCount() == 0
            && !downstream.hasUnwrittenResponses();
    if (downstream.hasNoConnections() || isAllAnswered) {
      beforeEnd.run();
      completed.complete(null);
    } else {
      loop.schedule(IDLE_CHECK_INTERVAL_MS, this::completeWhenIdle);
    }
  }
}
