package edgenode.policy;

/**
 * How much worse than usual an endpoint is: the inputs of the load balancer's choice. What is known
 * decays while no new samples come.
 *
 * <p>Inputs: outcomes and answer times of attempts (ms), how long the endpoint keeps idle
 * connections.
 */
final class EndpointScore {
  private static final double SLOWDOWN_HALF_LIFE_MS = 4000;
  private static final double FAILURE_HALF_LIFE_MS = 4 * SLOWDOWN_HALF_LIFE_MS;
  private static final double MAX_SLOWDOWN_SAMPLE = 30;

  /**
   * An idle connection is closed after this part of the endpoint's keep-alive, so that a request
   * does not meet the endpoint's close on the way.
   */
  private static final double KEEP_ALIVE_SHARE = 0.4;

  /**
   * Cost factor of an endpoint to which no connection is open. Without it each node would open
   * connections to all endpoints.
   */
  private static final double HANDSHAKE_FACTOR = 1.5;

  private final PolicyTimers timers;
  private final SlowStart slowStart;
  private final double keepAliveMs;

  EndpointScore(PolicySettings settings, PolicyTimers timers, SlowStart slowStart) {
    this.timers = timers;
    this.slowStart = slowStart;
    keepAliveMs = settings.capabilities().keepAliveMs();
  }

  /**
   * The cost of one more attempt: (attempts in flight + 1) times the slowdown, times the factor of
   * a handshake where one is needed. The lower, the better. An endpoint that warms up is not
   * charged for a handshake: slow start limits it already.
   */
  double cost(Endpoint endpoint) {
    double cost = (endpoint.inFlight.size() + 1) * slowdown(endpoint);
    boolean needsHandshake =
        keepAliveMs > 0
            && endpoint.inFlight.isEmpty()
            && timers.nowMs() >= endpoint.connectedUntilMs
            && slowStart.isWarm(endpoint);
    return needsHandshake ? cost * HANDSHAKE_FACTOR : cost;
  }

  /** The decayed moving average, or what the oldest attempt in flight shows already. */
  private double slowdown(Endpoint endpoint) {
    double slowdown = decayedSlowdown(endpoint);
    if (endpoint.inFlight.isEmpty()) {
      return slowdown;
    }
    Attempt oldest = endpoint.inFlight.iterator().next();
    double waitedMs = timers.nowMs() - oldest.sentAtMs;
    return Math.max(slowdown, waitedMs / oldest.request.classStats.meanMs / 2);
  }

  private double decayedSlowdown(Endpoint endpoint) {
    return 1
        + (endpoint.slowdown - 1)
            * Math.pow(0.5, (timers.nowMs() - endpoint.slowdownAtMs) / SLOWDOWN_HALF_LIFE_MS);
  }

  /**
   * Takes a sample into the moving average.
   *
   * @param sample answer time over the mean of the class
   */
  void recordSlowdown(Endpoint endpoint, double sample) {
    endpoint.slowdown = decayedSlowdown(endpoint);
    endpoint.slowdown +=
        (Math.min(sample, MAX_SLOWDOWN_SAMPLE) - endpoint.slowdown) * Ewma.FAST_WEIGHT;
    endpoint.slowdownAtMs = timers.nowMs();
  }

  /** How likely this endpoint fails this class or cannot be reached, 0 to 1. */
  double failureShare(Endpoint endpoint, RequestClassStats classStats) {
    FailureShare last = endpoint.failureShares.get(classStats);
    if (last == null) {
      return 0;
    }
    return last.share() * Math.pow(0.5, (timers.nowMs() - last.atMs()) / FAILURE_HALF_LIFE_MS);
  }

  /** What an outcome says of failures and of the connection. */
  void recordOutcome(Endpoint endpoint, RequestClassStats classStats, CallOutcome outcome) {
    double nowMs = timers.nowMs();
    boolean isOk = outcome == CallOutcome.OK;
    endpoint.connectedUntilMs =
        isOk || outcome == CallOutcome.ERROR
            ? nowMs + KEEP_ALIVE_SHARE * keepAliveMs
            : Endpoint.NEVER_HAPPENED_MS;
    if (outcome != CallOutcome.CANCELLED && outcome != CallOutcome.NOT_SENT) {
      double share = (failureShare(endpoint, classStats) + (isOk ? 0 : 1)) / 2;
      endpoint.failureShares.put(classStats, new FailureShare(share, nowMs));
    }
  }
}
