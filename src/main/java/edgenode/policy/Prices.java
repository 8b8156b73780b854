package edgenode.policy;

/** What costs points of the result. */
public record Prices(
    double wastedAttempt,
    double healthCheck,
    double counterCall,
    double crossZone,
    double lateFailure) {}
