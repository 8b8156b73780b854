package edgenode.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Opens the directory {@code store-v1}, which the program of commit 111cfb6 wrote: segments of
 * 2,000 bytes, two namespaces, overwritten and deleted keys, times to live, the result of a
 * compaction with its hint, closed cleanly. Guards against a change of the stored format.
 */
class StoreFormatTest {
  private static final String RESOURCE = "/store-v1";
  private static final KeyValueStore.Options OPTIONS =
      new KeyValueStore.Options(8192, 1000, 50, 64 << 20);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void copyResource(Path target) throws Exception {
    Path source = resource();
    try (Stream<Path> files = Files.list(source)) {
      for (Path file : files.toList()) {
        Files.copy(file, target.resolve(file.getFileName().toString()));
      }
    }
  }

  private static Path resource() throws URISyntaxException {
    return Path.of(StoreFormatTest.class.getResource(RESOURCE).toURI());
  }

  /** The entries of a namespace: key in base64 to version and value in base64. */
  private static Map<String, String> scan(KeyValueStore store, String namespace)
      throws StoreException {
    Map<String, String> entries = new TreeMap<>();
    try (KeyValueStore.Snapshot snapshot = store.snapshot()) {
      snapshot.scan(
          namespace,
          new byte[0],
          null,
          entry -> {
            putEntry(entries, entry.key(), entry.version(), entry.value());
            return true;
          });
    }
    return entries;
  }

  private static void putEntry(Map<String, String> to, byte[] key, long version, byte[] value) {
    Base64.Encoder base64 = Base64.getEncoder();
    to.put(base64.encodeToString(key), version + " " + base64.encodeToString(value));
  }

  private static Map<String, String> expectedRepeats() {
    Map<String, String> expected = new TreeMap<>();
    putEntry(expected, bytes("key-0"), 62, bytes("overwritten after the compaction"));
    for (int i : new int[] {1, 2, 5, 6, 7, 8, 9, 10, 11}) { // key-3 is deleted
      putEntry(
          expected, bytes("key-" + i), 49 + i, bytes("value " + (48 + i) + " " + "x".repeat(40)));
    }
    putEntry(expected, bytes("key-4"), 61, bytes("with a deletion"));
    for (int i = 0; i < 25; i++) {
      putEntry(expected, bytes("late-" + i), 69 + i, bytes("v" + i + "y".repeat(60)));
    }
    return expected;
  }

  /** Without "deleted" and without "expired", whose time is over. */
  private static Map<String, String> expectedAccounts() {
    Map<String, String> expected = new TreeMap<>();
    putEntry(expected, bytes("äöü"), 62, bytes("grüße"));
    putEntry(expected, new byte[] {0, -1, 127, -128}, 63, new byte[] {-1, 0, 1});
    putEntry(expected, bytes("empty"), 64, new byte[0]);
    putEntry(expected, bytes("expires in 2096"), 65, bytes("still there"));
    return expected;
  }

  @Test
  void storeOfTheFormerVersionIsOpenedWithTheSameKeysAndValues(@TempDir Path directory)
      throws Exception {
    copyResource(directory);
    try (KeyValueStore store = KeyValueStore.open(directory, OPTIONS)) {
      assertEquals(List.of(), store.messages());
      assertEquals(expectedRepeats(), scan(store, "repeats"));
      assertEquals(expectedAccounts(), scan(store, "accounts"));
      assertEquals(62, store.get("repeats", bytes("key-0")).version());
      assertArrayEquals(bytes("grüße"), store.get("accounts", bytes("äöü")).value());
      assertNull(store.get("repeats", bytes("key-3")));
      assertNull(store.get("accounts", bytes("deleted")));
      assertNull(store.get("accounts", bytes("expired")));
    }
  }

  @Test
  void checkFindsNothingWrongInAStoreOfTheFormerVersion(@TempDir Path directory) throws Exception {
    copyResource(directory);
    assertEquals(0, StoreCommand.run(new String[] {"check", directory.toString()}));
    List<String> segments = new ArrayList<>();
    try (StoreDirectory files = new FileSystemDirectory(directory)) {
      StoreScan scan = StoreScan.scan(files, segments::add);
      assertEquals(List.of(), scan.unreadableRanges());
      assertEquals(46, scan.frameCount());
      assertEquals(47, scan.recordCount());
      assertEquals(5590, scan.totalBytes());
    }
    assertEquals(
        List.of(6L, 4L, 7L, 8L).stream().map(Segment::fileName).toList(),
        segments,
        "in the manifest's order: the output of the compaction first");
  }

  @Test
  void storeOfTheFormerVersionIsWrittenOn(@TempDir Path directory) throws Exception {
    copyResource(directory);
    Map<String, String> expected = expectedRepeats();
    try (KeyValueStore store = KeyValueStore.open(directory, OPTIONS)) {
      WriteBatch batch = new WriteBatch().put("repeats", bytes("new"), bytes("value"));
      long version = store.write(batch, KeyValueStore.Durability.SYNC).completed().join();
      assertEquals(95, version, "the empty frame of the clean close has number 94");
      putEntry(expected, bytes("new"), version, bytes("value"));
    }
    assertEquals(0, StoreCommand.run(new String[] {"check", directory.toString()}));
    try (KeyValueStore store = KeyValueStore.open(directory, OPTIONS)) {
      assertNotNull(store.get("repeats", bytes("new")));
      assertEquals(expected, scan(store, "repeats"));
      assertEquals(expectedAccounts(), scan(store, "accounts"));
    }
  }
}
