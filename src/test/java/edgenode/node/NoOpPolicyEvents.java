package edgenode.node;

import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.PolicyEvents;
import java.util.List;

/** A module for tests that does nothing of itself: each test says what it is about. */
public abstract class NoOpPolicyEvents implements PolicyEvents {
  @Override
  public void endpointsChanged(double now, List<EndpointInfo> list, boolean whole) {}

  @Override
  public void discoveryFailed(double now) {}

  @Override
  public void responseStarted(double now, long id, int attempt) {}

  @Override
  public void attemptEnded(
      double now,
      long id,
      int attempt,
      CallOutcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {}

  @Override
  public void clientDisconnected(double now, long id) {}

  @Override
  public void timerFired(double now, long token) {}

  @Override
  public void healthCheckEnded(
      double now, String server, CallOutcome outcome, double took, double[] load) {}

  @Override
  public void counterCallEnded(
      double now, long name, CallOutcome outcome, double took, double total) {}
}
