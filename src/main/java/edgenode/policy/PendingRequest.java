package edgenode.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request without a final answer, or with attempts still in flight. Ordered by the time until
 * which it is useful, then by arrival.
 */
final class PendingRequest implements Comparable<PendingRequest> {
  /** With less than this many mean times left, answers are late too often. */
  private static final double MIN_MEAN_TIMES_LEFT = 2;

  final IncomingRequest incoming;
  final RequestClassStats classStats;
  final Customer customer;

  /** The client waits until then. */
  final double deadlineMs;

  /** An answer counts in full until then: the latency objective, or the deadline if earlier. */
  final double usefulUntilMs;

  /** Place in the order of arrival. */
  final long serial;

  final List<Attempt> attempts = new ArrayList<>();

  /** Attempts in flight. */
  int inFlight;

  /** No answer is owed any more. */
  boolean isFinished;

  /** A streamed answer has begun: the attempt belongs to the client from here on. */
  boolean isStreaming;

  PendingRequest(
      IncomingRequest incoming,
      RequestClassStats classStats,
      Customer customer,
      double nowMs,
      long serial) {
    this.incoming = incoming;
    this.classStats = classStats;
    this.customer = customer;
    this.serial = serial;
    deadlineMs = nowMs + incoming.remainingMs();
    usefulUntilMs = Math.min(nowMs + latencyObjectiveMs(), deadlineMs);
  }

  long id() {
    return incoming.id();
  }

  int units() {
    return incoming.units();
  }

  RequestClass requestClass() {
    return classStats.requestClass;
  }

  double latencyObjectiveMs() {
    return classStats.requestClass.latencyObjectiveMs();
  }

  /** The latest time at which a first attempt is still worth sending. */
  double lastUsefulStartMs(double timerResolutionMs) {
    return Math.min(
        usefulUntilMs - MIN_MEAN_TIMES_LEFT * classStats.meanMs, lastAnswerMs(timerResolutionMs));
  }

  /**
   * The latest time at which an answer still reaches the client for certain: two timer resolutions
   * early.
   */
  double lastAnswerMs(double timerResolutionMs) {
    return deadlineMs - 2 * timerResolutionMs;
  }

  /** No answer is owed any more, and nothing is in flight. */
  boolean isSettled() {
    return isFinished && inFlight == 0;
  }

  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** The first attempt that may have done its work, null where none may. */
  Attempt firstThatMayHaveRun() {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).mayHaveRun()) {
        return attempts.get(i);
      }
    }
    return null;
  }

  boolean hasTried(Endpoint endpoint) {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).endpoint == endpoint) {
        return true;
      }
    }
    return false;
  }

  @Override
  public int compareTo(PendingRequest other) {
    int byUse = Double.compare(usefulUntilMs, other.usefulUntilMs);
    return byUse != 0 ? byUse : Long.compare(serial, other.serial);
  }
}
