package edgenode.policy;

/**
 * What the site allows; keepAlive is how long (ms) a server keeps an idle connection, 0 where
 * nothing tells.
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
