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
  private static final StoreEngine.Options SMALL = new StoreEngine.Options(2000);
  private static final String NAMESPACE = "s";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * One store through many crashes; after each its content must be one of the states since the last
   * sync.
   */
  private static final class CrashScenario {
    final Random random;
    final boolean retriesSync;
    FaultInjectingDirectory directory = new FaultInjectingDirectory();
    StoreEngine engine;

    /**
     * The state after each batch; each batch writes its number too, so that a state tells which it
     * is.
     */
    List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));

    int synced;
    long timeMs = 1;

    CrashScenario(long seed, String skippedSyncs, boolean retriesSync) {
      random = new Random(seed);
      directory.skippedSyncs = skippedSyncs;
      this.retriesSync = retriesSync;
    }

    void open() throws Exception {
      for (int tries = 0; engine == null; tries++) {
        directory.powerCutAtOperation =
            tries < 3 && random.nextInt(3) == 0
                ? directory.operationCount + 1 + random.nextInt(12)
                : Long.MAX_VALUE;
        try {
          engine = new StoreEngine(directory, SMALL, timeMs, random::nextLong);
        } catch (StorageIoException e) { // power was cut while it recovered
          directory = directory.crash(random);
        }
      }
      directory.powerCutAtOperation = Long.MAX_VALUE;
    }

    WriteBatch batch(Map<String, String> state) throws StoreException {
      WriteBatch batch = new WriteBatch();
      for (int i = random.nextInt(4); i >= 0; i--) {
        String key = "k" + random.nextInt(12);
        if (random.nextInt(3) == 0) {
          state.remove(key);
          batch.delete(NAMESPACE, bytes(key));
        } else {
          String value =
              states.size() + "x".repeat(random.nextInt(random.nextInt(8) == 0 ? 1500 : 60));
          state.put(key, value);
          batch.put(NAMESPACE, bytes(key), bytes(value));
        }
      }
      state.put("n", "" + states.size());
      return batch.put(NAMESPACE, bytes("n"), bytes("" + states.size()));
    }

    void writeUntilCrash() {
      directory.powerCutAtOperation = directory.operationCount + 1 + random.nextInt(120);
      directory.failAtOperation =
          random.nextInt(4) == 0
              ? directory.operationCount + 1 + random.nextInt(60)
              : Long.MAX_VALUE;
      try {
        while (true) {
          Map<String, String> state = new TreeMap<>(states.get(states.size() - 1));
          WriteBatch batch = batch(state);
          states.add(state); // it may survive although the write fails
          engine.append(List.of(batch), ++timeMs);
          if (random.nextInt(3) > 0) {
            try {
              engine.sync();
            } catch (StoreException e) {
              if (!retriesSync) {
                throw e;
              }
              // the planted bug: the sync is tried again
              var failure = StoreEngine.class.getDeclaredField("failure");
              failure.setAccessible(true);
              failure.set(engine, null);
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
      directory = directory.crash(random);
    }

    String read(String key) throws Exception {
      StoreEngine.VersionedValue value = engine.get(StoreKey.of(NAMESPACE, bytes(key)), timeMs);
      return value == null ? null : new String(value.bytes(), StandardCharsets.UTF_8);
    }

    void checkState() throws Exception {
      String number = read("n");
      int index = number == null ? 0 : Integer.parseInt(number);
      assertTrue(
          index >= synced && index < states.size(),
          index + " of " + states.size() + ", synced " + synced);
      for (int k = 0; k < 12; k++) {
        assertEquals(states.get(index).get("k" + k), read("k" + k), "k" + k + " in state " + index);
      }
      while (states.size() > index + 1) {
        states.remove(states.size() - 1);
      }
      synced = index;
    }
  }

  private static void crashes(long seed, int times, String skippedSyncs, boolean retriesSync)
      throws Exception {
    CrashScenario run = new CrashScenario(seed, skippedSyncs, retriesSync);
    for (int i = 0; i < times; i++) {
      run.open();
      run.checkState();
      run.writeUntilCrash();
    }
  }

  @Test
  void afterACrashTheStoreHoldsAPrefixWithAllThatWasSynced() {
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

  /** Checks the test itself: it finds each of these bugs. */
  @ParameterizedTest
  @ValueSource(strings = {"folder", "MANIFEST.new", ".*seg", "retry"})
  void givenAMissingSyncTheCrashTestFails(String bug) {
    assertThrows(
        Throwable.class,
        () -> {
          for (int seed = 0; seed < 500; seed++) {
            crashes(seed, 20, bug.equals("retry") ? "" : bug, bug.equals("retry"));
          }
        });
  }

  /** A store with several segments, deletions, compactions and batches. */
  private static FaultInjectingDirectory storeWithHistory(
      boolean isClosed, List<Map<String, String>> states) throws Exception {
    CrashScenario run = new CrashScenario(5, "", false);
    run.open();
    for (int i = 0; i < 80; i++) {
      Map<String, String> state = new TreeMap<>(run.states.get(run.states.size() - 1));
      WriteBatch batch = run.batch(state);
      run.states.add(state);
      run.engine.append(List.of(batch), ++run.timeMs);
      run.engine.sync();
      run.engine.publish();
      while (i < 60 && run.engine.runMaintenance(700, 0)) {
        assertNull(run.engine.metrics().failure());
      }
    }
    assertTrue(run.engine.metrics().segmentCount() >= 3);
    FaultInjectingDirectory directory = run.directory.copy();
    if (isClosed) {
      run.engine.close();
      directory = run.directory.copy();
    }
    states.addAll(run.states);
    return directory;
  }

  /**
   * Opens and compares a store. It may be reported as damaged where a sync had covered what is
   * lost.
   */
  private static String verdict(FaultInjectingDirectory directory, List<Map<String, String>> states)
      throws Exception {
    CrashScenario run = new CrashScenario(1, "", false);
    run.directory = directory;
    run.states = new ArrayList<>(states);
    try {
      run.engine = new StoreEngine(directory, SMALL, 1, run.random::nextLong);
      run.checkState();
    } catch (StoreException e) {
      assertTrue(e.reason() != StoreException.Reason.FAILED, e.getMessage());
      return "damaged";
    }
    return run.engine.metrics().messages().isEmpty() ? "state " + run.synced : "cut";
  }

  @Test
  void givenAFileTruncatedAtAnyByteTheStoreHoldsAPrefixOrIsDamaged() throws Exception {
    List<Map<String, String>> states = new ArrayList<>();
    FaultInjectingDirectory intact = storeWithHistory(false, states);
    String activeSegment =
        intact.fileNames().stream()
            .filter(n -> n.endsWith(".seg"))
            .max(String::compareTo)
            .orElseThrow();
    int[] seen = new int[2];
    for (String name : intact.fileNames()) {
      byte[] all = intact.fileBytes(name);
      for (int length = 0; length < all.length; length++) {
        FaultInjectingDirectory cut = intact.copy();
        cut.putFile(name, Arrays.copyOf(all, length));
        String verdict = verdict(cut, states);
        if (!name.equals(activeSegment) && !name.endsWith(".hint")) {
          assertEquals("damaged", verdict, name + " at " + length);
        }
        seen[verdict.equals("damaged") ? 0 : 1]++;
      }
    }
    assertTrue(seen[0] > 1000 && seen[1] > 100, Arrays.toString(seen));
  }

  @Test
  void givenAFlippedBitItIsReportedOrHasNoEffect() throws Exception {
    List<Map<String, String>> states = new ArrayList<>();
    FaultInjectingDirectory intact = storeWithHistory(true, states);
    int damaged = 0;
    for (String name : intact.fileNames()) {
      for (int i = 0; i < intact.fileBytes(name).length; i++) {
        FaultInjectingDirectory damagedCopy = intact.copy();
        damagedCopy.fileBytes(name)[i] ^= (byte) (1 << i % 8);
        String verdict = verdict(damagedCopy, states);
        damaged += verdict.equals("damaged") ? 1 : 0;
        boolean isReportedOrComplete =
            !verdict.startsWith("state ") || verdict.equals("state " + (states.size() - 1));
        assertTrue(isReportedOrComplete, name + " at " + i + ": " + verdict);
      }
    }
    assertTrue(damaged > 1000, "" + damaged);
  }

  @Test
  void damageIsNamedByOffsetAndAValueThatLooksLikeAFrameIsNotReadAsOne() throws Exception {
    FaultInjectingDirectory directory = new FaultInjectingDirectory();
    StoreEngine engine = new StoreEngine(directory, new StoreEngine.Options(1 << 20), 1, () -> 9);
    for (int i = 0; i < 3; i++) { // the second value holds all that was written before it
      byte[] value = i == 1 ? directory.fileBytes(Segment.fileName(1)).clone() : bytes("v" + i);
      engine.append(List.of(new WriteBatch().put(NAMESPACE, bytes("k" + i), value)), 1);
      engine.sync();
      engine.publish();
    }
    FaultInjectingDirectory torn = directory.copy();
    byte[] all = torn.fileBytes(Segment.fileName(1));
    torn.putFile(Segment.fileName(1), Arrays.copyOf(all, all.length - 3));
    StoreEngine reopened = new StoreEngine(torn, SMALL, 1, () -> 8);
    assertEquals(2, reopened.metrics().keyCount());
    assertTrue(
        reopened.metrics().messages().get(0).contains("cut off at offset "),
        reopened.metrics().messages().toString());
    all = directory.fileBytes(Segment.fileName(1));
    all[SegmentFormat.SEGMENT_HEADER_BYTES + 40] ^= 1;
    StoreException error =
        assertThrows(
            StoreException.class, () -> new StoreEngine(directory.copy(), SMALL, 1, () -> 8));
    assertEquals(StoreException.Reason.DAMAGED, error.reason());
    assertTrue(
        error.getMessage().startsWith(Segment.fileName(1) + ", offset 32:"), error.getMessage());
  }

  @Test
  void snapshotsConditionsAndTimesToLiveHold() throws Exception {
    FaultInjectingDirectory directory = new FaultInjectingDirectory();
    StoreEngine engine = new StoreEngine(directory, SMALL, 100, () -> 9);
    StoreKey key = StoreKey.of(NAMESPACE, bytes("k"));
    write(
        engine,
        new WriteBatch()
            .put(NAMESPACE, bytes("k"), bytes("old"))
            .put(NAMESPACE, bytes("x"), bytes("y"), 150));
    long snapshot = engine.openSnapshot();
    long version = engine.get(key, 100).version();
    for (int i = 0; i < 60; i++) {
      write(engine, new WriteBatch().put(NAMESPACE, bytes("k"), bytes("new" + "z".repeat(200))));
      while (engine.runMaintenance(5000, 0)) {
        assertNull(engine.metrics().failure());
      }
    }
    assertEquals("old", new String(engine.get(key, 100, snapshot).bytes(), StandardCharsets.UTF_8));
    assertTrue(engine.metrics().totalBytes() < 8000, "compacted: " + engine.metrics());
    StoreEngine.AppendResult stale =
        engine
            .append(
                List.of(
                    new WriteBatch()
                        .require(NAMESPACE, bytes("k"), version)
                        .put(NAMESPACE, bytes("k"), bytes("stale"))),
                100)
            .get(0);
    assertEquals(StoreException.Reason.CONFLICT, stale.rejection().reason());
    engine.releaseSnapshot(snapshot);
    assertEquals(
        "y",
        new String(
            engine.get(StoreKey.of(NAMESPACE, bytes("x")), 149).bytes(), StandardCharsets.UTF_8));
    assertNull(engine.get(StoreKey.of(NAMESPACE, bytes("x")), 150));
    assertNull(engine.get(StoreKey.of(NAMESPACE, bytes("x")), 120), "the clock went back");
    for (int i = 0; i < 500; i++) { // keys that are never deleted
      WriteBatch batch = new WriteBatch().put(NAMESPACE, bytes("t" + i), bytes("v"), 1000 + i);
      assertNull(engine.append(List.of(batch), 500 + i).get(0).rejection());
      engine.sync();
      engine.publish();
      while (engine.runMaintenance(5000, 500 + i)) {
        assertNull(engine.metrics().failure());
      }
    }
    while (engine.runMaintenance(5000, 2000)) {
      assertNull(engine.metrics().failure());
    }
    assertTrue(
        engine.metrics().keyCount() < 30 && engine.metrics().totalBytes() < 8000,
        "expired: " + engine.metrics());
  }

  private static void write(StoreEngine engine, WriteBatch batch) throws StoreException {
    assertNull(engine.append(List.of(batch), 100).get(0).rejection());
    engine.sync();
    engine.publish();
  }
}
