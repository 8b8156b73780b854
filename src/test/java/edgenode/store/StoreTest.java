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

/** The store on a real folder and with real threads. */
@Timeout(120)
class StoreTest {
  private static final KeyValueStore.Options SMALL =
      new KeyValueStore.Options(8192, 1000, 50, 64 << 20);

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  private static StoreException.Reason reason(KeyValueStore.PendingWrite c) {
    return ((StoreException)
            assertThrows(CompletionException.class, () -> c.durable().join()).getCause())
        .reason();
  }

  /**
   * The child of the test below: writes from many threads, and prints each write that was promised
   * to last.
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
  void whatAKilledProcessWasPromisedIsThere(@TempDir Path folder) throws Exception {
    Path store = folder.resolve("store");
    int promised = 0;
    for (int round = 0; round < 5; round++) {
      String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
      Process child =
          new ProcessBuilder(
                  java,
                  "-cp",
                  System.getProperty("java.class.path"),
                  "edgenode.store.StoreTest",
                  store.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      Map<String, Integer> last = new HashMap<>();
      try (BufferedReader out =
          new BufferedReader(
              new InputStreamReader(child.getInputStream(), StandardCharsets.UTF_8))) {
        for (int i = 0; i < 700; i++) {
          String[] word = out.readLine().split(" ");
          last.put(word[0], Integer.parseInt(word[1]));
        }
        child.destroyForcibly(); // SIGKILL, in the middle of whatever it does
      }
      child.waitFor();
      try (KeyValueStore again = KeyValueStore.open(store, SMALL)) {
        for (var e : last.entrySet()) {
          int there =
              Integer.parseInt(
                  new String(again.get("s", bytes(e.getKey())).value(), StandardCharsets.UTF_8));
          assertTrue(there >= e.getValue(), e + " was promised, " + there + " is there");
          assertArrayEquals(
              again.get("s", bytes(e.getKey())).value(),
              again.get("s", bytes(e.getKey() + "'")).value(),
              "half a batch");
          promised++;
        }
      }
    }
    assertTrue(promised > 300, "" + promised);
  }

  @Test
  void aSecondProcessIsKeptOutAndAClosedStoreRefuses(@TempDir Path folder) throws Exception {
    KeyValueStore store = KeyValueStore.open(folder, SMALL);
    StoreException second =
        assertThrows(StoreException.class, () -> KeyValueStore.open(folder, SMALL));
    assertEquals(StoreException.Reason.LOCKED, second.reason());
    store
        .write(new WriteBatch().put("s", bytes("k"), bytes("v")), KeyValueStore.Durability.ASYNC)
        .durable()
        .join();
    store.close();
    assertEquals(
        StoreException.Reason.CLOSED,
        reason(store.write(new WriteBatch(), KeyValueStore.Durability.SYNC)));
    try (KeyValueStore again = KeyValueStore.open(folder, SMALL)) {
      assertEquals("v", new String(again.get("s", bytes("k")).value(), StandardCharsets.UTF_8));
      assertTrue(again.recoveryMessages().isEmpty(), again.recoveryMessages().toString());
    }
    assertThrows(
        StoreException.class, () -> new WriteBatch().put("s", new byte[1025], new byte[0]));
    assertThrows(
        StoreException.class,
        () -> new WriteBatch().put("s", new byte[1], new byte[(1 << 20) + 1]));
  }

  /** After a failed sync nothing is promised any more, and what was is still read. */
  @Test
  void aDiskThatFailsEndsWritingAndNotReading() throws Exception {
    FaultInjectingDirectory disk = new FaultInjectingDirectory();
    try (KeyValueStore store = KeyValueStore.openOn(disk, SMALL, () -> 1)) {
      store
          .write(new WriteBatch().put("s", bytes("k"), bytes("v")), KeyValueStore.Durability.SYNC)
          .completed()
          .join();
      disk.failAtOperation = disk.operationCount + 2; // the write, then its sync
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
      assertEquals("failed", store.metrics().get("state"));
    }
  }

