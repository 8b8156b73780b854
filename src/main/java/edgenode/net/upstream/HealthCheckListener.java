package edgenode.net.upstream;

import edgenode.policy.CallOutcome;

/** Receives the results of {@link UpstreamConnectionPool#checkHealth}. */
public interface HealthCheckListener {
  /**
   * A health check has ended; called once for each, on the event loop thread.
   *
   * @param durationMs from the call to its end
   * @param load the endpoint's load report in the order of the settings' fields, NaN for a field
   *     that it lacks; empty where there is no report
   */
  void healthCheckEnded(String endpointId, CallOutcome outcome, double durationMs, double[] load);
}
