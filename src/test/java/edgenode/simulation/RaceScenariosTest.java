package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.simulation.RaceScenarios.Planted;
import edgenode.simulation.invariants.Violation;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/**
 * A node through seeded crossings: after each day nothing is owed, and no rule is broken. A seed
 * that fails is printed; {@code -Dcrossings.seed=N} plays it alone, with all that passed on the
 * sockets.
 */
class RaceScenariosTest {
  /** Some seconds of CPU in all. */
  private static final int SEEDS = Integer.getInteger("crossings.seeds", 400);

  private record Played(long seed, List<Violation> breaches, int answered) {}

  private static List<Played> days(Planted planted, int seeds) throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
    try {
      List<Callable<Played>> days = new ArrayList<>();
      for (long seed = 1; seed <= seeds; seed++) {
        long with = seed;
        days.add(
            () -> {
              RaceScenarios day = new RaceScenarios(with, planted);
              return new Played(with, day.play(), day.answered());
            });
      }
      List<Played> all = new ArrayList<>();
      for (Future<Played> f : pool.invokeAll(days)) {
        all.add(f.get());
      }
      return all;
    } finally {
      pool.shutdownNow();
    }
  }

  @Test
  void nothingIsOwedAtAnyInstant() throws Exception {
    Long alone = Long.getLong("crossings.seed");
    if (alone != null) {
      RaceScenarios day = new RaceScenarios(alone, Planted.NOTHING);
      List<Violation> breaches = day.play();
      day.story().forEach(System.out::println);
      assertEquals(List.of(), breaches);
      return;
    }
    List<String> broken = new ArrayList<>();
    int answered = 0;
    for (Played day : days(Planted.NOTHING, SEEDS)) {
      answered += day.answered;
      if (!day.breaches.isEmpty()) {
        broken.add("seed " + day.seed + ": " + day.breaches.get(0));
      }
    }
    System.out.printf("%d days of crossings, %d answers%n", SEEDS, answered);
    assertEquals(List.of(), broken);
    assertTrue(answered > 40 * SEEDS, "little was asked: " + answered);
  }

  private static Set<String> rules(Planted planted) throws Exception {
    Set<String> rules = new TreeSet<>();
    days(planted, 60).forEach(day -> day.breaches.forEach(b -> rules.add(b.rule())));
    return rules;
  }

  @Test
  void anEndBeforeTheLastAnswerIsFound() throws Exception {
    assertEquals(Set.of("nothing-owed-at-the-end"), rules(Planted.AN_EARLY_END));
  }

  @Test
  void anAttemptLeftQueuedIsFound() throws Exception {
    assertTrue(rules(Planted.LEFT_QUEUED).contains(RaceScenarios.GONE_FIRST));
  }

  /** Also that repeats are under way often enough when a client leaves. */
  @Test
  void attemptsForClientsThatAreSeenLateToHaveLeftAreFound() throws Exception {
    assertEquals(
        Set.of(RaceScenarios.GONE_FIRST, RaceScenarios.GONE_FURTHER),
        rules(Planted.ENDS_READ_LATE));
  }
}
