package edgenode.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Arrivals drawn ahead, and duplicates in an idempotency group. */
class ArrivalProcessTest {
  private static final List<ArrivalProcess.Customer> CAMPUSES =
      List.of(
          new ArrivalProcess.Customer("0000000000000001", "p", 1),
          new ArrivalProcess.Customer("0000000000000002", "p", 3));
  private static final List<ArrivalProcess.RequestKind> KINDS =
      List.of(
          new ArrivalProcess.RequestKind("read", false, 900, 1),
          new ArrivalProcess.RequestKind("write", true, 900, 1));

  private static List<ArrivalProcess.Arrival> draw(
      long seed, double until, ArrivalProcess.RateCurve rate, double most) {
    ArrivalProcess arrivals = new ArrivalProcess(seed, CAMPUSES, KINDS, rate, most);
    List<ArrivalProcess.Arrival> all = new ArrayList<>();
    for (ArrivalProcess.Arrival a = arrivals.next(); a.atMs() < until; a = arrivals.next()) {
      all.add(a);
    }
    return all;
  }

  /** Ten times the load from second 10 on: the counts follow, within four standard deviations. */
  @Test
  void arrivalRateFollowsItsCurve() {
    List<ArrivalProcess.Arrival> all = draw(5, 20_000, ms -> ms < 10_000 ? 20 : 200, 200);
    long before = all.stream().filter(a -> a.atMs() < 10_000).count();
    assertEquals(200, before, 4 * Math.sqrt(200));
    assertEquals(2000, all.size() - before, 4 * Math.sqrt(2000));
    long second = all.stream().filter(a -> a.customer() == CAMPUSES.get(1)).count();
    assertEquals(0.75 * all.size(), second, 4 * Math.sqrt(all.size() * 0.75 * 0.25));
    double at = 0;
    Set<String> keys = new HashSet<>();
    for (ArrivalProcess.Arrival a : all) {
      assertTrue(a.atMs() >= at);
      at = a.atMs();
      assertEquals(a.kind().hasIdempotencyKey(), a.idempotencyKey() != null);
      assertTrue(a.idempotencyKey() == null || keys.add(a.idempotencyKey()));
    }
  }

  @Test
  void sameSeedDrawsTheSameArrivalsAndAnotherSeedDoesNot() {
    assertEquals(draw(7, 2000, ms -> 100, 100), draw(7, 2000, ms -> 100, 100));
    assertNotEquals(draw(7, 2000, ms -> 100, 100), draw(8, 2000, ms -> 100, 100));
  }

  @Test
  void invalidCustomersAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new ArrivalProcess.Customer("00000002b4d65521", "p", 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ArrivalProcess.Customer("0000000000000001", "p", 0));
    assertThrows(
        IllegalArgumentException.class, () -> new ArrivalProcess(1, List.of(), KINDS, ms -> 1, 1));
  }

  @Test
  void idempotencyGroupDropsDuplicatesWithinTheWindowOnly() {
    IdempotencyGroupModel rack = new IdempotencyGroupModel("a", 0, 7500);
    assertEquals(false, rack.startOrFindDuplicate(0, "c1", "k"));
    assertEquals(false, rack.startOrFindDuplicate(10, "c2", "k"), "keys are per customer");
    assertEquals(true, rack.startOrFindDuplicate(7499, "c1", "k"));
    assertEquals(false, rack.startOrFindDuplicate(7500, "c1", "k"));
    for (int i = 0; i < 1000; i++) {
      rack.startOrFindDuplicate(20_000 + i * 100, "c1", "k" + i);
    }
    assertTrue(rack.cachedKeyCount() <= 76, "bounded by the window: " + rack.cachedKeyCount());
  }
}
