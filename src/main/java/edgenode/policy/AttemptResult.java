package edgenode.policy;

/**
 * How an attempt ended.
 *
 * @param outcome its end
 * @param tookMs from when it was sent
 * @param trueUnits what the request really took of the quota, 0 where this is not known
 * @param loadReport the endpoint's own figures, in the order of {@link
 *     PolicySettings#loadReportFields}; not used by the engine
 */
public record AttemptResult(
    CallOutcome outcome, double tookMs, int trueUnits, double[] loadReport) {}
