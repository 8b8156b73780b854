package edgenode.policy;

import java.util.List;

/**
 * What one node is given at its start.
 *
 * @param nodeIndex its number in the fleet, from 0
 * @param nodeCount nodes of the fleet
 * @param zone its zone
 * @param timerResolutionMs the shortest time that the shell's timers can tell apart
 * @param mustPollDiscovery whether the engine calls discovery itself
 * @param settlesUnits whether answers tell what a request really took of the quota
 * @param maxRequestUnits units of a request at most
 * @param loadReportFields names of the figures in load reports
 * @param requestClasses the classes of requests
 * @param plans the quota plans
 * @param capabilities what the installation allows
 * @param rules the figures of the rules
 * @param prices what the installation charges
 */
public record PolicySettings(
    int nodeIndex,
    int nodeCount,
    String zone,
    double timerResolutionMs,
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
   * For how long (ms) endpoints drop duplicates of a class; infinite where the class has no
   * idempotency key, or is unknown.
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

  /** Whether requests of a class have an idempotency key; false for unknown classes. */
  public boolean hasIdempotencyKey(String className) {
    for (RequestClass requestClass : requestClasses) {
      if (requestClass.name().equals(className)) {
        return requestClass.idempotency() == Idempotency.KEYED;
      }
    }
    return false;
  }

  /**
   * Whether a request of a class that may have run may be sent to any endpoint again, as no effect
   * happens twice; false for unknown classes.
   */
  public boolean isRepeatableAnywhere(String className) {
    for (RequestClass requestClass : requestClasses) {
      if (requestClass.name().equals(className)) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
            || requestClass.idempotency() == Idempotency.KEYED
                && requestClass.group() == IdempotencyGroup.ALL;
      }
    }
    return false;
  }
}
