package edgenode.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A host for tests: one instance, a fake clock, every action recorded as a line; timers fire on
 * demand.
 */
final class FakeGateway implements PolicyActions {
  final List<String> actions = new ArrayList<>();
  final List<double[]> timers = new ArrayList<>();
  final List<long[]> counterCalls = new ArrayList<>();
  final List<Double> counterTotals = new ArrayList<>();
  Map<Long, Double> counterSums = new HashMap<>();
  int nodeIndex;
  long seed = 7;
  int nodeCount = 2;
  int minSubsetSize; // 0: the default

  /** The module's last wish (ms from then). */
  double lastTimerDelayMs;

  private double otherUnits;
  private double othersUpdatedAtMs;
  double nowMs;
  PolicyEngine engine;
  List<RequestClass> requestClasses =
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
  boolean canHedge = true;
  boolean hasCounter = true;
  boolean settlesUnits;
  boolean mustPollDiscovery;
  double keepAliveMs;
  int maxRequestUnits = 1;

  /**
   * Without a counter: the even part is there at once, so that a test of servers need not mind
   * quotas.
   */
  static FakeGateway withoutCounter() {
    FakeGateway gateway = new FakeGateway();
    gateway.hasCounter = false;
    return gateway;
  }

  FakeGateway start() {
    engine =
        minSubsetSize == 0
            ? new PolicyEngine(settings(), seed, nowMs, this)
            : new PolicyEngine(settings(), seed, nowMs, this, minSubsetSize);
    return this;
  }

  PolicySettings settings() {
    return new PolicySettings(
        nodeIndex,
        nodeCount,
        "a",
        2,
        mustPollDiscovery,
        settlesUnits,
        maxRequestUnits,
        List.of(),
        requestClasses,
        plans,
        new Capabilities(true, true, canHedge, true, false, hasCounter, 5, 2000, 50, keepAliveMs),
        new RuleLimits(16, 250, 0.2, 15000, 2, 2000),
        new Prices(0.05, 0.01, 0.02, 0, 0.03));
  }

  /** Servers s0..s(n-1), two a cell, cells in turn over zones a and b. */
  FakeGateway listEndpoints(int n) {
    List<EndpointInfo> list = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      list.add(endpoint(i, EndpointState.UP, 0));
    }
    engine.endpointsChanged(nowMs, list, true);
    return this;
  }

  static EndpointInfo endpoint(int i, EndpointState state, double startedAt) {
    return new EndpointInfo("s" + i, i / 2, i / 2 % 2 == 0 ? "a" : "b", state, "k", startedAt, 1);
  }

  /** Other gateways add to every name, at this rate since the last time. */
  void addUsageOfOtherNodes(double perSecond) {
    otherUnits = (nowMs - othersUpdatedAtMs) / 1000 * perSecond;
    othersUpdatedAtMs = nowMs;
    counterSums.replaceAll((name, sum) -> sum + otherUnits);
  }

  /** Answers the calls made so far, with the totals that stood when they were made. */
  void answerCounter(CallOutcome outcome) {
    for (int n = counterCalls.size(); n > 0; n--) {
      engine.counterCallEnded(
          nowMs, counterCalls.remove(0)[0], outcome, 2, counterTotals.remove(0));
    }
  }

  void arrive(long id, String type, String plan, String customer) {
    arrive(id, type, plan, customer, 1, 2);
  }

  void arrive(long id, String type, String plan, String customer, int units, int spread) {
    engine.requestArrived(
        nowMs, new IncomingRequest(id, type, plan, customer, 2000, units, spread, 0, false));
  }

  void endAttempt(long id, int attempt, CallOutcome outcome) {
    engine.attemptEnded(
        nowMs, id, attempt, outcome, 20, outcome == CallOutcome.OK, 0, new double[0]);
  }

  /** Advances the clock, firing the timers that fall due. */
  void advanceTo(double time) {
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
      nowMs = Math.max(nowMs, next[0]);
      engine.timerFired(nowMs, (long) next[1]);
    }
    nowMs = time;
  }

  long count(String prefix) {
    return actions.stream().filter(line -> line.startsWith(prefix)).count();
  }

  /** The server of the last send of a request. */
  String lastEndpointOf(long id) {
    String found = null;
    for (String line : actions) {
      if (line.startsWith("send " + id + " ")) {
        found = line.split(" ")[2];
      }
    }
    return found;
  }

  @Override
  public void send(long id, String server, double until) {
    actions.add("send " + id + " " + server);
  }

  @Override
  public void cancel(long id, int attempt) {
    actions.add("cancel " + id + " " + attempt);
  }

  @Override
  public void reject(long id, double retryAfter) {
    actions.add("refuse " + id);
  }

  @Override
  public void fail(long id) {
    actions.add("fail " + id);
  }

  @Override
  public void setTimer(double delay, long token) {
    this.lastTimerDelayMs = delay;
    // a nanosecond late, as no timer is early: rounding down left the clock standing for ever
    timers.add(new double[] {nowMs + delay + 1e-6, token});
  }

  @Override
  public void checkHealth(String server) {
    actions.add("probe " + server);
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    actions.add("count " + amount);
    counterCalls.add(new long[] {name});
    counterTotals.add(counterSums.merge(name, amount, Double::sum));
  }

  @Override
  public void subscribe() {
    actions.add("subscribe");
  }
}
