package edgenode.policy;

/**
 * A class of requests, as the settings define it.
 *
 * @param name its name on the wire
 * @param idempotency whether it may be sent again
 * @param group where duplicates are dropped; only for {@link Idempotency#KEYED}
 * @param latencyObjectiveMs an answer within this time counts in full
 * @param deadlineMs how long clients wait at most
 * @param priorityWeight what an answer in time is worth
 * @param lateWeight what an answer after the objective is worth
 * @param idempotencyWindowMs for how long endpoints drop duplicates; only for {@link
 *     Idempotency#KEYED}
 * @param isStreaming whether answers may come in parts
 */
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
