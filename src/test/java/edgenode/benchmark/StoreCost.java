package edgenode.benchmark;

import edgenode.store.KeyValueStore;
import edgenode.store.WriteBatch;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * What the store does a second, beside a bare file that is appended to and a plain map. Run from
 * the repository's root after {@code mvn test-compile dependency:build-classpath
 * -Dmdep.outputFile=target/cp}: {@code java -Xmx3g -cp target/test-classes:target/classes:$(cat
 * target/cp) edgenode.benchmark.StoreCost DIR}, DIR on the disk to be measured and not there yet.
 * Prints the median of 5 rounds, least and most.
 */
final class StoreCost {
  private static final int ROUNDS = 5;
  private static final int MILLION = 1_000_000;
  private static final KeyValueStore.Options OPTIONS =
      new KeyValueStore.Options(16 << 20, 100_000, 100, 1L << 30);
  private static final Random RANDOM = new Random(1);

  private StoreCost() {}

  private static byte[] key(int i) {
    return String.format("%016x", i * 0x9e3779b9L)
        .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  }

  private static void rounds(String what, int units, Callable<?> one) throws Exception {
    double[] rates = new double[ROUNDS];
    for (int r = 0; r < ROUNDS; r++) {
      long t0 = System.nanoTime();
      one.call();
      rates[r] = units / ((System.nanoTime() - t0) / 1e9);
    }
    Arrays.sort(rates);
    if (units == 1) {
      System.out.printf(
          Locale.ROOT,
          "%-44s %,12.0f ms (%,.0f to %,.0f)%n",
          what,
          1000 / rates[ROUNDS / 2],
          1000 / rates[ROUNDS - 1],
          1000 / rates[0]);
      return;
    }
    System.out.printf(
        Locale.ROOT,
        "%-44s %,12.0f a second (%,.0f to %,.0f)%n",
        what,
        rates[ROUNDS / 2],
        rates[0],
        rates[ROUNDS - 1]);
  }

  private static Object appends(Path file, int syncs, int bytes) throws IOException {
    try (FileChannel c =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      for (int i = 0; i < syncs; i++) {
        c.write(ByteBuffer.allocate(bytes));
        c.force(false);
      }
    }
    Files.delete(file);
    return null;
  }

  /** So many writers, each with one write under way at a time. */
  private static Object writers(KeyValueStore store, int writers, int each, byte[] value)
      throws Exception {
    List<CompletableFuture<?>> all = new ArrayList<>();
    for (int w = 0; w < writers; w++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      next(store, w * MILLION, each, value, done);
      all.add(done);
    }
    CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).join();
    return null;
  }

  private static void next(
      KeyValueStore store, int id, int left, byte[] value, CompletableFuture<Void> done) {
    if (left == 0) {
      done.complete(null);
      return;
    }
    try {
      store
          .write(new WriteBatch().put("b", key(id), value), KeyValueStore.Durability.SYNC)
          .completed()
          .thenAccept(v -> next(store, id + 1, left - 1, value, done));
    } catch (edgenode.store.StoreException e) {
      done.completeExceptionally(e);
    }
  }

  private static Object async(KeyValueStore store, int n, byte[] value) throws Exception {
    CompletableFuture<Long> last = null;
    for (int i = 0; i < n; i++) {
      last =
          store
              .write(new WriteBatch().put("b", key(i), value), KeyValueStore.Durability.ASYNC)
              .completed();
      if (i % 1000 == 999) {
        last.join(); // at most so many wait
      }
    }
    return last.join();
  }

  private static long used() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static long bytes(Path folder) throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.mapToLong(p -> p.toFile().length()).sum();
    }
  }

  public static void main(String[] args) throws Exception {
    Path dir = Files.createDirectory(Path.of(args[0]));
    for (int size : new int[] {100, 4096}) {
      byte[] value = new byte[size];
      int record = 36 + 20 + 1 + 16 + size;
      System.out.println("values of " + size + " bytes");
      rounds("bare append, a sync a write", 200, () -> appends(dir.resolve("bare"), 200, record));
      rounds(
          "bare append, a sync for 64 writes",
          200 * 64,
          () -> appends(dir.resolve("bare"), 200, 64 * record));
      try (KeyValueStore store = KeyValueStore.open(dir.resolve("s" + size), OPTIONS)) {
        rounds("SYNC, 1 writer", 200, () -> writers(store, 1, 200, value));
        rounds("SYNC, 64 writers", 200 * 64, () -> writers(store, 64, 200, value));
        rounds("ASYNC", 100_000, () -> async(store, 100_000, value));
        Map<String, byte[]> map = new HashMap<>();
        for (int i = 0; i < 100_000; i++) {
          map.put(new String(key(i)), value);
        }
        rounds(
            "HashMap, reads",
            100_000,
            () -> {
              int sum = 0;
              for (int i = 0; i < 100_000; i++) {
                sum += map.get(new String(key(RANDOM.nextInt(100_000)))).length;
              }
              return sum;
            });
        rounds(
            "reads",
            100_000,
            () -> {
              int sum = 0;
              for (int i = 0; i < 100_000; i++) {
                sum += store.get("b", key(RANDOM.nextInt(100_000))).value().length;
              }
              return sum;
            });
        rounds(
            "scanned entries",
            100_000,
            () -> {
              int[] n = new int[1];
              try (KeyValueStore.Snapshot s = store.snapshot()) {
                s.scan("b", new byte[0], null, e -> ++n[0] < 100_000);
              }
              return n[0];
            });
      }
    }
    Path many = dir.resolve("many");
    long before = used();
    try (KeyValueStore store = KeyValueStore.open(many, OPTIONS)) {
      async(store, MILLION, new byte[100]);
      System.out.printf("memory of a million keys: %d bytes each%n", (used() - before) / MILLION);
      async(store, MILLION, new byte[100]);
      long grown = bytes(many);
      for (long last = -1; last != bytes(many); Thread.sleep(3000)) {
        last = bytes(many);
      }
      System.out.printf(
          Locale.ROOT,
          "a million overwritten: %.2f times the payload, compacted %.2f%n",
          grown / 116e6,
          bytes(many) / 116e6);
    }
    rounds(
        "starts with hints, a million keys",
        1,
        () -> {
          KeyValueStore.open(many, OPTIONS).close();
          return null;
        });
    rounds(
        "starts without",
        1,
        () -> {
          try (Stream<Path> all = Files.list(many)) {
            for (Path p : all.filter(f -> f.toString().endsWith(".hint")).toList()) {
              Files.delete(p);
            }
          }
          KeyValueStore.open(many, OPTIONS).close();
          return null;
        });
  }
}
