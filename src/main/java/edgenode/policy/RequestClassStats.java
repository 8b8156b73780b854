package edgenode.policy;

/** A class of requests with the mean time that its answers take at all endpoints. */
final class RequestClassStats {
  /**
   * Until answers are seen, the mean is taken to be the objective divided by this: an objective
   * leaves time for a queue, a retry and the network.
   */
  static final double INITIAL_MEAN_DIVISOR = 8;

  final RequestClass requestClass;
  double meanMs;

  RequestClassStats(RequestClass requestClass) {
    this.requestClass = requestClass;
    meanMs = requestClass.latencyObjectiveMs() / INITIAL_MEAN_DIVISOR;
  }

  void recordAnswer(double tookMs) {
    meanMs += (tookMs - meanMs) * Ewma.SLOW_WEIGHT;
  }

  /** An attempt without an answer would have taken at least so long. */
  void recordTimeout(double tookMs) {
    meanMs += Math.max(0, tookMs - meanMs) * Ewma.SLOW_WEIGHT;
  }
}
