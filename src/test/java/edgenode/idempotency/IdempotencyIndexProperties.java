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

/** Requests, ends, give-ups and time in any order, against a model that remembers everything. */
class IdempotencyIndexProperties {
  /** All that ever was of one key since it was last free. */
  private static final class ModelEntry {
    long digest;
    long leader;
    final List<Long> waiting = new ArrayList<>();
    double endedAt = Double.NaN;
    String answer;
  }

  /** With room for all keys and answers: no second effect, and each repeat gets the very answer. */
  @Property(tries = 400, seed = "1")
  void withRoomNoKeyRunsTwiceAndEachRepeatGetsTheFirstAnswer(@ForAll long seed) {
    Random random = new Random(seed);
    IdempotencyLimits bounds = new IdempotencyLimits(100, 1 << 20, 1000, 3, false);
    IdempotencyIndex<String> repeats = new IdempotencyIndex<>(bounds);
    Map<String, ModelEntry> model = new HashMap<>();
    Map<Long, String> leaders = new TreeMap<>();
    Map<Long, String> followers = new TreeMap<>();
    double now = 0;
    for (long id = 1; id < 250; id++) {
      now += random.nextInt(3) == 0 ? random.nextInt(400) : 0;
      double at = now;
      model.values().removeIf(k -> k.endedAt + 1000 <= at);
      switch (random.nextInt(5)) {
        case 0, 1 -> {
          String key = "k" + random.nextInt(6);
          long digest = random.nextInt(8) == 0 ? 2 : 1;
          ModelEntry k = model.get(key);
          IdempotencyIndex.LookupResult<String> told = repeats.register(now, id, key, digest);
          if (k == null) {
            assertEquals(Decision.FIRST, told.decision());
            k = new ModelEntry();
            k.digest = digest;
            k.leader = id;
            model.put(key, k);
            leaders.put(id, key);
          } else if (k.digest != digest) {
            assertEquals(Decision.KEY_CONFLICT, told.decision());
          } else if (!Double.isNaN(k.endedAt)) {
            assertEquals(Decision.REPLAYED, told.decision());
            assertEquals(k.answer, told.response());
          } else if (k.waiting.size() < 3) {
            assertEquals(Decision.JOINED, told.decision());
            k.waiting.add(id);
            followers.put(id, key);
          } else {
            assertEquals(Decision.REJECTED, told.decision());
          }
        }
        case 2, 3 -> {
          if (!leaders.isEmpty()) {
            long leader = new ArrayList<>(leaders.keySet()).get(random.nextInt(leaders.size()));
            String key = leaders.remove(leader);
            ModelEntry k = model.get(key);
            boolean ran = random.nextInt(3) > 0;
            assertEquals(!k.waiting.isEmpty(), repeats.hasWaitingDuplicates(leader));
            assertEquals(k.waiting, repeats.complete(now, leader, "answer " + leader, 10, ran));
            k.waiting.forEach(followers::remove);
            k.endedAt = now;
            k.answer = "answer " + leader;
            if (!ran) {
              model.remove(key);
            }
          }
        }
        default -> {
          if (!followers.isEmpty()) {
            long gone = new ArrayList<>(followers.keySet()).get(random.nextInt(followers.size()));
            model.get(followers.remove(gone)).waiting.remove(gone);
            repeats.removeWaiting(gone);
          }
        }
      }
      IdempotencyIndex.IdempotencyMetrics f = repeats.metrics(now);
      model.values().removeIf(k -> k.endedAt + 1000 <= at);
      assertEquals(model.size(), f.entries());
      assertEquals(leaders.size(), f.inFlight());
      assertEquals(
          10 * model.values().stream().filter(k -> !Double.isNaN(k.endedAt)).count(),
          f.responseBytes());
    }
  }

