package edgenode.policy;

/** A request as it arrived. */
public record IncomingRequest(
    long id,
    String className,
    String planName,
    String customerName,
    double remainingMs,
    int units,
    int nodeSpread,
    int firstNode,
    boolean isClientRetry) {}
