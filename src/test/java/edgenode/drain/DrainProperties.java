package edgenode.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Calls in any order, against the plain reading: the last word counts, and time runs from the first
 * no.
 */
class DrainProperties {
  @Property(tries = 300, seed = "1")
  void theLastWordCountsAndStepsComeInTheirOrder(@ForAll long seed) {
    Random random = new Random(seed);
    Drain drain = new Drain();
    double now = 1000;
    Double no = null;
    boolean ending = false;
    for (int i = 0; i < 60; i++) {
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          drain.evacuate(now);
          no = no == null ? (Double) now : no;
        }
        case 2 -> {
          assertEquals(!ending, drain.rejoin());
          no = ending ? no : null;
        }
        case 3 -> {
          if (random.nextInt(6) == 0) {
            drain.end(now);
            ending = true;
            no = no == null ? (Double) now : no;
          }
        }
        default ->
            now +=
                random.nextInt(4) == 0
                    ? Math.max(0, Math.min(1e6, drain.next(now)) - now)
                    : random.nextInt(700);
      }
      assertEquals(no == null, drain.welcomes());
      assertEquals(ending, drain.forGood());
      assertEquals(plain(no, ending, now), drain.phase(now));
      double next = drain.next(now);
      if (next < Double.POSITIVE_INFINITY) {
        assertTrue(next > now);
        assertEquals(drain.phase(now), drain.phase(Math.nextDown(next)));
        assertFalse(drain.phase(now) == drain.phase(next));
      } else {
        assertEquals(drain.phase(now), drain.phase(now + 1e9));
      }
    }
  }

  private static Drain.Phase plain(Double no, boolean ending, double now) {
    if (no == null) {
      return Drain.Phase.OPEN;
    }
    if (now < no + 450) {
      return Drain.Phase.TOLD;
    }
    return !ending && now >= no + 1900 ? Drain.Phase.CUT : Drain.Phase.ENDING;
  }
}
