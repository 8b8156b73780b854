package edgenode.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Calls in any order, against a plain model: the last call counts, times run from the first. */
class DrainControllerProperties {
  @Property(tries = 300, seed = "1")
  void theLastCallCountsAndPhasesComeInOrder(@ForAll long seed) {
    Random random = new Random(seed);
    DrainController drain = new DrainController();
    double nowMs = 1000;
    Double notReadySinceMs = null;
    boolean isShuttingDown = false;
    for (int i = 0; i < 60; i++) {
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          drain.startDrain(nowMs);
          notReadySinceMs = notReadySinceMs == null ? (Double) nowMs : notReadySinceMs;
        }
        case 2 -> {
          assertEquals(!isShuttingDown, drain.cancelDrain());
          notReadySinceMs = isShuttingDown ? notReadySinceMs : null;
        }
        case 3 -> {
          if (random.nextInt(6) == 0) {
            drain.startShutdown(nowMs);
            isShuttingDown = true;
            notReadySinceMs = notReadySinceMs == null ? (Double) nowMs : notReadySinceMs;
          }
        }
        default ->
            nowMs +=
                random.nextInt(4) == 0
                    ? Math.max(0, Math.min(1e6, drain.nextPhaseChangeMs(nowMs)) - nowMs)
                    : random.nextInt(700);
      }
      assertEquals(notReadySinceMs == null, drain.isAccepting());
      assertEquals(isShuttingDown, drain.isShuttingDown());
      assertEquals(expectedPhase(notReadySinceMs, isShuttingDown, nowMs), drain.phase(nowMs));
      double nextMs = drain.nextPhaseChangeMs(nowMs);
      if (nextMs < Double.POSITIVE_INFINITY) {
        assertTrue(nextMs > nowMs);
        assertEquals(drain.phase(nowMs), drain.phase(Math.nextDown(nextMs)));
        assertFalse(drain.phase(nowMs) == drain.phase(nextMs));
      } else {
        assertEquals(drain.phase(nowMs), drain.phase(nowMs + 1e9));
      }
    }
  }

  private static DrainController.Phase expectedPhase(
      Double notReadySinceMs, boolean isShuttingDown, double nowMs) {
    if (notReadySinceMs == null) {
      return DrainController.Phase.ACCEPTING;
    }
    if (nowMs < notReadySinceMs + 450) {
      return DrainController.Phase.NOT_READY;
    }
    return !isShuttingDown && nowMs >= notReadySinceMs + 1900
        ? DrainController.Phase.READING_STOPPED
        : DrainController.Phase.CLOSING_CONNECTIONS;
  }
}
