package edgenode.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.idempotency.IdempotencyIndex.Decision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Requests, completions, disconnects and time in any order, against a model with full memory. */
class IdempotencyIndexProperties {
  /** Everything known of one key since it was last unknown. */
  private static final class ModelEntry {
    long digest;
    final List<Long> waiting = new ArrayList<>();
    double completedAtMs = Double.NaN;
    String response;

    boolean isCompleted() {
      return !Double.isNaN(completedAtMs);
    }
  }

  /** An index with room for all keys and responses, beside the model. */
  private static final class ModelRun {
    private static final double RETENTION_MS = 1000;
    private static final int MAX_WAITING = 3;
    private static final int RESPONSE_BYTES = 10;

    final Random random;
    final IdempotencyIndex<String> index =
        new IdempotencyIndex<>(
            new IdempotencyLimits(100, 1 << 20, RETENTION_MS, MAX_WAITING, false));
    final Map<String, ModelEntry> model = new HashMap<>();
    final Map<Long, String> keysOfFirst = new TreeMap<>();
    final Map<Long, String> keysOfWaiting = new TreeMap<>();
    double nowMs;

    ModelRun(long seed) {
      random = new Random(seed);
    }

    void step(long id) {
      nowMs += random.nextInt(3) == 0 ? random.nextInt(400) : 0;
      expireModel();
      switch (random.nextInt(5)) {
        case 0, 1 -> register(id);
        case 2, 3 -> completeAny();
        default -> disconnectAny();
      }
      IdempotencyIndex.IdempotencyMetrics metrics = index.metrics(nowMs);
      expireModel();
      assertEquals(model.size(), metrics.entries());
      assertEquals(keysOfFirst.size(), metrics.inFlight());
      assertEquals(
          RESPONSE_BYTES * model.values().stream().filter(ModelEntry::isCompleted).count(),
          metrics.responseBytes());
    }

    private void expireModel() {
      model.values().removeIf(entry -> entry.completedAtMs + RETENTION_MS <= nowMs);
    }

    private void register(long id) {
      String key = "k" + random.nextInt(6);
      long digest = random.nextInt(8) == 0 ? 2 : 1;
      ModelEntry entry = model.get(key);
      IdempotencyIndex.LookupResult<String> result = index.register(nowMs, id, key, digest);
      if (entry == null) {
        assertEquals(Decision.FIRST, result.decision());
        entry = new ModelEntry();
        entry.digest = digest;
        model.put(key, entry);
        keysOfFirst.put(id, key);
      } else if (entry.digest != digest) {
        assertEquals(Decision.KEY_CONFLICT, result.decision());
      } else if (entry.isCompleted()) {
        assertEquals(Decision.REPLAYED, result.decision());
        assertEquals(entry.response, result.response());
      } else if (entry.waiting.size() < MAX_WAITING) {
        assertEquals(Decision.JOINED, result.decision());
        entry.waiting.add(id);
        keysOfWaiting.put(id, key);
      } else {
        assertEquals(Decision.REJECTED, result.decision());
      }
    }

    private void completeAny() {
      if (keysOfFirst.isEmpty()) {
        return;
      }
      long first = anyOf(keysOfFirst);
      String key = keysOfFirst.remove(first);
      ModelEntry entry = model.get(key);
      boolean mayHaveRun = random.nextInt(3) > 0;
      String response = "response " + first;
      assertEquals(!entry.waiting.isEmpty(), index.hasWaitingDuplicates(first));
      assertEquals(
          entry.waiting, index.complete(nowMs, first, response, RESPONSE_BYTES, mayHaveRun));
      entry.waiting.forEach(keysOfWaiting::remove);
      entry.completedAtMs = nowMs;
      entry.response = response;
      if (!mayHaveRun) {
        model.remove(key);
      }
    }

    private void disconnectAny() {
      if (!keysOfWaiting.isEmpty()) {
        long id = anyOf(keysOfWaiting);
        model.get(keysOfWaiting.remove(id)).waiting.remove(id);
        index.removeWaiting(id);
      }
    }

    private long anyOf(Map<Long, String> ids) {
      return new ArrayList<>(ids.keySet()).get(random.nextInt(ids.size()));
    }
  }

  /** With room for all keys and responses: no second effect, each duplicate has the response. */
  @Property(tries = 400, seed = "1")
  void withRoomNoKeyRunsTwiceAndEachDuplicateGetsTheFirstResponse(@ForAll long seed) {
    ModelRun run = new ModelRun(seed);
    for (long id = 1; id < 250; id++) {
      run.step(id);
    }
  }

