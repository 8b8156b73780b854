package edgenode.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * What this node knows of one endpoint. Fields are grouped by the rule that they serve; {@code
 * inFlight} is kept by RequestLifecycle, and OutcomeRecorder sets {@code wasUnreachable}.
 */
final class Endpoint {
  /** Before all times (ms): it has not happened. */
  static final double NEVER_HAPPENED_MS = Double.NEGATIVE_INFINITY;

  final String id;

  /** The endpoint as listed last. */
  EndpointInfo info;

  /** Attempts in flight, the oldest first. */
  final LinkedHashSet<Attempt> inFlight = new LinkedHashSet<>();

  // ---- membership (KnownEndpoints) ----

  /** May get requests by the list: up, and in this node's subset. */
  boolean isListed = true;

  /** Not in the subset: known only while attempts are in flight, or for a bound retry. */
  boolean isFormer;

  // ---- score (EndpointScore) ----

  /** Moving average of the answer time over the mean of the class: 1 is usual. */
  double slowdown = 1;

  double slowdownAtMs;
  final Map<RequestClassStats, FailureShare> failureShares = new HashMap<>();

  /** Until then the endpoint keeps an idle connection of ours open. */
  double connectedUntilMs = NEVER_HAPPENED_MS;

  // ---- concurrency limit (ConcurrencyLimiter) ----

  /** Attempts in flight at most. */
  double concurrencyLimit = ConcurrencyLimiter.INITIAL_LIMIT;

  double lastSentMs;

  // ---- outlier detection (OutlierDetector) ----

  /** Weighted faults since the last success. */
  double faultScore;

  double ejectedUntilMs;

  /** Ejections since the last success, bounded: each doubles the next one's time. */
  int ejections;

  /** Was ejected and has not answered since. */
  boolean isOnTrial;

  /** Refused a connection while on trial: it may have restarted. */
  boolean wasUnreachable;

  // ---- slow start (SlowStart) ----

  double warmUpStartMs = NEVER_HAPPENED_MS;

  /** Attempts that it may get now, while it is warming up. */
  double slowStartTokens;

  double slowStartRefilledAtMs;

  Endpoint(String id) {
    this.id = id;
  }

  boolean isEjected(double nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /**
   * A restarted process has none of the faults of the former one. One that was on trial stays so:
   * one fault ejects it again until it has answered.
   */
  void forgetFaults() {
    faultScore = 0;
    ejectedUntilMs = 0;
    ejections = 0;
    slowdown = 1;
    failureShares.clear();
  }
}
