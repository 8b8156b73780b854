package edgenode.node;

import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.PolicyEvents;
import java.util.List;

/** A policy for tests that ignores all events; each test overrides what it needs. */
public abstract class NoOpPolicyEvents implements PolicyEvents {
  @Override
  public void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete) {}

  @Override
  public void discoveryFailed(double nowMs) {}

  @Override
  public void responseStarted(double nowMs, long requestId, int attempt) {}

  @Override
  public void attemptEnded(
      double nowMs, long requestId, int attempt, AttemptResult result, boolean isRequestOver) {}

  @Override
  public void clientDisconnected(double nowMs, long requestId) {}

  @Override
  public void timerFired(double nowMs, long token) {}

  @Override
  public void healthCheckEnded(
      double nowMs, String server, CallOutcome outcome, double tookMs, double[] loadReport) {}

  @Override
  public void counterCallEnded(
      double nowMs, long name, CallOutcome outcome, double tookMs, double total) {}
}
