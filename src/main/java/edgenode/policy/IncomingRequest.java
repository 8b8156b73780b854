package edgenode.policy;

/**
 * A request as it arrived.
 *
 * @param id unique among the requests of this node that are pending
 * @param className its {@link RequestClass}
 * @param planName its customer's {@link QuotaPlan}
 * @param customerName whose quota it takes
 * @param remainingMs how long its client still waits
 * @param units what it takes of the quota
 * @param nodeSpread over how many nodes the customer's requests are spread
 * @param firstNode the first of these nodes
 * @param isClientRetry the client sends it again after a rejection
 */
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
