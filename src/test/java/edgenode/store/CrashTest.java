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
class CrashTest {
  private static final int CRASHES = Integer.getInteger("store.crashes", 10_000);
  private static final Engine.Limits SMALL = new Engine.Limits(2000);
  private static final String SPACE = "s";

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * One store through many crashes; what is in it after each must be one of the states since the
   * last sync.
   */
  private static final class Run {
    final Random random;
    final boolean retries;
    FaultDisk disk = new FaultDisk();
    Engine engine;

    /**
     * The state after each batch; each batch writes its number too, so that a state found tells
     * which it is.
     */
    List<Map<String, String>> states = new ArrayList<>(List.of(new TreeMap<>()));

    int synced;
    long time = 1;

    Run(long seed, String skips, boolean retries) {
      random = new Random(seed);
      disk.skips = skips;
      this.retries = retries;
    }

    void open() throws Exception {
      for (int tries = 0; engine == null; tries++) {
        disk.cutAt =
            tries < 3 && random.nextInt(3) == 0
                ? disk.ops + 1 + random.nextInt(12)
                : Long.MAX_VALUE;
        try {
          engine = new Engine(disk, SMALL, time, random::nextLong);
        } catch (Disk.DiskException e) { // power went while it recovered
          disk = disk.crash(random);
        }
      }
      disk.cutAt = Long.MAX_VALUE;
    }

