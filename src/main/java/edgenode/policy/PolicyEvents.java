package edgenode.policy;

import java.util.List;

/**
 * What a shell reports to the engine. All calls are made by one thread; the engine answers by
 * calling {@link PolicyActions} during the event or not at all. Times are milliseconds on the
 * shell's clock, on which {@link EndpointInfo#startedAtMs} is given too (a node: Unix time at its
 * start, monotonic from there). A time before that of the previous event counts as that one. Ids
 * that are not known are ignored.
 */
public interface PolicyEvents {
  /**
   * Endpoints have changed.
   *
   * @param isComplete the list is the whole one, not only what has changed
   */
  void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete);

  /** A call to discovery failed, or the subscription ended. */
  void discoveryFailed(double nowMs);

  /** A request arrived. It is rejected where its class or plan is unknown. */
  void requestArrived(double nowMs, IncomingRequest request);

  /** A streamed answer has begun: the request is not answered by the engine any more. */
  void responseStarted(double nowMs, long requestId, int attempt);

  /**
   * An attempt ended.
   *
   * @param isRequestOver the request needs no answer any more
   */
  void attemptEnded(
      double nowMs, long requestId, int attempt, AttemptResult result, boolean isRequestOver);

  /** The client of a request has disconnected: no further attempt is made. */
  void clientDisconnected(double nowMs, long requestId);

  /** A timer fired. */
  void timerFired(double nowMs, long token);

  /**
   * A health check ended. Not used by this engine; part of the simulator's protocol.
   *
   * @param loadReport as in {@link AttemptResult}
   */
  void healthCheckEnded(
      double nowMs, String endpointId, CallOutcome outcome, double tookMs, double[] loadReport);

  /**
   * A call to the counter ended. An overdue one is reported as {@link CallOutcome#OVERDUE} first,
   * and its end later, as the answer may still come; a shell that gives up at once reports one
   * {@link CallOutcome#TIMEOUT}. The calls of a name end in their order.
   *
   * @param total the count with the amount added, where the outcome is OK
   */
  void counterCallEnded(double nowMs, long name, CallOutcome outcome, double tookMs, double total);

  /** How many endpoints are listed as up and yet get nothing for now. Not an event. */
  default int ejectedCount(double nowMs) {
    return 0;
  }
}
