package edgenode.idempotency;

/**
 * How much {@link IdempotencyIndex} remembers.
 *
 * @param maxEntries keys at once
 * @param maxResponseBytes of answers kept, all together
 * @param retentionMs how long a key is remembered after its request has ended (ms)
 * @param maxWaitingDuplicates repeats that may wait for one request at once
 * @param rejectsWhenFull what happens to a new key when all entries are taken: refused, or (false)
 *     taken in the place of the finished one that would be forgotten next
 */
public record IdempotencyLimits(
    int maxEntries,
    long maxResponseBytes,
    double retentionMs,
    int maxWaitingDuplicates,
    boolean rejectsWhenFull) {
  /** Longer than the servers themselves drop repeats (7.5 s on the first platform). */
  public static final IdempotencyLimits DEFAULT =
      new IdempotencyLimits(10_000, 4 << 20, 10_000, 8, false);
}