    Batch batch(Map<String, String> state) throws StoreException {
      Batch b = new Batch();
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
      disk.cutAt = disk.ops + 1 + random.nextInt(120);
      disk.failAt = random.nextInt(4) == 0 ? disk.ops + 1 + random.nextInt(60) : Long.MAX_VALUE;
      try {
        while (true) {
          Map<String, String> state = new TreeMap<>(states.get(states.size() - 1));
          Batch b = batch(state);
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
                  Engine.class.getDeclaredField(
                      "failed"); // the planted bug: the sync is tried again
              f.setAccessible(true);
              f.set(engine, null);
              engine.sync();
            }
            synced = states.size() - 1;
          }
          engine.publish();
          while (random.nextInt(3) > 0 && engine.tidy(700, 0)) {
            assertTrue(engine.figures().keys() >= 0);
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
      Engine.Value v = engine.get(Key.of(SPACE, bytes(key)), time);
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
    Run run = new Run(seed, skips, retries);
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
  private static FaultDisk small(boolean closed, List<Map<String, String>> states)
      throws Exception {
    Run run = new Run(5, "", false);
    run.open();
    for (int i = 0; i < 80; i++) {
      Map<String, String> state = new TreeMap<>(run.states.get(run.states.size() - 1));
      Batch b = run.batch(state);
      run.states.add(state);
      run.engine.append(List.of(b), ++run.time);
      run.engine.sync();
      run.engine.publish();
      while (i < 60 && run.engine.tidy(700, 0)) {
        assertNull(run.engine.figures().failed());
      }
    }
    assertTrue(run.engine.figures().segments() >= 3);
    FaultDisk disk = run.disk.copy();
    if (closed) {
      run.engine.close();
      disk = run.disk.copy();
    }
    states.addAll(run.states);
    return disk;
  }

  /** Opens it and compares; refusing is right too where a sync had covered what is gone. */
  private static String verdict(FaultDisk disk, List<Map<String, String>> states) throws Exception {
    Run run = new Run(1, "", false);
    run.disk = disk;
    run.states = new ArrayList<>(states);
    try {
      run.engine = new Engine(disk, SMALL, 1, run.random::nextLong);
      run.check();
    } catch (StoreException e) {
      assertTrue(e.reason() != StoreException.Reason.FAILED, e.getMessage());
      return "damaged";
    }
    return run.engine.figures().told().isEmpty() ? "state " + run.synced : "cut";
  }

  @Test
  void truncatedAtAnyByteAStoreHasAPrefixOrRefuses() throws Exception {
    List<Map<String, String>> states = new ArrayList<>();
    FaultDisk whole = small(false, states);
    String last =
        whole.names().stream().filter(n -> n.endsWith(".seg")).max(String::compareTo).orElseThrow();
    int[] seen = new int[2];
    for (String name : whole.names()) {
      byte[] all = whole.bytes(name);
      for (int length = 0; length < all.length; length++) {
        FaultDisk cut = whole.copy();
        cut.set(name, Arrays.copyOf(all, length));
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
    FaultDisk whole = small(true, states);
    int damaged = 0;
    for (String name : whole.names()) {
      for (int i = 0; i < whole.bytes(name).length; i++) {
        FaultDisk bad = whole.copy();
        bad.bytes(name)[i] ^= (byte) (1 << i % 8);
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
    FaultDisk disk = new FaultDisk();
    Engine e = new Engine(disk, new Engine.Limits(1 << 20), 1, () -> 9);
    for (int i = 0; i < 3; i++) { // the second value holds all that was written before it
      byte[] value = i == 1 ? disk.bytes(Segment.name(1)).clone() : bytes("v" + i);
      e.append(List.of(new Batch().put(SPACE, bytes("k" + i), value)), 1);
      e.sync();
      e.publish();
    }
    FaultDisk torn = disk.copy();
    byte[] all = torn.bytes(Segment.name(1));
    torn.set(Segment.name(1), Arrays.copyOf(all, all.length - 3));
    Engine again = new Engine(torn, SMALL, 1, () -> 8);
    assertEquals(2, again.figures().keys());
    assertTrue(
        again.figures().told().get(0).contains("cut off at offset "),
        again.figures().told().toString());
    all = disk.bytes(Segment.name(1));
    all[Frames.HEADER + 40] ^= 1;
    StoreException why =
        assertThrows(StoreException.class, () -> new Engine(disk.copy(), SMALL, 1, () -> 8));
    assertEquals(StoreException.Reason.DAMAGED, why.reason());
    assertTrue(why.getMessage().startsWith(Segment.name(1) + ", offset 32:"), why.getMessage());
  }

  @Test
  void snapshotsConditionsAndTimeToLive() throws Exception {
    FaultDisk disk = new FaultDisk();
    Engine e = new Engine(disk, SMALL, 100, () -> 9);
    Key k = Key.of(SPACE, bytes("k"));
    write(
        e,
        new Batch().put(SPACE, bytes("k"), bytes("old")).put(SPACE, bytes("x"), bytes("y"), 150));
    long snapshot = e.snapshot();
    long version = e.get(k, 100).version();
    for (int i = 0; i < 60; i++) {
      write(e, new Batch().put(SPACE, bytes("k"), bytes("new" + "z".repeat(200))));
      while (e.tidy(5000, 0)) {
        assertNull(e.figures().failed());
      }
    }
    assertEquals("old", new String(e.get(k, 100, snapshot).bytes(), StandardCharsets.UTF_8));
    assertTrue(e.figures().bytes() < 8000, "compacted: " + e.figures());
    Engine.Outcome stale =
        e.append(
                List.of(
                    new Batch()
                        .require(SPACE, bytes("k"), version)
                        .put(SPACE, bytes("k"), bytes("stale"))),
                100)
            .get(0);
    assertEquals(StoreException.Reason.CONFLICT, stale.why().reason());
    e.release(snapshot);
    assertEquals(
        "y", new String(e.get(Key.of(SPACE, bytes("x")), 149).bytes(), StandardCharsets.UTF_8));
    assertNull(e.get(Key.of(SPACE, bytes("x")), 150));
    assertNull(e.get(Key.of(SPACE, bytes("x")), 120), "the clock went back");
    for (int i = 0; i < 500; i++) { // keys that nobody deletes
      Batch b = new Batch().put(SPACE, bytes("t" + i), bytes("v"), 1000 + i);
      assertNull(e.append(List.of(b), 500 + i).get(0).why());
      e.sync();
      e.publish();
      while (e.tidy(5000, 500 + i)) {
        assertNull(e.figures().failed());
      }
    }
    while (e.tidy(5000, 2000)) {
      assertNull(e.figures().failed());
    }
    assertTrue(e.figures().keys() < 30 && e.figures().bytes() < 8000, "expired: " + e.figures());
  }

  private static void write(Engine e, Batch b) throws StoreException {
    assertNull(e.append(List.of(b), 100).get(0).why());
    e.sync();
    e.publish();
  }
}
