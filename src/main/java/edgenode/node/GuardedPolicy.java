package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.counter.CounterListener;
import edgenode.net.upstream.HealthCheckListener;
import edgenode.net.upstream.UpstreamAttempt;
import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyEvents;
import java.util.List;

/**
 * Delivers events to the policy. An exception in the policy is logged and never reaches the event
 * loop; where a request or a timer depends on the event, the method returns whether the policy
 * handled it. On the event loop only.
 */
final class GuardedPolicy implements HealthCheckListener, CounterListener {
  /** The node settles no units: the policy goes by what a request named. */
  private static final int NO_TRUE_UNITS = 0;

  private final EdgeEventLoop loop;

  /** Null until the start. */
  private PolicyEvents policy;

  GuardedPolicy(EdgeEventLoop loop) {
    this.loop = loop;
  }

  /** Sets the policy, before the first event. */
  void start(PolicyEvents startedPolicy) {
    policy = startedPolicy;
  }

  private boolean logFailure(Throwable failure) {
    loop.logFailure("policy", failure);
    return false;
  }

  /** Returns false where the policy failed: the request is still open. */
  boolean requestArrived(double nowMs, IncomingRequest request) {
    try {
      policy.requestArrived(nowMs, request);
      return true;
    } catch (RuntimeException | Error e) {
      return logFailure(e);
    }
  }

  /** Returns false where the policy failed: the request may still be open. */
  boolean attemptEnded(
      double nowMs,
      PendingRequest request,
      UpstreamAttempt attempt,
      CallOutcome outcome,
      double[] loadReport) {
    try {
      policy.attemptEnded(
          nowMs,
          request.id(),
          attempt.number,
          new AttemptResult(outcome, nowMs - attempt.requestedAtMs, NO_TRUE_UNITS, loadReport),
          request.isFinished());
      return true;
    } catch (RuntimeException | Error e) {
      return logFailure(e);
    }
  }

  /** The request needs no decision any more: its client disconnected, or the node answered it. */
  void clientDisconnected(long requestId) {
    try {
      policy.clientDisconnected(loop.nowMs(), requestId);
    } catch (RuntimeException | Error e) {
      logFailure(e);
    }
  }

  /** Returns false where the policy failed: it may have set no further timer. */
  boolean timerFired(double nowMs, long token) {
    try {
      policy.timerFired(nowMs, token);
      return true;
    } catch (RuntimeException | Error e) {
      return logFailure(e);
    }
  }

  void endpointsChanged(List<EndpointInfo> endpoints, boolean isComplete) {
    try {
      policy.endpointsChanged(loop.nowMs(), endpoints, isComplete);
    } catch (RuntimeException | Error e) {
      logFailure(e);
    }
  }

  void discoveryFailed() {
    try {
      policy.discoveryFailed(loop.nowMs());
    } catch (RuntimeException | Error e) {
      logFailure(e);
    }
  }

  @Override
  public void healthCheckEnded(
      String endpointId, CallOutcome outcome, double durationMs, double[] loadReport) {
    try {
      policy.healthCheckEnded(loop.nowMs(), endpointId, outcome, durationMs, loadReport);
    } catch (RuntimeException | Error e) {
      logFailure(e);
    }
  }

  @Override
  public void callEnded(long counterName, CallOutcome outcome, double durationMs, double total) {
    try {
      policy.counterCallEnded(loop.nowMs(), counterName, outcome, durationMs, total);
    } catch (RuntimeException | Error e) {
      logFailure(e);
    }
  }

  /** Endpoints that are listed as up and get no requests for now; 0 before the start. */
  int ejectedCount() {
    return policy == null ? 0 : policy.ejectedCount(loop.nowMs());
  }
}
