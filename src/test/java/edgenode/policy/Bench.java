package edgenode.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A host for tests: one instance, a fake clock, every action recorded as a line; timers fire on
 * demand.
 */
final class Bench implements PolicyActions {
  final List<String> log = new ArrayList<>();
  final List<double[]> timers = new ArrayList<>();
  final List<long[]> calls = new ArrayList<>();
  final List<Double> totals = new ArrayList<>();
  Map<Long, Double> sums = new HashMap<>();
  int me;
  long seed = 7;
  int nodes = 2;
  int bound; // 0: the default

  /** The module's last wish (ms from then). */
  double delay;

  private double otherUnits;
  private double othersAt;
  double now;
  PolicyEngine module;
  List<RequestClass> classes =
      List.of(
          new RequestClass(
              "read", Idempotency.IDEMPOTENT, IdempotencyGroup.CELL, 600, 2000, 1, 0, 0, false),
          new RequestClass(
              "all", Idempotency.KEYED, IdempotencyGroup.ALL, 600, 2000, 1, 0, 400, false),
          new RequestClass(
              "zone", Idempotency.KEYED, IdempotencyGroup.ZONE, 600, 2000, 1, 0, 5000, false),
          new RequestClass(
              "cell", Idempotency.KEYED, IdempotencyGroup.CELL, 600, 2000, 1, 0, 5000, false),
          new RequestClass(
              "once",
              Idempotency.NOT_IDEMPOTENT,
              IdempotencyGroup.CELL,
              600,
              2000,
              1,
              0,
              0,
              false));
  List<QuotaPlan> plans =
      List.of(
          new QuotaPlan("rate", 8, 8, 0, 1, 0, 1, 0, 0, 0),
          new QuotaPlan("open", 0, 0, 3, 1, 0, 1, 0, 0, 0),
          new QuotaPlan("big", 1000, 1000, 0, 1, 0, 1, 0, 0, 0),
          new QuotaPlan("ceiling", 100, 100, 0, 1, 0, 1, 4, 8, 0));
  boolean copies = true;
  boolean counter = true;
  boolean settled;
  boolean ask;
  double keepAlive;
  int mostUnits = 1;

  /**
   * Without a counter: the even part is there at once, so that a test of servers need not mind
   * quotas.
   */
  static Bench plain() {
    Bench b = new Bench();
    b.counter = false;
    return b;
  }

  Bench start() {
    module =
        bound == 0
            ? new PolicyEngine(settings(), seed, now, this)
            : new PolicyEngine(settings(), seed, now, this, bound);
    return this;
  }

  PolicySettings settings() {
    return new PolicySettings(
        me,
        nodes,
        "a",
        2,
        ask,
        settled,
        mostUnits,
        List.of(),
        classes,
        plans,
        new Capabilities(true, true, copies, true, false, counter, 5, 2000, 50, keepAlive),
        new RuleLimits(16, 250, 0.2, 15000, 2, 2000),
        new Prices(0.05, 0.01, 0.02, 0, 0.03));
  }

  /** Servers s0..s(n-1), two a cell, cells in turn over zones a and b. */
  Bench servers(int n) {
    List<EndpointInfo> list = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      list.add(server(i, EndpointState.UP, 0));
    }
    module.endpointsChanged(now, list, true);
    return this;
  }

  static EndpointInfo server(int i, EndpointState state, double startedAt) {
    return new EndpointInfo("s" + i, i / 2, i / 2 % 2 == 0 ? "a" : "b", state, "k", startedAt, 1);
  }

  /** Other gateways add to every name, at this rate since the last time. */
  void others(double perSecond) {
    otherUnits = (now - othersAt) / 1000 * perSecond;
    othersAt = now;
    sums.replaceAll((name, sum) -> sum + otherUnits);
  }

  /** Answers the calls made so far, with the totals that stood when they were made. */
  void answerCounter(CallOutcome outcome) {
    for (int n = calls.size(); n > 0; n--) {
      module.counterCallEnded(now, calls.remove(0)[0], outcome, 2, totals.remove(0));
    }
  }

  void arrive(long id, String type, String plan, String customer) {
    arrive(id, type, plan, customer, 1, 2);
  }

  void arrive(long id, String type, String plan, String customer, int units, int spread) {
    module.requestArrived(
        now, new IncomingRequest(id, type, plan, customer, 2000, units, spread, 0, false));
  }

  void end(long id, int attempt, CallOutcome outcome) {
    module.attemptEnded(now, id, attempt, outcome, 20, outcome == CallOutcome.OK, 0, new double[0]);
  }

  /** Advances the clock, firing the timers that fall due. */
  void to(double time) {
    while (true) {
      double[] next = null;
      for (double[] t : timers) {
        if (t[0] <= time && (next == null || t[0] < next[0])) {
          next = t;
        }
      }
      if (next == null) {
        break;
      }
      timers.remove(next);
      now = Math.max(now, next[0]);
      module.timerFired(now, (long) next[1]);
    }
    now = time;
  }

  long count(String prefix) {
    return log.stream().filter(line -> line.startsWith(prefix)).count();
  }

  /** The server of the last send of a request. */
  String sentTo(long id) {
    String found = null;
    for (String line : log) {
      if (line.startsWith("send " + id + " ")) {
        found = line.split(" ")[2];
      }
    }
    return found;
  }

  @Override
  public void send(long id, String server, double until) {
    log.add("send " + id + " " + server);
  }

  @Override
  public void cancel(long id, int attempt) {
    log.add("cancel " + id + " " + attempt);
  }

  @Override
  public void reject(long id, double retryAfter) {
    log.add("refuse " + id);
  }

  @Override
  public void fail(long id) {
    log.add("fail " + id);
  }

  @Override
  public void setTimer(double delay, long token) {
    this.delay = delay;
    // a nanosecond late, as no timer is early: rounding down left the clock standing for ever
    timers.add(new double[] {now + delay + 1e-6, token});
  }

  @Override
  public void checkHealth(String server) {
    log.add("probe " + server);
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    log.add("count " + amount);
    calls.add(new long[] {name});
    totals.add(sums.merge(name, amount, Double::sum));
  }

  @Override
  public void subscribe() {
    log.add("subscribe");
  }
}
