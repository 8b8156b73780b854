package edgenode.idempotency;

/**
 * How much {@link Repeats} remembers.
 *
 * @param entries keys at once
 * @param bytes of answers kept, all together
 * @param keep how long a key is remembered after its request has ended (ms)
 * @param followers repeats that may wait for one request at once
 * @param refuses what happens to a new key when all entries are taken: refused, or (false) taken in
 *     the place of the finished one that would be forgotten next
 */
public record Bounds(int entries, long bytes, double keep, int followers, boolean refuses) {
  /** Longer than the servers themselves drop repeats (7.5 s on the first platform). */
  public static final Bounds DEFAULT = new Bounds(10_000, 4 << 20, 10_000, 8, false);
}
