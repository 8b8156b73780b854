package edgenode.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * When the counter is called: a token bucket of calls per quota tick that follows what the counter
 * can answer, as TCP follows a link, and a backoff while it does not answer at all. Knows the calls
 * in flight; those of one name end in their order.
 *
 * <p>Inputs: outcomes and times of calls. Reason: the counter serves all nodes, and a queue before
 * it that is longer than the time-out makes every call late.
 */
final class CounterCallBudget {
  /** Calls a tick of all nodes together, at first: one a millisecond. */
  private static final double INITIAL_FLEET_CALLS_PER_TICK = PolicyTimers.QUOTA_TICK_MS;

  /** The least budget, as a part of the first one. */
  private static final double MIN_BUDGET_DIVISOR = 16;

  /** The bucket holds the calls of so many ticks; it is full at the start. */
  private static final double SAVED_TICKS = 4;

  /** An answer that took more than this part of the time-out stood in a long queue. */
  private static final double CROWDED_TIMEOUT_SHARE = 0.5;

  private static final double DECREASE_FACTOR = 0.8;

  /** The remembered maximum after a second failure in a row (RFC 9438 4.7, fast convergence). */
  private static final double FAST_CONVERGENCE_FACTOR = 0.9;

  private static final double MAX_INCREASE_FACTOR = 1.1;

  /** Growth in a tick without a failure, for each such tick in a row. */
  private static final double INCREASE_STEP = 0.01;

  /** So many calls in a row without an answer: the counter is silent. */
  private static final int SILENT_AFTER_FAILURES = 8;

  private static final double MIN_BACKOFF_MS = PolicyTimers.QUOTA_TICK_MS;
  private static final double MAX_BACKOFF_MS = 8 * PolicyTimers.QUOTA_TICK_MS;

  private final PolicyTimers timers;
  private final PolicyActions actions;
  private final double timeoutMs;
  private final double minCallsPerTick;
  private final Map<Long, ArrayDeque<OpenCounterCall>> inFlightByName = new HashMap<>();

  private double callsPerTick;
  private double tokens;

  /** The budget at the last failure. */
  private double callsPerTickAtFailure;

  private boolean hasFailedInTick;
  private int ticksWithoutFailure;
  private int consecutiveFailures;
  private double backoffMs = MIN_BACKOFF_MS;
  private double silentUntilMs;
  private double silentSinceMs;

  CounterCallBudget(PolicySettings settings, PolicyTimers timers, PolicyActions actions) {
    this.timers = timers;
    this.actions = actions;
    timeoutMs = settings.capabilities().counterTimeoutMs();
    double evenCallsPerTick = INITIAL_FLEET_CALLS_PER_TICK / settings.nodeCount();
    minCallsPerTick = evenCallsPerTick / MIN_BUDGET_DIVISOR;
    callsPerTick = Math.max(1, evenCallsPerTick);
    tokens = SAVED_TICKS * callsPerTick;
  }

  /** Whether the counter has stopped answering and is not called for now. */
  boolean isCounterSilent() {
    return timers.nowMs() < silentUntilMs;
  }

  /** When the counter stopped answering; only where {@link #isCounterSilent}. */
  double silentSinceMs() {
    return silentSinceMs;
  }

  boolean canCall() {
    return !isCounterSilent() && tokens >= 1;
  }

  /** The bucket holds less than the calls of a tick. */
  boolean isLow() {
    return tokens < callsPerTick;
  }

  /** The bucket holds a smaller part of a tick's calls than these units are of a burst. */
  boolean isEmptierThan(double units, double burstUnits) {
    return tokens < callsPerTick * units / burstUnits;
  }

  /**
   * Calls the counter, whatever the budget says: callers ask {@link #canCall} where they can wait.
   */
  void call(Customer customer, long name, double amount, CounterCallKind kind) {
    tokens--;
    ArrayDeque<OpenCounterCall> calls = inFlightByName.get(name);
    if (calls == null) {
      calls = new ArrayDeque<>();
      inFlightByName.put(name, calls);
    }
    calls.add(new OpenCounterCall(customer, kind, amount));
    actions.addToCounter(name, amount, kind.keepForMs);
  }

  /**
   * A call has ended, or is overdue and stays in flight.
   *
   * @return the call, null where none of this name is in flight
   */
  OpenCounterCall callEnded(long name, CallOutcome outcome, double tookMs) {
    ArrayDeque<OpenCounterCall> calls = inFlightByName.get(name);
    if (calls == null) {
      return null;
    }
    OpenCounterCall call = outcome == CallOutcome.OVERDUE ? calls.peek() : calls.poll();
    if (calls.isEmpty()) {
      inFlightByName.remove(name);
    }
    hasFailedInTick |= isCrowded(outcome, tookMs);
    updateSilence(outcome);
    return call;
  }

  /** A connection that breaks is no sign of crowding. */
  private boolean isCrowded(CallOutcome outcome, double tookMs) {
    return outcome == CallOutcome.FULL
        || outcome == CallOutcome.TIMEOUT
        || outcome == CallOutcome.OVERDUE
        || outcome == CallOutcome.OK
            && tookMs > CROWDED_TIMEOUT_SHARE * timeoutMs
            && tookMs <= timeoutMs;
  }

  private void updateSilence(CallOutcome outcome) {
    if (outcome == CallOutcome.OK) {
      consecutiveFailures = 0;
      backoffMs = MIN_BACKOFF_MS;
      return;
    }
    // a connection that broke was up a moment ago: no sign of a silent counter
    if (outcome != CallOutcome.RESET && outcome != CallOutcome.ERROR) {
      consecutiveFailures++;
    }
    if (consecutiveFailures >= SILENT_AFTER_FAILURES && !isCounterSilent()) {
      double nowMs = timers.nowMs();
      silentSinceMs = backoffMs == MIN_BACKOFF_MS ? nowMs : silentSinceMs;
      silentUntilMs = nowMs + backoffMs;
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
  }

  /** Adapts the budget by the calls of the last tick, and refills the bucket. */
  void onQuotaTick() {
    if (hasFailedInTick) {
      decrease();
    } else if (tokens < (SAVED_TICKS - 1) * callsPerTick) {
      increase();
    }
    hasFailedInTick = false;
    double maxTokens = SAVED_TICKS * callsPerTick;
    tokens = Math.min(maxTokens, Math.min(tokens, maxTokens) + callsPerTick);
  }

  private void decrease() {
    callsPerTickAtFailure =
        callsPerTick < callsPerTickAtFailure
            ? FAST_CONVERGENCE_FACTOR * callsPerTick
            : callsPerTick;
    callsPerTick = Math.max(minCallsPerTick, callsPerTick * DECREASE_FACTOR);
    ticksWithoutFailure = 0;
  }

  /** Soon back near the budget that failed, then past it, slowly at first. */
  private void increase() {
    ticksWithoutFailure++;
    callsPerTick *=
        callsPerTick < DECREASE_FACTOR * callsPerTickAtFailure
            ? MAX_INCREASE_FACTOR
            : Math.min(MAX_INCREASE_FACTOR, 1 + INCREASE_STEP * ticksWithoutFailure);
  }
}