  /**
   * Writers that add one to two counters in a batch, by condition, while readers and compaction go
   * on.
   */
  @Test
  void nothingIsLostOrSeenInHalvesUnderConcurrency() throws Exception {
    FaultInjectingDirectory disk = new FaultInjectingDirectory();
    AtomicInteger added = new AtomicInteger();
    List<Throwable> wrong = new ArrayList<>();
    try (KeyValueStore store = KeyValueStore.openOn(disk, SMALL, () -> 1)) {
      List<Thread> threads = new ArrayList<>();
      for (int t = 0; t < 4; t++) {
        threads.add(
            new Thread(
                () -> {
                  for (int i = 0; i < 400; i++) {
                    try {
                      KeyValueStore.Entry a = store.get("s", bytes("a"));
                      long n =
                          a == null
                              ? 0
                              : Long.parseLong(new String(a.value(), StandardCharsets.UTF_8));
                      store
                          .write(
                              new WriteBatch()
                                  .require("s", bytes("a"), a == null ? 0 : a.version())
                                  .put("s", bytes("a"), bytes("" + (n + 1)))
                                  .put("s", bytes("b"), bytes("" + (n + 1))),
                              KeyValueStore.Durability.SYNC)
                          .completed()
                          .join();
                      added.incrementAndGet();
                    } catch (CompletionException e) {
                      if (((StoreException) e.getCause()).reason()
                          != StoreException.Reason.CONFLICT) {
                        wrong.add(e);
                      }
                    } catch (StoreException e) {
                      wrong.add(e);
                    }
                  }
                }));
        threads.add(
            new Thread(
                () -> {
                  for (int i = 0; i < 4000; i++) {
                    try (KeyValueStore.Snapshot s = store.snapshot()) {
                      List<String> seen = new ArrayList<>();
                      s.scan(
                          "s",
                          new byte[0],
                          null,
                          e -> seen.add(new String(e.value(), StandardCharsets.UTF_8)));
                      if (seen.size() == 1
                          || seen.size() == 2 && !seen.get(0).equals(seen.get(1))) {
                        wrong.add(new AssertionError("half a batch: " + seen));
                      }
                    } catch (StoreException e) {
                      wrong.add(e);
                    }
                  }
                }));
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
  void checkTellsDamageAndRepairKeepsTheRest(@TempDir Path folder) throws Exception {
    Path dir = folder.resolve("a");
    try (KeyValueStore store = KeyValueStore.open(dir, SMALL)) {
      for (int i = 0; i < 200; i++) {
        store
            .write(
                new WriteBatch().put("s", bytes("k" + i), bytes("v".repeat(100))),
                KeyValueStore.Durability.ASYNC)
            .completed()
            .get(10, TimeUnit.SECONDS);
      }
    }
    assertEquals(0, StoreCommand.run(new String[] {"check", dir.toString()}));
    Path first = dir.resolve(Segment.fileName(1));
    byte[] all = Files.readAllBytes(first);
    all[500] ^= 4;
    Files.write(first, all);
    Files.deleteIfExists(dir.resolve(Segment.hintFileName(1)));
    assertEquals(1, StoreCommand.run(new String[] {"check", dir.toString()}));
    assertEquals(
        StoreException.Reason.DAMAGED,
        assertThrows(StoreException.class, () -> KeyValueStore.open(dir, SMALL)).reason());
    Path mended = folder.resolve("b");
    assertEquals(0, StoreCommand.run(new String[] {"repair", dir.toString(), mended.toString()}));
    assertEquals(0, StoreCommand.run(new String[] {"check", mended.toString()}));
    try (KeyValueStore store = KeyValueStore.open(mended, SMALL)) {
      int there = 0;
      for (int i = 0; i < 200; i++) {
        there += store.get("s", bytes("k" + i)) != null ? 1 : 0;
      }
      assertEquals(199, there);
      assertNotNull(store.get("s", bytes("k199")));
      assertNull(store.get("s", bytes("k200")));
    }
  }
}