  /** Without room: the limits hold at every moment, and what is in flight is never evicted. */
  @Property(tries = 400, seed = "1")
  void limitsHoldAndWhatIsInFlightIsNeverEvicted(@ForAll long seed) {
    Random random = new Random(seed);
    IdempotencyLimits limits = new IdempotencyLimits(5, 50, 1000, 2, random.nextBoolean());
    IdempotencyIndex<String> index = new IdempotencyIndex<>(limits);
    Map<String, Long> inFlight = new TreeMap<>();
    double nowMs = 0;
    for (long id = 1; id < 300; id++) {
      nowMs += random.nextInt(4) == 0 ? random.nextInt(300) : 0;
      if (random.nextInt(3) > 0) {
        String key = "k" + random.nextInt(15);
        Decision decision = index.register(nowMs, id, key, 1).decision();
        if (inFlight.containsKey(key)) {
          assertTrue(
              decision == Decision.JOINED || decision == Decision.REJECTED,
              decision + " while the first is in flight");
        } else if (decision == Decision.FIRST) {
          inFlight.put(key, id);
        }
        assertFalse(limits.rejectsWhenFull() && decision == Decision.UNTRACKED);
      } else if (!inFlight.isEmpty()) {
        String key = new ArrayList<>(inFlight.keySet()).get(random.nextInt(inFlight.size()));
        index.complete(nowMs, inFlight.remove(key), "a", random.nextInt(60), random.nextInt(4) > 0);
      }
      IdempotencyIndex.IdempotencyMetrics metrics = index.metrics(nowMs);
      assertTrue(
          metrics.entries() <= 5 && metrics.responseBytes() <= 50 && metrics.responseBytes() >= 0,
          metrics.toString());
      assertEquals(inFlight.size(), metrics.inFlight());
    }
  }

  @Test
  void aResponseIsEvictedBeforeItsKey() {
    IdempotencyIndex<String> index =
        new IdempotencyIndex<>(new IdempotencyLimits(10, 100, 1000, 2, false));
    for (long id = 1; id <= 3; id++) {
      index.register(0, id, "k" + id, 1);
      index.complete(0, id, "a" + id, 40, true);
    }
    assertEquals(Decision.RESPONSE_UNAVAILABLE, index.register(1, 10, "k1", 1).decision());
    assertEquals("a2", index.register(1, 11, "k2", 1).response());
    index.register(1, 12, "k4", 1);
    index.complete(1, 12, null, 0, true); // a streamed value, which is not cached
    assertEquals(Decision.RESPONSE_UNAVAILABLE, index.register(1, 13, "k4", 1).decision());
    index.register(1, 14, "k5", 1);
    index.complete(1, 14, "a5", 101, true); // larger than the limit: the others stay
    assertEquals(Decision.RESPONSE_UNAVAILABLE, index.register(1, 15, "k5", 1).decision());
    assertEquals("a3", index.register(1, 16, "k3", 1).response());
  }

  @Test
  void aFullIndexRejectsWithRetryAfterOrEvictsTheOldest() {
    IdempotencyIndex<String> rejecting =
        new IdempotencyIndex<>(new IdempotencyLimits(2, 100, 1000, 2, true));
    IdempotencyIndex<String> evicting =
        new IdempotencyIndex<>(new IdempotencyLimits(2, 100, 1000, 2, false));
    for (IdempotencyIndex<String> index : List.of(rejecting, evicting)) {
      index.register(0, 1, "a", 1);
      index.register(0, 2, "b", 1);
      index.complete(100, 1, "x", 1, true);
    }
    IdempotencyIndex.LookupResult<String> result = rejecting.register(400, 3, "c", 1);
    assertEquals(Decision.REJECTED, result.decision());
    assertEquals(700, result.retryAfterMs(), 1e-9);
    assertEquals(Decision.FIRST, rejecting.register(1100, 4, "c", 1).decision());
    assertEquals(Decision.FIRST, evicting.register(400, 3, "c", 1).decision());
    assertEquals(
        Decision.UNTRACKED,
        evicting.register(400, 4, "d", 1).decision()); // both are in flight: neither is evicted
    assertNull(evicting.register(400, 5, "d", 1).response());
    assertEquals(1, evicting.metrics(400).evicted());
  }
}