  /** Without room: the bounds hold at every moment, and what runs is never forgotten. */
  @Property(tries = 400, seed = "1")
  void theBoundsHoldAndWhatRunsIsNeverForgotten(@ForAll long seed) {
    Random random = new Random(seed);
    IdempotencyLimits bounds = new IdempotencyLimits(5, 50, 1000, 2, random.nextBoolean());
    IdempotencyIndex<String> repeats = new IdempotencyIndex<>(bounds);
    Map<String, Long> running = new TreeMap<>();
    double now = 0;
    for (long id = 1; id < 300; id++) {
      now += random.nextInt(4) == 0 ? random.nextInt(300) : 0;
      if (random.nextInt(3) > 0) {
        String key = "k" + random.nextInt(15);
        Decision verdict = repeats.register(now, id, key, 1).decision();
        if (running.containsKey(key)) {
          assertTrue(
              verdict == Decision.JOINED || verdict == Decision.REJECTED,
              verdict + " beside a leader");
        } else if (verdict == Decision.FIRST) {
          running.put(key, id);
        }
        assertFalse(bounds.rejectsWhenFull() && verdict == Decision.UNTRACKED);
      } else if (!running.isEmpty()) {
        String key = new ArrayList<>(running.keySet()).get(random.nextInt(running.size()));
        repeats.complete(now, running.remove(key), "a", random.nextInt(60), random.nextInt(4) > 0);
      }
      IdempotencyIndex.IdempotencyMetrics f = repeats.metrics(now);
      assertTrue(
          f.entries() <= 5 && f.responseBytes() <= 50 && f.responseBytes() >= 0, f.toString());
      assertEquals(running.size(), f.inFlight());
    }
  }

  @Test
  void anAnswerGoesBeforeItsKey() {
    IdempotencyIndex<String> repeats =
        new IdempotencyIndex<>(new IdempotencyLimits(10, 100, 1000, 2, false));
    for (long id = 1; id <= 3; id++) {
      repeats.register(0, id, "k" + id, 1);
      repeats.complete(0, id, "a" + id, 40, true);
    }
    assertEquals(Decision.RESPONSE_EVICTED, repeats.register(1, 10, "k1", 1).decision());
    assertEquals("a2", repeats.register(1, 11, "k2", 1).response());
    repeats.register(1, 12, "k4", 1);
    repeats.complete(1, 12, null, 0, true); // a long value, which cannot be kept
    assertEquals(Decision.RESPONSE_EVICTED, repeats.register(1, 13, "k4", 1).decision());
    repeats.register(1, 14, "k5", 1);
    repeats.complete(1, 14, "a5", 101, true); // larger than all the room: the others stay
    assertEquals(Decision.RESPONSE_EVICTED, repeats.register(1, 15, "k5", 1).decision());
    assertEquals("a3", repeats.register(1, 16, "k3", 1).response());
  }

  @Test
  void aFullStoreSaysWhenToComeAgainOrForgetsTheOldest() {
    IdempotencyIndex<String> refuses =
        new IdempotencyIndex<>(new IdempotencyLimits(2, 100, 1000, 2, true));
    IdempotencyIndex<String> forgets =
        new IdempotencyIndex<>(new IdempotencyLimits(2, 100, 1000, 2, false));
    for (IdempotencyIndex<String> r : List.of(refuses, forgets)) {
      r.register(0, 1, "a", 1);
      r.register(0, 2, "b", 1);
      r.complete(100, 1, "x", 1, true);
    }
    IdempotencyIndex.LookupResult<String> told = refuses.register(400, 3, "c", 1);
    assertEquals(Decision.REJECTED, told.decision());
    assertEquals(700, told.retryAfterMs(), 1e-9);
    assertEquals(Decision.FIRST, refuses.register(1100, 4, "c", 1).decision());
    assertEquals(Decision.FIRST, forgets.register(400, 3, "c", 1).decision());
    assertEquals(
        Decision.UNTRACKED,
        forgets.register(400, 4, "d", 1).decision()); // both run: neither may go
    assertNull(forgets.register(400, 5, "d", 1).response());
    assertEquals(1, forgets.metrics(400).evicted());
  }
}
