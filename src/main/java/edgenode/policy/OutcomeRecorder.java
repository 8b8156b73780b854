package edgenode.policy;

/** What the end of an attempt says of its endpoint, to each rule that learns from it. */
final class OutcomeRecorder {
  private final PolicyTimers timers;
  private final EndpointScore score;
  private final ConcurrencyLimiter limiter;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private final Pacer pacer;

  OutcomeRecorder(
      PolicyTimers timers,
      EndpointScore score,
      ConcurrencyLimiter limiter,
      OutlierDetector outliers,
      SlowStart slowStart,
      Pacer pacer) {
    this.timers = timers;
    this.score = score;
    this.limiter = limiter;
    this.outliers = outliers;
    this.slowStart = slowStart;
    this.pacer = pacer;
  }

  void record(Endpoint endpoint, RequestClassStats classStats, CallOutcome outcome, double tookMs) {
    score.recordOutcome(endpoint, classStats, outcome);
    switch (outcome) {
      case OK -> {
        score.recordSlowdown(endpoint, tookMs / classStats.meanMs);
        classStats.recordAnswer(tookMs);
        recordTime(endpoint, classStats, tookMs);
        if (endpoint.wasUnreachable) { // it may have restarted before the list says so
          slowStart.startWarmUp(endpoint, timers.nowMs());
        }
        outliers.recordSuccess(endpoint);
      }
      case TIMEOUT -> {
        score.recordSlowdown(endpoint, Math.max(1, tookMs / classStats.meanMs));
        classStats.recordTimeout(tookMs);
        recordTime(endpoint, classStats, tookMs);
        outliers.recordFault(endpoint, OutlierDetector.TIMEOUT_WEIGHT);
      }
      case FULL -> {
        score.recordSlowdown(endpoint, 2 * endpoint.slowdown);
        outliers.recordFault(endpoint, OutlierDetector.FULL_WEIGHT);
      }
      case NO_CONNECTION -> {
        endpoint.wasUnreachable |= endpoint.isOnTrial;
        outliers.recordFault(endpoint, OutlierDetector.NO_CONNECTION_WEIGHT);
      }
      case RESET -> outliers.recordFault(endpoint, OutlierDetector.RESET_WEIGHT);
      case ERROR, CANCELLED, NOT_SENT, OVERDUE -> {} // say nothing of the endpoint's load
    }
  }

  private void recordTime(Endpoint endpoint, RequestClassStats classStats, double tookMs) {
    double objectiveMs = classStats.requestClass.latencyObjectiveMs();
    if (tookMs <= objectiveMs / 2) { // later ones were counted when they became late
      pacer.recordTimelyAnswer();
    }
    limiter.recordAnswer(endpoint, tookMs, objectiveMs);
  }
}
