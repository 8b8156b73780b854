package edgenode.policy;

/**
 * What the installation allows and offers.
 *
 * @param canCheckHealth endpoints answer health checks. Not used by this engine; part of the
 *     simulator's protocol.
 * @param canCancel endpoints take cancellations
 * @param canHedge two attempts of a request may be in flight together. Not used by this engine;
 *     part of the simulator's protocol.
 * @param canSendRetryAfter a rejection may say when to come back
 * @param canGossip nodes may talk to each other. Not used by this engine; part of the simulator's
 *     protocol.
 * @param hasCounter there is a counter that all nodes share
 * @param maxAttempts attempts of a request at most
 * @param maxRetryAfterMs the longest Retry-After
 * @param counterTimeoutMs a call to the counter is overdue after this
 * @param keepAliveMs how long an endpoint keeps an idle connection, 0 where this is not known
 */
public record Capabilities(
    boolean canCheckHealth,
    boolean canCancel,
    boolean canHedge,
    boolean canSendRetryAfter,
    boolean canGossip,
    boolean hasCounter,
    int maxAttempts,
    double maxRetryAfterMs,
    double counterTimeoutMs,
    double keepAliveMs) {}
