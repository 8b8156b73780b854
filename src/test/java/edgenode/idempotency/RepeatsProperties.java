package edgenode.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.idempotency.Repeats.Verdict;
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
class RepeatsProperties {
  /** All that ever was of one key since it was last free. */
  private static final class Known {
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
    Bounds bounds = new Bounds(100, 1 << 20, 1000, 3, false);
    Repeats<String> repeats = new Repeats<>(bounds);
    Map<String, Known> model = new HashMap<>();
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
          Known k = model.get(key);
          Repeats.Told<String> told = repeats.arrived(now, id, key, digest);
          if (k == null) {
            assertEquals(Verdict.LEADS, told.verdict());
            k = new Known();
            k.digest = digest;
            k.leader = id;
            model.put(key, k);
            leaders.put(id, key);
          } else if (k.digest != digest) {
            assertEquals(Verdict.CLASHES, told.verdict());
          } else if (!Double.isNaN(k.endedAt)) {
            assertEquals(Verdict.REPLAYED, told.verdict());
            assertEquals(k.answer, told.answer());
          } else if (k.waiting.size() < 3) {
            assertEquals(Verdict.FOLLOWS, told.verdict());
            k.waiting.add(id);
            followers.put(id, key);
          } else {
            assertEquals(Verdict.REFUSED, told.verdict());
          }
        }
        case 2, 3 -> {
          if (!leaders.isEmpty()) {
            long leader = new ArrayList<>(leaders.keySet()).get(random.nextInt(leaders.size()));
            String key = leaders.remove(leader);
            Known k = model.get(key);
            boolean ran = random.nextInt(3) > 0;
            assertEquals(!k.waiting.isEmpty(), repeats.followed(leader));
            assertEquals(k.waiting, repeats.ended(now, leader, "answer " + leader, 10, ran));
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
            repeats.left(gone);
          }
        }
      }
      Repeats.Figures f = repeats.figures(now);
      model.values().removeIf(k -> k.endedAt + 1000 <= at);
      assertEquals(model.size(), f.entries());
      assertEquals(leaders.size(), f.running());
      assertEquals(
          10 * model.values().stream().filter(k -> !Double.isNaN(k.endedAt)).count(), f.bytes());
    }
  }

  /** Without room: the bounds hold at every moment, and what runs is never forgotten. */
  @Property(tries = 400, seed = "1")
  void theBoundsHoldAndWhatRunsIsNeverForgotten(@ForAll long seed) {
    Random random = new Random(seed);
    Bounds bounds = new Bounds(5, 50, 1000, 2, random.nextBoolean());
    Repeats<String> repeats = new Repeats<>(bounds);
    Map<String, Long> running = new TreeMap<>();
    double now = 0;
    for (long id = 1; id < 300; id++) {
      now += random.nextInt(4) == 0 ? random.nextInt(300) : 0;
      if (random.nextInt(3) > 0) {
        String key = "k" + random.nextInt(15);
        Verdict verdict = repeats.arrived(now, id, key, 1).verdict();
        if (running.containsKey(key)) {
          assertTrue(
              verdict == Verdict.FOLLOWS || verdict == Verdict.REFUSED,
              verdict + " beside a leader");
        } else if (verdict == Verdict.LEADS) {
          running.put(key, id);
        }
        assertFalse(bounds.refuses() && verdict == Verdict.PASSES);
      } else if (!running.isEmpty()) {
        String key = new ArrayList<>(running.keySet()).get(random.nextInt(running.size()));
        repeats.ended(now, running.remove(key), "a", random.nextInt(60), random.nextInt(4) > 0);
      }
      Repeats.Figures f = repeats.figures(now);
      assertTrue(f.entries() <= 5 && f.bytes() <= 50 && f.bytes() >= 0, f.toString());
      assertEquals(running.size(), f.running());
    }
  }

  @Test
  void anAnswerGoesBeforeItsKey() {
    Repeats<String> repeats = new Repeats<>(new Bounds(10, 100, 1000, 2, false));
    for (long id = 1; id <= 3; id++) {
      repeats.arrived(0, id, "k" + id, 1);
      repeats.ended(0, id, "a" + id, 40, true);
    }
    assertEquals(Verdict.SPENT, repeats.arrived(1, 10, "k1", 1).verdict());
    assertEquals("a2", repeats.arrived(1, 11, "k2", 1).answer());
    repeats.arrived(1, 12, "k4", 1);
    repeats.ended(1, 12, null, 0, true); // a long value, which cannot be kept
    assertEquals(Verdict.SPENT, repeats.arrived(1, 13, "k4", 1).verdict());
    repeats.arrived(1, 14, "k5", 1);
    repeats.ended(1, 14, "a5", 101, true); // larger than all the room: the others stay
    assertEquals(Verdict.SPENT, repeats.arrived(1, 15, "k5", 1).verdict());
    assertEquals("a3", repeats.arrived(1, 16, "k3", 1).answer());
  }

  @Test
  void aFullStoreSaysWhenToComeAgainOrForgetsTheOldest() {
    Repeats<String> refuses = new Repeats<>(new Bounds(2, 100, 1000, 2, true));
    Repeats<String> forgets = new Repeats<>(new Bounds(2, 100, 1000, 2, false));
    for (Repeats<String> r : List.of(refuses, forgets)) {
      r.arrived(0, 1, "a", 1);
      r.arrived(0, 2, "b", 1);
      r.ended(100, 1, "x", 1, true);
    }
    Repeats.Told<String> told = refuses.arrived(400, 3, "c", 1);
    assertEquals(Verdict.REFUSED, told.verdict());
    assertEquals(700, told.after(), 1e-9);
    assertEquals(Verdict.LEADS, refuses.arrived(1100, 4, "c", 1).verdict());
    assertEquals(Verdict.LEADS, forgets.arrived(400, 3, "c", 1).verdict());
    assertEquals(
        Verdict.PASSES, forgets.arrived(400, 4, "d", 1).verdict()); // both run: neither may go
    assertNull(forgets.arrived(400, 5, "d", 1).answer());
    assertEquals(1, forgets.figures(400).forgotten());
  }
}
