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
final class Crooked implements PolicyEvents {
  enum Fault {
    NEVER_ANSWERS,
    ANSWERS_TWICE,
    SENDS_TO_GONE,
    SENDS_AFTER_END,
    CALLS_AGAIN,
    RUSHES_COLD,
    REFUSES_ALL
  }

  private static final int EACH = 3;
  private static final int CALLS = 6;

  private final Fault fault;
  private final PolicyActions host;
  private final PolicyEvents module;
  private int turn;
  private double now;
  private String gone;
  private String last = "s0";
  private final List<EndpointInfo> cold = new ArrayList<>();

  Crooked(Fault fault, PolicySettings settings, long seed, double now, PolicyActions host) {
    this.fault = fault;
    this.host = host;
    this.now = now;
    module = new PolicyEngine(settings, seed, now, new Out());
  }

  private boolean turn(Fault of) {
    return fault == of && ++turn % EACH == 0;
  }

  @Override
  public void endpointsChanged(double time, List<EndpointInfo> list, boolean whole) {
    for (EndpointInfo s : list) {
      cold.removeIf(c -> c.id().equals(s.id()));
      if (s.state() != EndpointState.UP) {
        gone = s.id();
      } else if (s.startedAtMs() > 0) {
        cold.add(s);
        gone = s.id().equals(gone) ? null : gone;
      }
    }
    now = time;
    module.endpointsChanged(time, list, whole);
  }

  @Override
  public void discoveryFailed(double time) {
    module.discoveryFailed(time);
  }

  @Override
  public void requestArrived(double time, IncomingRequest request) {
    now = time;
    if (fault == Fault.REFUSES_ALL) {
      host.reject(request.id(), 0);
    } else {
      module.requestArrived(time, request);
    }
  }

  @Override
  public void responseStarted(double time, long id, int attempt) {
    module.responseStarted(time, id, attempt);
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
    now = time;
    module.attemptEnded(time, id, attempt, outcome, took, over, trueUnits, load);
    if (over && turn(Fault.SENDS_AFTER_END)) {
      host.send(id, last, 0);
    }
  }

  @Override
  public void clientDisconnected(double time, long id) {
    module.clientDisconnected(time, id);
  }

  @Override
  public void timerFired(double time, long token) {
    now = time;
    module.timerFired(time, token);
  }

  @Override
  public void healthCheckEnded(
      double time, String server, CallOutcome outcome, double took, double[] load) {
    module.healthCheckEnded(time, server, outcome, took, load);
  }

  @Override
  public void counterCallEnded(
      double time, long name, CallOutcome outcome, double took, double total) {
    module.counterCallEnded(time, name, outcome, took, total);
  }

  /** What it asks of its host. */
  private final class Out implements PolicyActions {
    @Override
    public void send(long id, String server, double until) {
      last = server;
      cold.removeIf(c -> now - c.startedAtMs() > Assumed.WARM_MS);
      String to =
          fault == Fault.RUSHES_COLD && !cold.isEmpty()
              ? cold.get(0).id()
              : gone != null && turn(Fault.SENDS_TO_GONE) ? gone : server;
      host.send(id, to, until);
    }

    @Override
    public void cancel(long id, int attempt) {
      host.cancel(id, attempt);
    }

    @Override
    public void reject(long id, double retryAfter) {
      if (fault != Fault.NEVER_ANSWERS) {
        host.reject(id, retryAfter);
      }
      if (turn(Fault.ANSWERS_TWICE)) {
        host.reject(id, retryAfter);
      }
    }

    @Override
    public void fail(long id) {
      host.fail(id);
    }

    @Override
    public void setTimer(double delay, long token) {
      host.setTimer(delay, token);
    }

    @Override
    public void checkHealth(String server) {
      host.checkHealth(server);
    }

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
      host.addToCounter(name, amount, keepFor);
      for (int i = 1; fault == Fault.CALLS_AGAIN && i < CALLS; i++) {
        host.addToCounter(
            ~name & Long.MAX_VALUE, 0, keepFor); // under a name that the module does not wait for
      }
    }

    @Override
    public void subscribe() {
      host.subscribe();
    }
  }
}
