package edgenode.idempotency;

/**
 * How much an {@link IdempotencyIndex} remembers.
 *
 * @param maxEntries keys at a time
 * @param maxResponseBytes bytes of cached responses, all together
 * @param retentionMs how long a key is remembered after its request has ended (ms)
 * @param maxWaitingDuplicates duplicates that may wait for one request at a time
 * @param rejectsWhenFull what happens to a new key when all entries are taken: it is rejected, or
 *     (false) it evicts the completed key that expires next
 */
public record IdempotencyLimits(
    int maxEntries,
    long maxResponseBytes,
    double retentionMs,
    int maxWaitingDuplicates,
    boolean rejectsWhenFull) {
  /** Retention is longer than the servers themselves drop duplicates (7.5 s). */
  public static final IdempotencyLimits DEFAULT =
      new IdempotencyLimits(10_000, 4 << 20, 10_000, 8, false);
}
