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
class DrainControllerProperties {
  @Property(tries = 300, seed = "1")
  void theLastWordCountsAndStepsComeInTheirOrder(@ForAll long seed) {
    Random random = new Random(seed);
    DrainController drain = new DrainController();
    double now = 1000;
    Double no = null;
    boolean ending = false;
    for (int i = 0; i < 60; i++) {
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          drain.startDrain(now);
          no = no == null ? (Double) now : no;
        }
        case 2 -> {
          assertEquals(!ending, drain.cancelDrain());
          no = ending ? no : null;
        }
        case 3 -> {
          if (random.nextInt(6) == 0) {
            drain.startShutdown(now);
            ending = true;
            no = no == null ? (Double) now : no;
          }
        }
        default ->
            now +=
                random.nextInt(4) == 0
                    ? Math.max(0, Math.min(1e6, drain.nextPhaseChangeMs(now)) - now)
                    : random.nextInt(700);
      }
      assertEquals(no == null, drain.isAccepting());
      assertEquals(ending, drain.isShuttingDown());
      assertEquals(plain(no, ending, now), drain.phase(now));
      double next = drain.nextPhaseChangeMs(now);
      if (next < Double.POSITIVE_INFINITY) {
        assertTrue(next > now);
        assertEquals(drain.phase(now), drain.phase(Math.nextDown(next)));
        assertFalse(drain.phase(now) == drain.phase(next));
      } else {
        assertEquals(drain.phase(now), drain.phase(now + 1e9));
      }
    }
  }

  private static DrainController.Phase plain(Double no, boolean ending, double now) {
    if (no == null) {
      return DrainController.Phase.ACCEPTING;
    }
    if (now < no + 450) {
      return DrainController.Phase.NOT_READY;
    }
    return !ending && now >= no + 1900
        ? DrainController.Phase.READING_STOPPED
        : DrainController.Phase.CLOSING_CONNECTIONS;
  }
}
