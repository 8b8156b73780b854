package edgenode.benchmark;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import edgenode.idempotency.IdempotencyIndex;
import edgenode.idempotency.IdempotencyLimits;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.LongConsumer;

/**
 * What a request with a key costs the store of repeats, beside a cache of the same bounds that
 * keeps the answers alone (Caffeine on one thread, with its own clock set by hand). Run from the
 * repository's root after {@code mvn test-compile dependency:build-classpath
 * -Dmdep.outputFile=target/cp}: {@code java -Xmx4g -cp target/test-classes:target/classes:$(cat
 * target/cp) edgenode.benchmark.RepeatCost}. Prints the median of 11 rounds, their least and most,
 * in nanoseconds, and the bytes of an entry.
 */
final class RepeatCost {
  /** Read by nothing; it keeps the look-ups from being optimised away. */
  private static long hits;

  private static final int ROUNDS = 11;
  private static final int WARM = 5;
  private static final int TURNS = 200_000;
  private static final int ANSWER = 64;

  /** A repeat for every so many first requests. */
  private static final int REPEATED = 4;

  private RepeatCost() {}

  private static void round(String name, LongConsumer one) {
    List<Double> rounds = new ArrayList<>();
    long id = 0;
    for (int r = 0; r < ROUNDS + WARM; r++) {
      long t0 = System.nanoTime();
      for (int k = 0; k < TURNS; k++) {
        one.accept(++id);
      }
      if (r >= WARM) {
        rounds.add((System.nanoTime() - t0) / (double) TURNS);
      }
    }
    rounds.sort(null);
    System.out.printf(
        Locale.ROOT,
        "%s: %.0f ns a request (%.0f to %.0f)%n",
        name,
        rounds.get(ROUNDS / 2),
        rounds.get(0),
        rounds.get(ROUNDS - 1));
  }

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static String key(long id) {
    return "00000000b4d65521 " + Long.toHexString(id * 0x9e3779b97f4a7c15L);
  }

  public static void main(String[] args) {
    byte[] answer = new byte[ANSWER];
    for (int n : new int[] {10_000, 100_000, 1_000_000}) {
      long before = used();
      IdempotencyIndex<byte[]> repeats =
          new IdempotencyIndex<>(new IdempotencyLimits(n, 1L << 30, 1e12, 8, false));
      for (long id = 1; id <= n; id++) {
        repeats.register(0, -id, key(-id), 1);
        repeats.complete(0, -id, answer, ANSWER, true);
      }
      System.out.printf(
          Locale.ROOT,
          "%d entries: %d bytes an entry beside its answer%n",
          n,
          (used() - before) / n);
      round(
          n + " entries, full, first requests and one repeat in " + REPEATED,
          id -> {
            repeats.register(id, id, key(id), 1);
            repeats.complete(id, id, answer, ANSWER, true);
            if (id % REPEATED == 0) {
              repeats.register(id, id, key(id - 1), 1);
            }
          });
      Cache<String, byte[]> cache =
          Caffeine.newBuilder()
              .maximumSize(n)
              .executor(Runnable::run)
              .expireAfterWrite(Duration.ofDays(10))
              .build();
      for (long id = 1; id <= n; id++) {
        cache.put(key(-id), answer);
      }
      round(
          n + " entries, full, Caffeine, answers alone",
          id -> {
            hits += cache.getIfPresent(key(id)) == null ? 0 : 1;
            cache.put(key(id), answer);
            if (id % REPEATED == 0) {
              hits += cache.getIfPresent(key(id - 1)) == null ? 0 : 1;
            }
          });
    }
  }
}
