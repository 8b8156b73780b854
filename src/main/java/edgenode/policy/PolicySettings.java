package edgenode.policy;

import java.util.List;

/** Everything one instance is told at its start. */
public record PolicySettings(
    int nodeIndex,
    int nodeCount,
    String zone,
    double tickMs,
    boolean mustPollDiscovery,
    boolean settlesUnits,
    int maxRequestUnits,
    List<String> loadReportFields,
    List<RequestClass> requestClasses,
    List<QuotaPlan> plans,
    Capabilities capabilities,
    RuleLimits rules,
    Prices prices) {

  /**
   * For how long (ms) servers drop a repeat of this class; for ever where a repeat does no harm by
   * itself.
   */
  public double idempotencyWindowMs(String className) {
    for (RequestClass requestClass : requestClasses) {
      if (requestClass.name().equals(className)
          && requestClass.idempotency() == Idempotency.KEYED) {
        return requestClass.idempotencyWindowMs();
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Whether requests of this class may be told apart by their idempotency keys. */
  public boolean hasIdempotencyKey(String className) {
    for (RequestClass requestClass : requestClasses) {
      if (requestClass.name().equals(className)) {
        return requestClass.idempotency() == Idempotency.KEYED;
      }
    }
    return false;
  }
}
