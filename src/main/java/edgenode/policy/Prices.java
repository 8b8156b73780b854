package edgenode.policy;

/**
 * What the installation charges, in answers in time. Not used by this engine; part of the
 * simulator's protocol.
 *
 * @param wastedAttempt an attempt whose answer nobody gets
 * @param healthCheck a health check
 * @param counterCall a call to the counter
 * @param crossZone an attempt in another zone
 * @param lateFailure a request that fails at its deadline rather than early
 */
public record Prices(
    double wastedAttempt,
    double healthCheck,
    double counterCall,
    double crossZone,
    double lateFailure) {}
