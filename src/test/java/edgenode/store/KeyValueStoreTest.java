package edgenode.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The store in a real directory and with real threads. */
@Timeout(120)
class KeyValueStoreTest {
  private static final KeyValueStore.Options SMALL =
      new KeyValueStore.Options(8192, 1000, 50, 64 << 20);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static StoreException.Reason reason(KeyValueStore.PendingWrite write) {
    return ((StoreException)
            assertThrows(CompletionException.class, () -> write.durable().join()).getCause())
        .reason();
  }

  /**
   * The child process of the test below: writes from many threads, and prints each write once it is
   * durable.
   */
  public static void main(String[] args) throws Exception {
    KeyValueStore store = KeyValueStore.open(Path.of(args[0]), SMALL);
    for (int t = 0; t < 16; t++) {
      int thread = t;
      new Thread(
              () -> {
                try {
                  for (int i = 0; ; i++) {
                    String key = thread + "-" + i % 20;
                    store
                        .write(
                            new WriteBatch()
                                .put("s", bytes(key), bytes("" + i))
                                .put("s", bytes(key + "'"), bytes("" + i)),
                            KeyValueStore.Durability.SYNC)
                        .completed()
                        .join();
                    synchronized (System.out) {
                      System.out.println(key + " " + i);
                    }
                  }
                } catch (StoreException e) {
                  throw new AssertionError(e);
                }
              })
          .start();
    }
  }

