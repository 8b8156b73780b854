package edgenode.net.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Which connection is evicted, against a model that compares all connections. */
class EvictionOrderProperties {
  /** The activity of a connection and its begin; order breaks ties. */
  private record ModelEntry(String activity, double sinceMs, long order) {}

  @Property(tries = 300, seed = "1")
  void evictedConnectionMatchesTheModel(@ForAll long seed) {
    Random random = new Random(seed);
    EvictionOrder<Integer> evictionOrder = new EvictionOrder<>();
    Map<Integer, ModelEntry> model = new LinkedHashMap<>();
    double nowMs = 0;
    long order = 0;
    for (int i = 0; i < 200; i++) {
      nowMs += random.nextInt(4) == 0 ? random.nextInt(900) : 0;
      int connection = random.nextInt(12);
      ModelEntry previous = model.get(connection);
      switch (random.nextInt(6)) {
        case 0 -> {
          if (previous == null) {
            evictionOrder.connected(connection, nowMs);
            model.put(connection, new ModelEntry("silent", nowMs, order++));
          }
        }
        case 1 -> {
          evictionOrder.partialCommandReceived(connection, nowMs);
          if (previous != null && !previous.activity.equals("busy")) {
            model.put(connection, new ModelEntry("half", nowMs, order++));
          }
        }
        case 2 -> {
          evictionOrder.commandReceived(connection, nowMs);
          if (previous != null) {
            model.put(connection, new ModelEntry("busy", nowMs, order++));
          }
        }
        case 3 -> {
          evictionOrder.allResponsesWritten(connection, nowMs);
          if (previous != null) {
            model.put(connection, new ModelEntry("idle", nowMs, order++));
          }
        }
        case 4 -> {
          if (random.nextInt(4) == 0) {
            evictionOrder.remove(connection);
            model.remove(connection);
          }
        }
        default -> {}
      }
      assertEquals(expectedEviction(model, nowMs), evictionOrder.nextToEvict(nowMs));
      assertEquals(
          evictionOrder.nextToEvict(nowMs) != null, evictionOrder.nextEvictableMs() <= nowMs);
    }
  }

  private static Integer expectedEviction(Map<Integer, ModelEntry> model, double nowMs) {
    Integer found = oldest(model, "silent", nowMs - 500);
    found = found != null ? found : oldest(model, "idle", nowMs - 2000);
    found = found != null ? found : oldest(model, "half", nowMs - 1000);
    return found != null ? found : oldest(model, "idle", nowMs);
  }

  private static Integer oldest(
      Map<Integer, ModelEntry> model, String activity, double sinceLimitMs) {
    Integer best = null;
    for (Map.Entry<Integer, ModelEntry> e : model.entrySet()) {
      ModelEntry candidate = e.getValue();
      if (candidate.activity.equals(activity)
          && candidate.sinceMs <= sinceLimitMs
          && (best == null || candidate.order < model.get(best).order)) {
        best = e.getKey();
      }
    }
    return best;
  }

  /** A slow writer is evicted after silent connections and those that stopped. */
  @Test
  void slowWriterOutlivesStoppedConnections() {
    EvictionOrder<String> evictionOrder = new EvictionOrder<>();
    evictionOrder.connected("slow", 0);
    evictionOrder.connected("stopped", 0);
    evictionOrder.partialCommandReceived("stopped", 10);
    for (double nowMs = 100; nowMs <= 1500; nowMs += 590) {
      evictionOrder.partialCommandReceived("slow", nowMs);
    }
    evictionOrder.connected("nothing", 800);
    assertEquals("nothing", evictionOrder.nextToEvict(1500));
    evictionOrder.remove("nothing");
    assertEquals("stopped", evictionOrder.nextToEvict(1500));
    evictionOrder.remove("stopped");
    assertNull(evictionOrder.nextToEvict(1500));
  }
}
