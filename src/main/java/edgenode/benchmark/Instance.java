package edgenode.benchmark;

import edgenode.policy.CallOutcome;
import edgenode.policy.Capabilities;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.Prices;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One decision module on the seam of {@link PolicyEvents} and {@link PolicyActions} alone, in
 * virtual time that its user moves on: any build of it can be measured side by side. The counter
 * answers at once, or never.
 */
final class Instance implements PolicyActions {
  /** Unix time (ms), as a real clock gives it: what was never seen is as old as that. */
  static final double START = 1_700_000_000_000.0;

  static final double EDGE = 250;
  private static final double TOOK = 20;
  private static final int STARTS = 24;

  private record Call(long name, double total) {}

  private final PolicyEvents module;
  private final boolean counterAnswers;
  private final Map<Long, Double> sums = new HashMap<>();
  private final ArrayDeque<Call> calls = new ArrayDeque<>();
  private final ArrayDeque<Long> out = new ArrayDeque<>();
  private double now = START;
  private long id;
  private long counted;
  private long sent;

  Instance(int nodes, boolean counter, boolean counterAnswers) {
    this.counterAnswers = counterAnswers;
    module = new PolicyEngine(settings(0, nodes, counter), 1, now, this);
  }

  /**
   * As the settings of a site are: a plan of some units a second, a wide one, one without a limit;
   * aim 600 ms.
   */
  static PolicySettings settings(int me, int nodes, boolean counter) {
    return settings(
        me,
        nodes,
        counter,
        List.of(
            new QuotaPlan("rate", 8, 8, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("wide", 1e5, 1e5, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0)));
  }

  static PolicySettings settings(int me, int nodes, boolean counter, List<QuotaPlan> plans) {
    return new PolicySettings(
        me,
        nodes,
        "a",
        2,
        false,
        false,
        1,
        List.of(),
        List.of(
            new RequestClass(
                "read", Idempotency.IDEMPOTENT, IdempotencyGroup.ALL, 600, 2000, 1, 0, 0, false)),
        plans,
        new Capabilities(false, true, true, true, false, counter, 3, 2000, 50, 15_000),
        new RuleLimits(16, 250, 0.2, 15_000, 2, 2000),
        new Prices(0.05, 0.01, 0.02, 0, 0.03));
  }

  PolicyEvents module() {
    return module;
  }

  double now() {
    return now;
  }

  long sent() {
    return sent;
  }

  long counted() {
    return counted;
  }

  void servers(List<EndpointInfo> list, boolean whole) {
    module.endpointsChanged(now, list, whole);
  }

  /** One request; the oldest is answered once more than {@code depth} are out. */
  void request(String plan, String customer, int spread, boolean again, int depth) {
    module.requestArrived(
        now, new IncomingRequest(++id, "read", plan, customer, 2000, 1, spread, 0, again));
    answerCounter();
    while (out.size() > depth) {
      answer();
    }
  }

  private void answer() {
    module.attemptEnded(now, out.poll(), 0, CallOutcome.OK, TOOK, true, 0, new double[0]);
    answerCounter();
  }

  /** Answers all that is out. */
  void quiet() {
    while (!out.isEmpty()) {
      answer();
    }
  }

  /** Answers in time take the pace away, with which a start is careful. */
  void unpaced() {
    for (int i = 0; i < STARTS; i++) {
      request("free", "first", 1, false, 0);
      edges(1);
    }
  }

  /**
   * So many requests of a plan without a limit, one at a time and no edge in between.
   *
   * @throws IllegalStateException where one of them was not sent at once: that is not the path to
   *     be measured
   */
  void requests(int times, int depth) {
    long before = sent;
    for (int k = 0; k < times; k++) {
      request("free", "first", 1, false, depth);
      now += 1e-3;
    }
    if (sent - before != times) {
      throw new IllegalStateException(
          times - (sent - before) + " of " + times + " requests were held");
    }
  }

  /** Moves time on, edge by edge. */
  void edges(int times) {
    for (int i = 0; i < times; i++) {
      now += EDGE;
      module.timerFired(now, 0);
      answerCounter();
    }
  }

  void step(double ms) {
    now += ms;
  }

  private void answerCounter() {
    while (counterAnswers && !calls.isEmpty()) {
      Call call = calls.poll();
      module.counterCallEnded(now, call.name, CallOutcome.OK, 2, call.total);
    }
  }

  /** Servers s0 to s(n-1), in racks of 40 and ten zones. */
  static List<EndpointInfo> servers(int n) {
    List<EndpointInfo> all = new ArrayList<>(n);
    for (int i = 0; i < n; i++) {
      all.add(server(i, EndpointState.UP));
    }
    return all;
  }

  static EndpointInfo server(int i, EndpointState state) {
    return new EndpointInfo(
        "s-" + Integer.toHexString(0x10000000 + i), i / 40, "z" + i % 10, state, "m2", 0, 1);
  }

  @Override
  public void send(long request, String server, double until) {
    sent++;
    out.add(request);
  }

  @Override
  public void cancel(long request, int attempt) {}

  @Override
  public void reject(long request, double retryAfter) {}

  @Override
  public void fail(long request) {}

  @Override
  public void setTimer(double delay, long token) {}

  @Override
  public void checkHealth(String server) {}

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    counted++;
    calls.add(new Call(name, counterAnswers ? sums.merge(name, amount, Double::sum) : 0));
  }

  @Override
  public void subscribe() {}
}
