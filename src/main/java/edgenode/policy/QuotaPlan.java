package edgenode.policy;

/**
 * What customers of a plan may use, all nodes together: a token bucket of units, a cap on open
 * requests and a hard ceiling. A rate or cap of 0 means that there is no such limit.
 *
 * @param name its name on the wire
 * @param ratePerSecond units that the quota fills in a second
 * @param burstUnits units that the quota holds at most
 * @param maxOpenRequests open requests at most
 * @param priceWeight what its requests are worth
 * @param overQuotaWeight what a request over the quota is worth, as a part of one within it
 * @param overQuotaCost what a request over the quota costs, in requests within it
 * @param ceilingRatePerSecond units a second that are never to be exceeded
 * @param ceilingBurstUnits units that the ceiling holds at most
 * @param ceilingSlackUnits units by which a count at the ceiling may be off
 */
public record QuotaPlan(
    String name,
    double ratePerSecond,
    double burstUnits,
    int maxOpenRequests,
    double priceWeight,
    double overQuotaWeight,
    double overQuotaCost,
    double ceilingRatePerSecond,
    double ceilingBurstUnits,
    double ceilingSlackUnits) {}
