package edgenode.policy;

import java.util.List;

/** What a host tells one instance. */
public interface PolicyEvents {
  /** The list of servers: all of it, or the changed ones only. */
  void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete);

  /** A call to discovery failed or the subscription dropped. */
  void discoveryFailed(double nowMs);

  void requestArrived(double nowMs, IncomingRequest request);

  /** A streamed answer has begun: from here on the attempt is the client's. */
  void responseStarted(double nowMs, long requestId, int attempt);

  /** One attempt ended; over: the request needs no answer any more. */
  void attemptEnded(
      double nowMs,
      long requestId,
      int attempt,
      CallOutcome outcome,
      double tookMs,
      boolean isRequestOver,
      int trueUnits,
      double[] loadReport);

  void clientDisconnected(double nowMs, long requestId);

  void timerFired(double nowMs, long token);

  void healthCheckEnded(
      double nowMs, String endpointId, CallOutcome outcome, double tookMs, double[] loadReport);

  /**
   * How a call to the counter ended. Where it is overdue that is told first, and its end later: the
   * answer may still come. A host that gives up instead tells the one end TIMEOUT. The calls of a
   * name end in their order.
   */
  void counterCallEnded(double nowMs, long name, CallOutcome outcome, double tookMs, double total);

  /** A question, not an event: how many servers are listed as up and yet get nothing for now. */
  default int ejectedCount(double nowMs) {
    return 0;
  }
}
