package edgenode.simulation.fleet;

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

/** The decision module with one fault planted in it, for the judges to find. */
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

  FaultyPolicy(Fault fault, PolicySettings settings, long seed, double now, PolicyActions host) {
    this.fault = fault;
    this.actions = host;
    this.nowMs = now;
    policy = new PolicyEngine(settings, seed, now, new FaultyActions());
  }

  private boolean isFaultDue(Fault of) {
    return fault == of && ++eventCount % FAULT_INTERVAL == 0;
  }

  @Override
  public void endpointsChanged(double nowMs, List<EndpointInfo> list, boolean whole) {
    for (EndpointInfo s : list) {
      warmingUp.removeIf(c -> c.id().equals(s.id()));
      if (s.state() != EndpointState.UP) {
        removedServer = s.id();
      } else if (s.startedAtMs() > 0) {
        warmingUp.add(s);
        removedServer = s.id().equals(removedServer) ? null : removedServer;
      }
    }
    this.nowMs = nowMs;
    policy.endpointsChanged(nowMs, list, whole);
  }

  @Override
  public void discoveryFailed(double time) {
    policy.discoveryFailed(time);
  }

  @Override
  public void requestArrived(double time, IncomingRequest request) {
    nowMs = time;
    if (fault == Fault.REJECTS_ALL) {
      actions.reject(request.id(), 0);
    } else {
      policy.requestArrived(time, request);
    }
  }

  @Override
  public void responseStarted(double time, long id, int attempt) {
    policy.responseStarted(time, id, attempt);
  }

  @Override
  public void attemptEnded(
      double time,
      long id,
      int attempt,
      CallOutcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {
    nowMs = time;
    policy.attemptEnded(time, id, attempt, outcome, took, over, trueUnits, load);
    if (over && isFaultDue(Fault.SENDS_AFTER_END)) {
      actions.send(id, lastServer, 0);
    }
  }

  @Override
  public void clientDisconnected(double time, long id) {
    policy.clientDisconnected(time, id);
  }

  @Override
  public void timerFired(double time, long token) {
    nowMs = time;
    policy.timerFired(time, token);
  }

  @Override
  public void healthCheckEnded(
      double time, String server, CallOutcome outcome, double took, double[] load) {
    policy.healthCheckEnded(time, server, outcome, took, load);
  }

  @Override
  public void counterCallEnded(
      double time, long name, CallOutcome outcome, double took, double total) {
    policy.counterCallEnded(time, name, outcome, took, total);
  }

  /** What it asks of its host. */
  private final class FaultyActions implements PolicyActions {
    @Override
    public void send(long id, String server, double until) {
      lastServer = server;
      warmingUp.removeIf(c -> nowMs - c.startedAtMs() > Assumptions.WARM_UP_MS);
      String to =
          fault == Fault.OVERLOADS_WARMING_UP && !warmingUp.isEmpty()
              ? warmingUp.get(0).id()
              : removedServer != null && isFaultDue(Fault.SENDS_TO_REMOVED)
                  ? removedServer
                  : server;
      actions.send(id, to, until);
    }

    @Override
    public void cancel(long id, int attempt) {
      actions.cancel(id, attempt);
    }

    @Override
    public void reject(long id, double retryAfter) {
      if (fault != Fault.NEVER_ANSWERS) {
        actions.reject(id, retryAfter);
      }
      if (isFaultDue(Fault.ANSWERS_TWICE)) {
        actions.reject(id, retryAfter);
      }
    }

    @Override
    public void fail(long id) {
      actions.fail(id);
    }

    @Override
    public void setTimer(double delay, long token) {
      actions.setTimer(delay, token);
    }

    @Override
    public void checkHealth(String server) {
      actions.checkHealth(server);
    }

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
      actions.addToCounter(name, amount, keepFor);
      for (int i = 1; fault == Fault.REPEATS_COUNTER_CALLS && i < COUNTER_CALLS; i++) {
        actions.addToCounter(
            ~name & Long.MAX_VALUE, 0, keepFor); // under a name that the module does not wait for
      }
    }

    @Override
    public void subscribe() {
      actions.subscribe();
    }
  }
}