  @Test
  void durableWritesSurviveAKilledProcess(@TempDir Path tempDirectory) throws Exception {
    Path store = tempDirectory.resolve("store");
    int durableCount = 0;
    for (int round = 0; round < 5; round++) {
      String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
      Process child =
          new ProcessBuilder(
                  java,
                  "-cp",
                  System.getProperty("java.class.path"),
                  KeyValueStoreTest.class.getName(),
                  store.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      Map<String, Integer> lastDurable = new HashMap<>();
      try (BufferedReader out =
          new BufferedReader(
              new InputStreamReader(child.getInputStream(), StandardCharsets.UTF_8))) {
        for (int i = 0; i < 700; i++) {
          String[] words = out.readLine().split(" ");
          lastDurable.put(words[0], Integer.parseInt(words[1]));
        }
        child.destroyForcibly(); // SIGKILL, while it writes
      }
      child.waitFor();
      try (KeyValueStore reopened = KeyValueStore.open(store, SMALL)) {
        for (Map.Entry<String, Integer> entry : lastDurable.entrySet()) {
          int found =
              Integer.parseInt(
                  new String(
                      reopened.get("s", bytes(entry.getKey())).value(), StandardCharsets.UTF_8));
          assertTrue(found >= entry.getValue(), entry + " was durable, " + found + " was found");
          assertArrayEquals(
              reopened.get("s", bytes(entry.getKey())).value(),
              reopened.get("s", bytes(entry.getKey() + "'")).value(),
              "half a batch");
          durableCount++;
        }
      }
    }
    assertTrue(durableCount > 300, "" + durableCount);
  }

  @Test
  void anOpenDirectoryIsLockedAndAClosedStoreRejectsWrites(@TempDir Path tempDirectory)
      throws Exception {
    KeyValueStore store = KeyValueStore.open(tempDirectory, SMALL);
    StoreException second =
        assertThrows(StoreException.class, () -> KeyValueStore.open(tempDirectory, SMALL));
    assertEquals(StoreException.Reason.LOCKED, second.reason());
    store
        .write(new WriteBatch().put("s", bytes("k"), bytes("v")), KeyValueStore.Durability.ASYNC)
        .durable()
        .join();
    store.close();
    assertEquals(
        StoreException.Reason.CLOSED,
        reason(store.write(new WriteBatch(), KeyValueStore.Durability.SYNC)));
    try (KeyValueStore reopened = KeyValueStore.open(tempDirectory, SMALL)) {
      assertEquals("v", new String(reopened.get("s", bytes("k")).value(), StandardCharsets.UTF_8));
      assertTrue(reopened.messages().isEmpty(), reopened.messages().toString());
    }
    assertThrows(
        StoreException.class, () -> new WriteBatch().put("s", new byte[1025], new byte[0]));
    assertThrows(
        StoreException.class,
        () -> new WriteBatch().put("s", new byte[1], new byte[(1 << 20) + 1]));
  }

  /** After a failed sync no write is accepted, and earlier ones are still read. */
  @Test
  void afterAFailedSyncWritesFailAndReadsGoOn() throws Exception {
    FaultInjectingDirectory directory = new FaultInjectingDirectory();
    try (KeyValueStore store = KeyValueStore.openOn(directory, SMALL, () -> 1)) {
      store
          .write(new WriteBatch().put("s", bytes("k"), bytes("v")), KeyValueStore.Durability.SYNC)
          .completed()
          .join();
      directory.failAtOperation = directory.operationCount + 2; // the write, then its sync
      KeyValueStore.PendingWrite lost =
          store.write(
              new WriteBatch().put("s", bytes("k"), bytes("w")), KeyValueStore.Durability.SYNC);
      assertEquals(StoreException.Reason.FAILED, reason(lost));
      assertEquals(
          StoreException.Reason.FAILED,
          reason(
              store.write(
                  new WriteBatch().put("s", bytes("k"), bytes("x")),
                  KeyValueStore.Durability.ASYNC)));
      assertEquals("v", new String(store.get("s", bytes("k")).value(), StandardCharsets.UTF_8));
      assertEquals("failed", store.metrics().toTelemetry().get("state"));
    }
  }

  private static void incrementCounters(
      KeyValueStore store, AtomicInteger added, List<Throwable> wrong) {
    for (int i = 0; i < 400; i++) {
      try {
        KeyValueStore.Entry entry = store.get("s", bytes("a"));
        long count =
            entry == null ? 0 : Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8));
        WriteBatch batch =
            new WriteBatch()
                .require("s", bytes("a"), entry == null ? 0 : entry.version())
                .put("s", bytes("a"), bytes("" + (count + 1)))
                .put("s", bytes("b"), bytes("" + (count + 1)));
        store.write(batch, KeyValueStore.Durability.SYNC).completed().join();
        added.incrementAndGet();
      } catch (CompletionException e) {
        if (((StoreException) e.getCause()).reason() != StoreException.Reason.CONFLICT) {
          wrong.add(e);
        }
      } catch (StoreException e) {
        wrong.add(e);
      }
    }
  }

  private static void readCounters(KeyValueStore store, List<Throwable> wrong) {
    for (int i = 0; i < 4000; i++) {
      try (KeyValueStore.Snapshot snapshot = store.snapshot()) {
        List<String> seen = new ArrayList<>();
        snapshot.scan(
            "s",
            new byte[0],
            null,
            entry -> seen.add(new String(entry.value(), StandardCharsets.UTF_8)));
        if (seen.size() == 1 || seen.size() == 2 && !seen.get(0).equals(seen.get(1))) {
          wrong.add(new AssertionError("half a batch: " + seen));
        }
      } catch (StoreException e) {
        wrong.add(e);
      }
    }
  }

  /** Writers increment two counters in one conditional batch, while readers and compaction run. */
  @Test
  void concurrentWritesAreNotLostAndBatchesAreSeenWhole() throws Exception {
    FaultInjectingDirectory directory = new FaultInjectingDirectory();
    AtomicInteger added = new AtomicInteger();
    List<Throwable> wrong = new ArrayList<>();
    try (KeyValueStore store = KeyValueStore.openOn(directory, SMALL, () -> 1)) {
      List<Thread> threads = new ArrayList<>();
      for (int t = 0; t < 4; t++) {
        threads.add(new Thread(() -> incrementCounters(store, added, wrong)));
        threads.add(new Thread(() -> readCounters(store, wrong)));
      }
      threads.forEach(Thread::start);
      for (Thread t : threads) {
        t.join();
      }
      assertEquals(List.of(), wrong);
      assertTrue(added.get() > 100, "" + added);
      assertEquals(
          "" + added, new String(store.get("s", bytes("b")).value(), StandardCharsets.UTF_8));
    }
  }

  @Test
  void checkReportsDamageAndRepairKeepsTheRest(@TempDir Path tempDirectory) throws Exception {
    Path directory = tempDirectory.resolve("a");
    try (KeyValueStore store = KeyValueStore.open(directory, SMALL)) {
      for (int i = 0; i < 200; i++) {
        store
            .write(
                new WriteBatch().put("s", bytes("k" + i), bytes("v".repeat(100))),
                KeyValueStore.Durability.ASYNC)
            .completed()
            .get(10, TimeUnit.SECONDS);
      }
    }
    assertEquals(0, StoreCommand.run(new String[] {"check", directory.toString()}));
    Path first = directory.resolve(Segment.fileName(1));
    byte[] all = Files.readAllBytes(first);
    all[500] ^= 4;
    Files.write(first, all);
    Files.deleteIfExists(directory.resolve(Segment.hintFileName(1)));
    assertEquals(1, StoreCommand.run(new String[] {"check", directory.toString()}));
    assertEquals(
        StoreException.Reason.DAMAGED,
        assertThrows(StoreException.class, () -> KeyValueStore.open(directory, SMALL)).reason());
    Path repaired = tempDirectory.resolve("b");
    assertEquals(
        0, StoreCommand.run(new String[] {"repair", directory.toString(), repaired.toString()}));
    assertEquals(0, StoreCommand.run(new String[] {"check", repaired.toString()}));
    try (KeyValueStore store = KeyValueStore.open(repaired, SMALL)) {
      int found = 0;
      for (int i = 0; i < 200; i++) {
        found += store.get("s", bytes("k" + i)) != null ? 1 : 0;
      }
      assertEquals(199, found);
      assertNotNull(store.get("s", bytes("k199")));
      assertNull(store.get("s", bytes("k200")));
    }
  }
}
