package edgenode.net.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Who makes room, against a model that looks at every connection. */
class PlacesProperties {
  /** What a connection is at, and since when; order breaks ties. */
  private record Known(String kind, double since, long order) {}

  @Property(tries = 300, seed = "1")
  void theOneThatGoesIsTheOneThatAPlainLookFinds(@ForAll long seed) {
    Random random = new Random(seed);
    Places<Integer> places = new Places<>();
    Map<Integer, Known> model = new LinkedHashMap<>();
    double now = 0;
    long order = 0;
    for (int i = 0; i < 200; i++) {
      now += random.nextInt(4) == 0 ? random.nextInt(900) : 0;
      int c = random.nextInt(12);
      Known was = model.get(c);
      switch (random.nextInt(6)) {
        case 0 -> {
          if (was == null) {
            places.entered(c, now);
            model.put(c, new Known("silent", now, order++));
          }
        }
        case 1 -> {
          places.bytes(c, now);
          if (was != null && !was.kind.equals("busy")) {
            model.put(c, new Known("half", now, order++));
          }
        }
        case 2 -> {
          places.owed(c, now);
          if (was != null) {
            model.put(c, new Known("busy", now, order++));
          }
        }
        case 3 -> {
          places.answered(c, now);
          if (was != null) {
            model.put(c, new Known("idle", now, order++));
          }
        }
        case 4 -> {
          if (random.nextInt(4) == 0) {
            places.left(c);
            model.remove(c);
          }
        }
        default -> {}
      }
      assertEquals(plain(model, now), places.goes(now));
    }
  }

  private static Integer plain(Map<Integer, Known> model, double now) {
    Integer found = longest(model, "silent", now - 500);
    found = found != null ? found : longest(model, "idle", now - 2000);
    found = found != null ? found : longest(model, "half", now - 1000);
    return found != null ? found : longest(model, "idle", now);
  }

  private static Integer longest(Map<Integer, Known> model, String kind, double before) {
    Integer best = null;
    for (Map.Entry<Integer, Known> e : model.entrySet()) {
      Known k = e.getValue();
      if (k.kind.equals(kind)
          && k.since <= before
          && (best == null || k.order < model.get(best).order)) {
        best = e.getKey();
      }
    }
    return best;
  }

  /** A slow writer that goes on writing outlives those that say nothing and those that stopped. */
  @Test
  void aSlowWriterOutlivesThoseThatStopped() {
    Places<String> places = new Places<>();
    places.entered("slow", 0);
    places.entered("stopped", 0);
    places.bytes("stopped", 10);
    for (double t = 100; t <= 1500; t += 590) {
      places.bytes("slow", t);
    }
    places.entered("nothing", 800);
    assertEquals("nothing", places.goes(1500));
    places.left("nothing");
    assertEquals("stopped", places.goes(1500));
    places.left("stopped");
    assertNull(places.goes(1500));
  }
}
