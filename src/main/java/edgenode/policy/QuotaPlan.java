package edgenode.policy;

/** A plan; a rate, open or ceilingRate of 0 means that there is no such limit. */
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
