package edgenode.policy;

/** A class of requests. */
public record RequestClass(
    String name,
    Idempotency idempotency,
    IdempotencyGroup group,
    double latencyObjectiveMs,
    double deadlineMs,
    double priorityWeight,
    double lateWeight,
    double idempotencyWindowMs,
    boolean isStreaming) {}
