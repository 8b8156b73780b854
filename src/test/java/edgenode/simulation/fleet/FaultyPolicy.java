package edgenode.simulation.fleet;

import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import java.util.ArrayList;
import java.util.List;

/** The decision module with one injected fault, which the verdicts must find. */
final class FaultyPolicy implements PolicyEvents {
  enum Fault {
    NEVER_ANSWERS,
    ANSWERS_TWICE,
    SENDS_TO_REMOVED,
    SENDS_AFTER_END,
    REPEATS_COUNTER_CALLS,
    OVERLOADS_WARMING_UP,
    REJECTS_ALL
  }

  private static final int FAULT_INTERVAL = 3;
  private static final int COUNTER_CALLS = 6;

  private final Fault fault;
  private final PolicyActions actions;
  private final PolicyEvents policy;
  private int eventCount;
  private double nowMs;
  private String removedServer;
  private String lastServer = "s0";
  private final List<EndpointInfo> warmingUp = new ArrayList<>();

  FaultyPolicy(
      Fault fault, PolicySettings settings, long seed, double nowMs, PolicyActions actions) {
    this.fault = fault;
    this.actions = actions;
    this.nowMs = nowMs;
    policy = new PolicyEngine(settings, seed, nowMs, new FaultyActions());
  }

  private boolean isFaultDue(Fault candidate) {
    return fault == candidate && ++eventCount % FAULT_INTERVAL == 0;
  }

  @Override
  public void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete) {
    for (EndpointInfo endpoint : endpoints) {
      warmingUp.removeIf(c -> c.id().equals(endpoint.id()));
      if (endpoint.state() != EndpointState.UP) {
        removedServer = endpoint.id();
      } else if (endpoint.startedAtMs() > 0) {
        warmingUp.add(endpoint);
        removedServer = endpoint.id().equals(removedServer) ? null : removedServer;
      }
    }
    this.nowMs = nowMs;
    policy.endpointsChanged(nowMs, endpoints, isComplete);
  }

  @Override
  public void discoveryFailed(double timeMs) {
    policy.discoveryFailed(timeMs);
  }

  @Override
  public void requestArrived(double timeMs, IncomingRequest request) {
    nowMs = timeMs;
    if (fault == Fault.REJECTS_ALL) {
      actions.reject(request.id(), 0);
    } else {
      policy.requestArrived(timeMs, request);
    }
  }

  @Override
  public void responseStarted(double timeMs, long id, int attempt) {
    policy.responseStarted(timeMs, id, attempt);
  }

  @Override
  public void attemptEnded(
      double timeMs, long id, int attempt, AttemptResult result, boolean isOver) {
    nowMs = timeMs;
    policy.attemptEnded(timeMs, id, attempt, result, isOver);
    if (isOver && isFaultDue(Fault.SENDS_AFTER_END)) {
      actions.send(id, lastServer, 0);
    }
  }

  @Override
  public void clientDisconnected(double timeMs, long id) {
    policy.clientDisconnected(timeMs, id);
  }

  @Override
  public void timerFired(double timeMs, long token) {
    nowMs = timeMs;
    policy.timerFired(timeMs, token);
  }

  @Override
  public void healthCheckEnded(
      double timeMs, String server, CallOutcome outcome, double tookMs, double[] load) {
    policy.healthCheckEnded(timeMs, server, outcome, tookMs, load);
  }

  @Override
  public void counterCallEnded(
      double timeMs, long name, CallOutcome outcome, double tookMs, double total) {
    policy.counterCallEnded(timeMs, name, outcome, tookMs, total);
  }

  /** The actions of the wrapped module, with the fault. */
  private final class FaultyActions implements PolicyActions {
    @Override
    public void send(long id, String server, double untilMs) {
      lastServer = server;
      warmingUp.removeIf(c -> nowMs - c.startedAtMs() > FleetAssumptions.WARM_UP_MS);
      String target =
          fault == Fault.OVERLOADS_WARMING_UP && !warmingUp.isEmpty()
              ? warmingUp.get(0).id()
              : removedServer != null && isFaultDue(Fault.SENDS_TO_REMOVED)
                  ? removedServer
                  : server;
      actions.send(id, target, untilMs);
    }

    @Override
    public void cancel(long id, int attempt) {
      actions.cancel(id, attempt);
    }

    @Override
    public void reject(long id, double retryAfterMs) {
      if (fault != Fault.NEVER_ANSWERS) {
        actions.reject(id, retryAfterMs);
      }
      if (isFaultDue(Fault.ANSWERS_TWICE)) {
        actions.reject(id, retryAfterMs);
      }
    }

    @Override
    public void fail(long id) {
      actions.fail(id);
    }

    @Override
    public void setTimer(double delayMs, long token) {
      actions.setTimer(delayMs, token);
    }

    @Override
    public void checkHealth(String server) {
      actions.checkHealth(server);
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
      actions.addToCounter(name, amount, ttlMs);
      for (int i = 1; fault == Fault.REPEATS_COUNTER_CALLS && i < COUNTER_CALLS; i++) {
        actions.addToCounter(
            ~name & Long.MAX_VALUE, 0, ttlMs); // under a name that no call of the module has
      }
    }

    @Override
    public void subscribe() {
      actions.subscribe();
    }
  }
}
