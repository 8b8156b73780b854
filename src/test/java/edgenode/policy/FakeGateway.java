package edgenode.policy;

import edgenode.policy.subset.EndpointSubset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A shell for tests: one engine, a clock that the test moves, and every action recorded as a line.
 * Timers fire as the clock passes them; calls to the counter are answered on demand.
 */
final class FakeGateway implements PolicyActions {
  /**
   * A nanosecond: no timer fires early. Timers that were rounded down left the clock standing for
   * ever.
   */
  private static final double TIMER_DELAY_MS = 1e-6;

  /** How long calls to the counter take. */
  private static final double COUNTER_CALL_MS = 2;

  private record SetTimer(double atMs, long token) {}

  /** A call to the counter with the total that stood after it. */
  record UnansweredCounterCall(long name, double total) {}

  final List<String> actions = new ArrayList<>();
  final List<UnansweredCounterCall> counterCalls = new ArrayList<>();

  /** The counts on the counter; gateways of one fleet share them. */
  Map<Long, Double> counterSums = new HashMap<>();

  int nodeIndex;
  int nodeCount = 2;
  long seed = 7;
  int minSubsetSize; // 0: the default
  int maxCustomers = CustomerTable.maxCustomersOfHeap();
  boolean canHedge = true;
  boolean hasCounter = true;
  boolean settlesUnits;
  boolean mustPollDiscovery;
  double keepAliveMs;
  int maxRequestUnits = 1;

  /** The delay of the timer that the engine set last. */
  double lastTimerDelayMs;

  private final List<SetTimer> timers = new ArrayList<>();
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

  /**
   * Without a counter the even share of a quota is there at once, so that tests of endpoints need
   * not mind quotas.
   */
  static FakeGateway withoutCounter() {
    FakeGateway gateway = new FakeGateway();
    gateway.hasCounter = false;
    return gateway;
  }

  FakeGateway start() {
    engine =
        new PolicyEngine(
            settings(),
            seed,
            nowMs,
            this,
            minSubsetSize == 0 ? EndpointSubset.DEFAULT_MIN_ENDPOINTS : minSubsetSize,
            maxCustomers);
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

  /** Lists the endpoints from s0 on, two a cell, cells in turn over zones a and b. */
  FakeGateway listEndpoints(int count) {
    List<EndpointInfo> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(endpoint(i, EndpointState.UP, 0));
    }
    engine.endpointsChanged(nowMs, list, true);
    return this;
  }

  static EndpointInfo endpoint(int number, EndpointState state, double startedAtMs) {
    int cell = number / 2;
    String zone = cell % 2 == 0 ? "a" : "b";
    return new EndpointInfo("s" + number, cell, zone, state, "k", startedAtMs, 1);
  }

  /** Other nodes add to every count, at this rate since the last time. */
  void addUsageOfOtherNodes(double perSecond) {
    double units = (nowMs - othersUpdatedAtMs) / 1000 * perSecond;
    othersUpdatedAtMs = nowMs;
    counterSums.replaceAll((name, sum) -> sum + units);
  }

  /** Answers the calls made so far, with the totals that stood when they were made. */
  void answerCounter(CallOutcome outcome) {
    for (int open = counterCalls.size(); open > 0; open--) {
      UnansweredCounterCall call = counterCalls.remove(0);
      engine.counterCallEnded(nowMs, call.name, outcome, COUNTER_CALL_MS, call.total);
    }
  }

  void arrive(long id, String className, String planName, String customerName) {
    arrive(id, className, planName, customerName, 1, 2);
  }

  void arrive(
      long id, String className, String planName, String customerName, int units, int nodeSpread) {
    engine.requestArrived(
        nowMs,
        new IncomingRequest(
            id, className, planName, customerName, 2000, units, nodeSpread, 0, false));
  }

  void endAttempt(long id, int attempt, CallOutcome outcome) {
    engine.attemptEnded(
        nowMs,
        id,
        attempt,
        new AttemptResult(outcome, 20, 0, new double[0]),
        outcome == CallOutcome.OK);
  }

  /** The first attempt of a request is answered, after so long. */
  void answerAfter(long id, double tookMs) {
    engine.attemptEnded(
        nowMs, id, 0, new AttemptResult(CallOutcome.OK, tookMs, 0, new double[0]), true);
  }

  /** Advances the clock, firing the timers that fall due. */
  void advanceTo(double timeMs) {
    SetTimer next = earliestTimer();
    while (next != null && next.atMs <= timeMs) {
      timers.remove(next);
      nowMs = Math.max(nowMs, next.atMs);
      engine.timerFired(nowMs, next.token);
      next = earliestTimer();
    }
    nowMs = timeMs;
  }

  private SetTimer earliestTimer() {
    SetTimer earliest = null;
    for (SetTimer timer : timers) {
      if (earliest == null || timer.atMs < earliest.atMs) {
        earliest = timer;
      }
    }
    return earliest;
  }

  int openTimers() {
    return timers.size();
  }

  long actionCount(String prefix) {
    return actions.stream().filter(line -> line.startsWith(prefix)).count();
  }

  /** The amounts that calls have added to the counter, in their order. */
  List<Double> addedAmounts() {
    return actions.stream()
        .filter(line -> line.startsWith("add "))
        .map(line -> Double.parseDouble(line.substring("add ".length())))
        .toList();
  }

  /** The amount that the last call added to the counter. */
  double lastAddedAmount() {
    List<Double> amounts = addedAmounts();
    return amounts.get(amounts.size() - 1);
  }

  /** Attempts that were sent to an endpoint. */
  long sendsTo(String endpointId) {
    return actions.stream()
        .filter(line -> line.startsWith("send ") && line.endsWith(" " + endpointId))
        .count();
  }

  /** Requests that were sent, however often. */
  long requestsSent() {
    return actions.stream()
        .filter(line -> line.startsWith("send "))
        .map(line -> line.split(" ")[1])
        .distinct()
        .count();
  }

  /** The endpoint of the last attempt of a request, null where there was none. */
  String lastEndpointOf(long id) {
    String found = null;
    for (String line : actions) {
      if (line.startsWith("send " + id + " ")) {
        found = line.split(" ")[2];
      }
    }
    return found;
  }

  /** The number in the name of the endpoint of the last attempt of a request. */
  int lastEndpointNumberOf(long id) {
    return Integer.parseInt(lastEndpointOf(id).substring(1));
  }

  @Override
  public void send(long id, String endpointId, double untilMs) {
    actions.add("send " + id + " " + endpointId);
  }

  @Override
  public void cancel(long id, int attempt) {
    actions.add("cancel " + id + " " + attempt);
  }

  @Override
  public void reject(long id, double retryAfterMs) {
    actions.add("reject " + id);
  }

  @Override
  public void fail(long id) {
    actions.add("fail " + id);
  }

  @Override
  public void setTimer(double delayMs, long token) {
    lastTimerDelayMs = delayMs;
    timers.add(new SetTimer(nowMs + delayMs + TIMER_DELAY_MS, token));
  }

  @Override
  public void checkHealth(String endpointId) {
    actions.add("checkHealth " + endpointId);
  }

  @Override
  public void addToCounter(long name, double amount, double keepMs) {
    actions.add("add " + amount);
    counterCalls.add(new UnansweredCounterCall(name, counterSums.merge(name, amount, Double::sum)));
  }

  @Override
  public void subscribe() {
    actions.add("subscribe");
  }
}
