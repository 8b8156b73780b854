package edgenode.benchmark;

import edgenode.policy.AttemptResult;
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
final class PolicyHarness implements PolicyActions {
  /** Unix time (ms), as a real clock gives it: what was never seen is as old as that. */
  static final double START_MS = 1_700_000_000_000.0;

  static final double TICK_MS = 250;
  private static final double SERVICE_TIME_MS = 20;
  private static final int WARM_UP_REQUESTS = 24;

  private record Call(long name, double total) {}

  private final PolicyEvents policy;
  private final boolean counterAnswers;
  private final Map<Long, Double> sums = new HashMap<>();
  private final ArrayDeque<Call> pendingCalls = new ArrayDeque<>();
  private final ArrayDeque<Long> inFlight = new ArrayDeque<>();
  private double nowMs = START_MS;
  private long lastRequestId;
  private long counterCalls;
  private long sent;

  PolicyHarness(int nodeCount, boolean hasCounter, boolean counterAnswers) {
    this.counterAnswers = counterAnswers;
    policy = new PolicyEngine(settings(0, nodeCount, hasCounter), 1, nowMs, this);
  }

  /**
   * As the settings of a site are: a plan of some units a second, a wide one, one without a limit;
   * aim 600 ms.
   */
  static PolicySettings settings(int nodeIndex, int nodeCount, boolean hasCounter) {
    return settings(
        nodeIndex,
        nodeCount,
        hasCounter,
        List.of(
            new QuotaPlan("rate", 8, 8, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("wide", 1e5, 1e5, 0, 1, 0, 1, 0, 0, 0),
            new QuotaPlan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0)));
  }

  static PolicySettings settings(
      int nodeIndex, int nodeCount, boolean hasCounter, List<QuotaPlan> plans) {
    return new PolicySettings(
        nodeIndex,
        nodeCount,
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
        new Capabilities(false, true, true, true, false, hasCounter, 3, 2000, 50, 15_000),
        new RuleLimits(16, 250, 0.2, 15_000, 2, 2000),
        new Prices(0.05, 0.01, 0.02, 0, 0.03));
  }

  PolicyEvents policy() {
    return policy;
  }

  double nowMs() {
    return nowMs;
  }

  long sent() {
    return sent;
  }

  long counterCalls() {
    return counterCalls;
  }

  void endpointsChanged(List<EndpointInfo> list, boolean isComplete) {
    policy.endpointsChanged(nowMs, list, isComplete);
  }

  /** One request; the oldest is answered once more than {@code depth} are out. */
  void request(String plan, String customer, int spread, boolean isRetry, int depth) {
    policy.requestArrived(
        nowMs,
        new IncomingRequest(++lastRequestId, "read", plan, customer, 2000, 1, spread, 0, isRetry));
    answerCounter();
    while (inFlight.size() > depth) {
      answer();
    }
  }

  private void answer() {
    policy.attemptEnded(
        nowMs,
        inFlight.poll(),
        0,
        new AttemptResult(CallOutcome.OK, SERVICE_TIME_MS, 0, new double[0]),
        true);
    answerCounter();
  }

  /** Answers all that is out. */
  void answerAll() {
    while (!inFlight.isEmpty()) {
      answer();
    }
  }

  /** Answers in time take the pace away, with which a start is careful. */
  void endSlowStart() {
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      request("free", "first", 1, false, 0);
      ticks(1);
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
      nowMs += 1e-3;
    }
    if (sent - before != times) {
      throw new IllegalStateException(
          times - (sent - before) + " of " + times + " requests were held");
    }
  }

  /** Moves time on, edge by edge. */
  void ticks(int times) {
    for (int i = 0; i < times; i++) {
      nowMs += TICK_MS;
      policy.timerFired(nowMs, 0);
      answerCounter();
    }
  }

  void advance(double ms) {
    nowMs += ms;
  }

  private void answerCounter() {
    while (counterAnswers && !pendingCalls.isEmpty()) {
      Call call = pendingCalls.poll();
      policy.counterCallEnded(nowMs, call.name, CallOutcome.OK, 2, call.total);
    }
  }

  /** Servers s0 to s(n-1), in racks of 40 and ten zones. */
  static List<EndpointInfo> endpointsChanged(int count) {
    List<EndpointInfo> all = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      all.add(server(i, EndpointState.UP));
    }
    return all;
  }

  static EndpointInfo server(int index, EndpointState state) {
    return new EndpointInfo(
        "s-" + Integer.toHexString(0x10000000 + index),
        index / 40,
        "z" + index % 10,
        state,
        "m2",
        0,
        1);
  }

  @Override
  public void send(long request, String server, double untilMs) {
    sent++;
    inFlight.add(request);
  }

  @Override
  public void cancel(long request, int attempt) {}

  @Override
  public void reject(long request, double retryAfterMs) {}

  @Override
  public void fail(long request) {}

  @Override
  public void setTimer(double delayMs, long token) {}

  @Override
  public void checkHealth(String server) {}

  @Override
  public void addToCounter(long name, double amount, double ttlMs) {
    counterCalls++;
    pendingCalls.add(new Call(name, counterAnswers ? sums.merge(name, amount, Double::sum) : 0));
  }

  @Override
  public void subscribe() {}
}
