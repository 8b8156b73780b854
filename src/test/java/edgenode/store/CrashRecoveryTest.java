package edgenode.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The engine on a disk that loses, tears and reorders what was not synced, against the states it
 * may be in.
 */
class CrashRecoveryTest {
  private static final int CRASHES = Integer.getInteger("store.crashes", 10_000);
  private static final StoreEngine.EngineOptions SMALL = new StoreEngine.EngineOptions(2000);
  private static final String SPACE = "s";

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * One store through many crashes; what is in it after each must be one of the states since the
   * last sync.
   */
  private static final class CrashScenario {
    final Random random;
    final boolean retries;
    FaultInjectingDirectory disk = new FaultInjectingDirectory();
    StoreEngine engine;

    /**
     * The state after each batch; each batch writes its number too, so that a state found tells
     * which it is.
     */
    List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));

    int synced;
    long time = 1;

    CrashScenario(long seed, String skips, boolean retries) {
      random = new Random(seed);
      disk.skippedSyncs = skips;
      this.retries = retries;
    }

    void open() throws Exception {
      for (int tries = 0; engine == null; tries++) {
        disk.powerCutAtOperation =
            tries < 3 && random.nextInt(3) == 0
                ? disk.operationCount + 1 + random.nextInt(12)
                : Long.MAX_VALUE;
        try {
          engine = new StoreEngine(disk, SMALL, time, random::nextLong);
        } catch (StoreDirectory.StorageIoException e) { // power went while it recovered
          disk = disk.crash(random);
        }
      }
      disk.powerCutAtOperation = Long.MAX_VALUE;
    }

    WriteBatch batch(Map<String, String> state) throws StoreException {
      WriteBatch b = new WriteBatch();
      for (int i = random.nextInt(4); i >= 0; i--) {
        String key = "k" + random.nextInt(12);
        if (random.nextInt(3) == 0) {
          state.remove(key);
          b.delete(SPACE, bytes(key));
        } else {
          String value =
              states.size() + "x".repeat(random.nextInt(random.nextInt(8) == 0 ? 1500 : 60));
          state.put(key, value);
          b.put(SPACE, bytes(key), bytes(value));
        }
      }
      state.put("n", "" + states.size());
      return b.put(SPACE, bytes("n"), bytes("" + states.size()));
    }

    void work() {
      disk.powerCutAtOperation = disk.operationCount + 1 + random.nextInt(120);
      disk.failAtOperation =
          random.nextInt(4) == 0 ? disk.operationCount + 1 + random.nextInt(60) : Long.MAX_VALUE;
      try {
        while (true) {
          Map<String, String> state = new TreeMap<>(states.get(states.size() - 1));
          WriteBatch b = batch(state);
          states.add(state); // it may survive, also if nobody is told so
          engine.append(List.of(b), ++time);
          if (random.nextInt(3) > 0) {
            try {
              engine.sync();
            } catch (StoreException e) {
              if (!retries) {
                throw e;
              }
              var f =
                  StoreEngine.class.getDeclaredField(
                      "failed"); // the planted bug: the sync is tried again
              f.setAccessible(true);
              f.set(engine, null);
              engine.sync();
            }
            synced = states.size() - 1;
          }
          engine.publish();
          while (random.nextInt(3) > 0 && engine.runMaintenance(700, 0)) {
            assertTrue(engine.metrics().keyCount() >= 0);
          }
        }
      } catch (StoreException | ReflectiveOperationException e) {
        if (random.nextInt(5) == 0) {
          engine.close();
        }
      }
      engine = null;
      disk = disk.crash(random);
    }

    String read(String key) throws Exception {
      StoreEngine.VersionedValue v = engine.get(StoreKey.of(SPACE, bytes(key)), time);
      return v == null ? null : new String(v.bytes(), StandardCharsets.UTF_8);
    }

    void check() throws Exception {
      String n = read("n");
      int at = n == null ? 0 : Integer.parseInt(n);
      assertTrue(
          at >= synced && at < states.size(), at + " of " + states.size() + ", synced " + synced);
      for (int k = 0; k < 12; k++) {
        assertEquals(states.get(at).get("k" + k), read("k" + k), "k" + k + " in state " + at);
      }
      while (states.size() > at + 1) {
        states.remove(states.size() - 1);
      }
      synced = at;
    }
  }

  private static void crashes(long seed, int times, String skips, boolean retries)
      throws Exception {
    CrashScenario run = new CrashScenario(seed, skips, retries);
    for (int i = 0; i < times; i++) {
      run.open();
      run.check();
      run.work();
    }
  }

  @Test
  void whatIsThereAfterACrashWasWrittenAndWhatWasSyncedIsThere() {
    IntStream.range(0, CRASHES / 20)
        .parallel()
        .forEach(
            seed -> {
              try {
                crashes(seed, 20, "", false);
              } catch (Exception | AssertionError e) {
                throw new AssertionError("seed " + seed, e);
              }
            });
  }

  /** The test of the test: each bug is found. */
  @ParameterizedTest
  @ValueSource(strings = {"folder", "MANIFEST.new", ".*seg", "retry"})
  void aSyncLeftOutIsFound(String bug) {
    assertThrows(
        Throwable.class,
        () -> {
          for (int seed = 0; seed < 500; seed++) {
            crashes(seed, 20, bug.equals("retry") ? "" : bug, bug.equals("retry"));
          }
        });
  }

  /** A store that has rolled, deleted, compacted and holds batches. */
  private static FaultInjectingDirectory storeWithHistory(
      boolean closed, List<Map<String, String>> states) throws Exception {
    CrashScenario run = new CrashScenario(5, "", false);
    run.open();
    for (int i = 0; i < 80; i++) {
      Map<String, String> state = new TreeMap<>(run.states.get(run.states.size() - 1));
      WriteBatch b = run.batch(state);
      run.states.add(state);
      run.engine.append(List.of(b), ++run.time);
      run.engine.sync();
      run.engine.publish();
      while (i < 60 && run.engine.runMaintenance(700, 0)) {
        assertNull(run.engine.metrics().failure());
      }
    }
    assertTrue(run.engine.metrics().segmentCount() >= 3);
    FaultInjectingDirectory disk = run.disk.copy();
    if (closed) {
      run.engine.close();
      disk = run.disk.copy();
    }
    states.addAll(run.states);
    return disk;
  }

  /** Opens it and compares; refusing is right too where a sync had covered what is gone. */
  private static String verdict(FaultInjectingDirectory disk, List<Map<String, String>> states)
      throws Exception {
    CrashScenario run = new CrashScenario(1, "", false);
    run.disk = disk;
    run.states = new ArrayList<>(states);
    try {
      run.engine = new StoreEngine(disk, SMALL, 1, run.random::nextLong);
      run.check();
    } catch (StoreException e) {
      assertTrue(e.reason() != StoreException.Reason.FAILED, e.getMessage());
      return "damaged";
    }
    return run.engine.metrics().recoveryMessages().isEmpty() ? "state " + run.synced : "cut";
  }

  @Test
  void truncatedAtAnyByteAStoreHasAPrefixOrRefuses() throws Exception {
    List<Map<String, String>> states = new ArrayList<>();
    FaultInjectingDirectory whole = storeWithHistory(false, states);
    String last =
        whole.fileNames().stream()
            .filter(n -> n.endsWith(".seg"))
            .max(String::compareTo)
            .orElseThrow();
    int[] seen = new int[2];
    for (String name : whole.fileNames()) {
      byte[] all = whole.fileBytes(name);
      for (int length = 0; length < all.length; length++) {
        FaultInjectingDirectory cut = whole.copy();
        cut.putFile(name, Arrays.copyOf(all, length));
        String verdict = verdict(cut, states);
        if (!name.equals(last) && !name.endsWith(".hint")) {
          assertEquals("damaged", verdict, name + " at " + length);
        }
        seen[verdict.equals("damaged") ? 0 : 1]++;
      }
    }
    assertTrue(seen[0] > 1000 && seen[1] > 100, Arrays.toString(seen));
  }

  @Test
  void aFlippedBitIsToldOrDoesNoHarm() throws Exception {
    List<Map<String, String>> states = new ArrayList<>();
    FaultInjectingDirectory whole = storeWithHistory(true, states);
    int damaged = 0;
    for (String name : whole.fileNames()) {
      for (int i = 0; i < whole.fileBytes(name).length; i++) {
        FaultInjectingDirectory bad = whole.copy();
        bad.fileBytes(name)[i] ^= (byte) (1 << i % 8);
        String verdict = verdict(bad, states);
        damaged += verdict.equals("damaged") ? 1 : 0;
        boolean toldOrWhole =
            !verdict.startsWith("state ") || verdict.equals("state " + (states.size() - 1));
        assertTrue(toldOrWhole, name + " at " + i + ": " + verdict);
      }
    }
    assertTrue(damaged > 1000, "" + damaged);
  }

  @Test
  void aDamagedPlaceIsNamedAndAValueThatLooksLikeAFrameIsNone() throws Exception {
    FaultInjectingDirectory disk = new FaultInjectingDirectory();
    StoreEngine e = new StoreEngine(disk, new StoreEngine.EngineOptions(1 << 20), 1, () -> 9);
    for (int i = 0; i < 3; i++) { // the second value holds all that was written before it
      byte[] value = i == 1 ? disk.fileBytes(Segment.fileName(1)).clone() : bytes("v" + i);
      e.append(List.of(new WriteBatch().put(SPACE, bytes("k" + i), value)), 1);
      e.sync();
      e.publish();
    }
    FaultInjectingDirectory torn = disk.copy();
    byte[] all = torn.fileBytes(Segment.fileName(1));
    torn.putFile(Segment.fileName(1), Arrays.copyOf(all, all.length - 3));
    StoreEngine again = new StoreEngine(torn, SMALL, 1, () -> 8);
    assertEquals(2, again.metrics().keyCount());
    assertTrue(
        again.metrics().recoveryMessages().get(0).contains("cut off at offset "),
        again.metrics().recoveryMessages().toString());
    all = disk.fileBytes(Segment.fileName(1));
    all[SegmentFormat.SEGMENT_HEADER_BYTES + 40] ^= 1;
    StoreException why =
        assertThrows(StoreException.class, () -> new StoreEngine(disk.copy(), SMALL, 1, () -> 8));
    assertEquals(StoreException.Reason.DAMAGED, why.reason());
    assertTrue(why.getMessage().startsWith(Segment.fileName(1) + ", offset 32:"), why.getMessage());
  }

  @Test
  void snapshotsConditionsAndTimeToLive() throws Exception {
    FaultInjectingDirectory disk = new FaultInjectingDirectory();
    StoreEngine e = new StoreEngine(disk, SMALL, 100, () -> 9);
    StoreKey k = StoreKey.of(SPACE, bytes("k"));
    write(
        e,
        new WriteBatch()
            .put(SPACE, bytes("k"), bytes("old"))
            .put(SPACE, bytes("x"), bytes("y"), 150));
    long snapshot = e.snapshot();
    long version = e.get(k, 100).version();
    for (int i = 0; i < 60; i++) {
      write(e, new WriteBatch().put(SPACE, bytes("k"), bytes("new" + "z".repeat(200))));
      while (e.runMaintenance(5000, 0)) {
        assertNull(e.metrics().failure());
      }
    }
    assertEquals("old", new String(e.get(k, 100, snapshot).bytes(), StandardCharsets.UTF_8));
    assertTrue(e.metrics().totalBytes() < 8000, "compacted: " + e.metrics());
    StoreEngine.AppendResult stale =
        e.append(
                List.of(
                    new WriteBatch()
                        .require(SPACE, bytes("k"), version)
                        .put(SPACE, bytes("k"), bytes("stale"))),
                100)
            .get(0);
    assertEquals(StoreException.Reason.CONFLICT, stale.rejection().reason());
    e.release(snapshot);
    assertEquals(
        "y",
        new String(e.get(StoreKey.of(SPACE, bytes("x")), 149).bytes(), StandardCharsets.UTF_8));
    assertNull(e.get(StoreKey.of(SPACE, bytes("x")), 150));
    assertNull(e.get(StoreKey.of(SPACE, bytes("x")), 120), "the clock went back");
    for (int i = 0; i < 500; i++) { // keys that nobody deletes
      WriteBatch b = new WriteBatch().put(SPACE, bytes("t" + i), bytes("v"), 1000 + i);
      assertNull(e.append(List.of(b), 500 + i).get(0).rejection());
      e.sync();
      e.publish();
      while (e.runMaintenance(5000, 500 + i)) {
        assertNull(e.metrics().failure());
      }
    }
    while (e.runMaintenance(5000, 2000)) {
      assertNull(e.metrics().failure());
    }
    assertTrue(
        e.metrics().keyCount() < 30 && e.metrics().totalBytes() < 8000, "expired: " + e.metrics());
  }

  private static void write(StoreEngine e, WriteBatch b) throws StoreException {
    assertNull(e.append(List.of(b), 100).get(0).rejection());
    e.sync();
    e.publish();
  }
}
