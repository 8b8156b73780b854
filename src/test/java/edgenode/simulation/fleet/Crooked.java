package edgenode.simulation.fleet;

import edgenode.policy.Decide;
import edgenode.policy.Gateway;
import java.util.ArrayList;
import java.util.List;

/** The decision module with one fault planted in it, for the judges to find. */
final class Crooked implements Gateway.Events {
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
  private final Gateway.Actions host;
  private final Gateway.Events module;
  private int turn;
  private double now;
  private String gone;
  private String last = "s0";
  private final List<Gateway.Server> cold = new ArrayList<>();

  Crooked(Fault fault, Gateway.Settings settings, long seed, double now, Gateway.Actions host) {
    this.fault = fault;
    this.host = host;
    this.now = now;
    module = new Decide(settings, seed, now, new Out());
  }

  private boolean turn(Fault of) {
    return fault == of && ++turn % EACH == 0;
  }

  @Override
  public void servers(double time, List<Gateway.Server> list, boolean whole) {
    for (Gateway.Server s : list) {
      cold.removeIf(c -> c.id().equals(s.id()));
      if (s.state() != Gateway.State.UP) {
        gone = s.id();
      } else if (s.startedAt() > 0) {
        cold.add(s);
        gone = s.id().equals(gone) ? null : gone;
      }
    }
    now = time;
    module.servers(time, list, whole);
  }

  @Override
  public void discoveryFailed(double time) {
    module.discoveryFailed(time);
  }

  @Override
  public void arrived(double time, Gateway.Request request) {
    now = time;
    if (fault == Fault.REFUSES_ALL) {
      host.refuse(request.id(), 0);
    } else {
      module.arrived(time, request);
    }
  }

  @Override
  public void firstAnswer(double time, long id, int attempt) {
    module.firstAnswer(time, id, attempt);
  }

  @Override
  public void ended(
      double time,
      long id,
      int attempt,
      Gateway.Outcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {
    now = time;
    module.ended(time, id, attempt, outcome, took, over, trueUnits, load);
    if (over && turn(Fault.SENDS_AFTER_END)) {
      host.send(id, last, 0);
    }
  }

  @Override
  public void gone(double time, long id) {
    module.gone(time, id);
  }

  @Override
  public void timer(double time, long token) {
    now = time;
    module.timer(time, token);
  }

  @Override
  public void probed(
      double time, String server, Gateway.Outcome outcome, double took, double[] load) {
    module.probed(time, server, outcome, took, load);
  }

  @Override
  public void counted(double time, long name, Gateway.Outcome outcome, double took, double total) {
    module.counted(time, name, outcome, took, total);
  }

  /** What it asks of its host. */
  private final class Out implements Gateway.Actions {
    @Override
    public void send(long id, String server, double until) {
      last = server;
      cold.removeIf(c -> now - c.startedAt() > Assumed.WARM_MS);
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
    public void refuse(long id, double retryAfter) {
      if (fault != Fault.NEVER_ANSWERS) {
        host.refuse(id, retryAfter);
      }
      if (turn(Fault.ANSWERS_TWICE)) {
        host.refuse(id, retryAfter);
      }
    }

    @Override
    public void fail(long id) {
      host.fail(id);
    }

    @Override
    public void timer(double delay, long token) {
      host.timer(delay, token);
    }

    @Override
    public void probe(String server) {
      host.probe(server);
    }

    @Override
    public void count(long name, double amount, double keepFor) {
      host.count(name, amount, keepFor);
      for (int i = 1; fault == Fault.CALLS_AGAIN && i < CALLS; i++) {
        host.count(
            ~name & Long.MAX_VALUE, 0, keepFor); // under a name that the module does not wait for
      }
    }

    @Override
    public void subscribe() {
      host.subscribe();
    }
  }
}
