package edgenode.simulation;

import edgenode.emulator.CustomerClients;
import edgenode.node.PolicyFactory;
import edgenode.policy.PolicyEngine;
import edgenode.simulation.invariants.Event;
import edgenode.simulation.invariants.InvariantSuite;
import edgenode.simulation.invariants.InvariantTerms;
import edgenode.simulation.invariants.QuotaAudit;
import edgenode.simulation.invariants.Violation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/**
 * One scenario played with one seed, and judged.
 *
 * @param sha256 of all that passed on the emulators' sockets; the same seed and build give the same
 * @param lengthMs of the day, in its own time
 * @param tookMs that it took to play
 * @param log the edge nodes' own lines; no judge reads them
 */
record ScenarioRun(
    Scenario scenario,
    long seed,
    String sha256,
    long events,
    double lengthMs,
    double tookMs,
    Map<CustomerClients.Fate, Integer> fates,
    InvariantSuite invariants,
    List<Violation> violations,
    List<String> log) {
  private static final int LOGGED = 500;

  static ScenarioRun play(Scenario scenario, long seed) throws IOException, InterruptedException {
    return play(scenario, seed, PolicyEngine::new);
  }

  /**
   * @param maker the decision module, or one with a planted bug
   */
  static ScenarioRun play(Scenario scenario, long seed, PolicyFactory maker)
      throws IOException, InterruptedException {
    return play(scenario, seed, maker, ms -> {});
  }

  /**
   * @param reached hears how far the day has gone (ms), on the thread that plays it; it changes
   *     nothing
   */
  static ScenarioRun play(Scenario scenario, long seed, PolicyFactory maker, DoubleConsumer reached)
      throws IOException, InterruptedException {
    long from = System.nanoTime();
    InvariantSuite court =
        new InvariantSuite(
            new InvariantTerms(EmulatedWorld.settings(scenario.nodes())), scenario.nodes());
    List<String> log = new ArrayList<>();
    Simulation day =
        new Simulation(
            scenario,
            seed,
            maker,
            court,
            line -> {
              if (log.size() < LOGGED) {
                log.add(line);
              }
            },
            reached);
    day.play();
    return new ScenarioRun(
        scenario,
        seed,
        day.trace().sha256(),
        day.trace().events(),
        day.length(),
        (System.nanoTime() - from) / 1e6,
        new EnumMap<>(day.fates()),
        court,
        court.violations(day.length()),
        log);
  }

  boolean hasNoViolation() {
    return violations.isEmpty();
  }

  /** The rules that were broken, in order of their names. */
  TreeSet<String> violatedRules() {
    TreeSet<String> all = new TreeSet<>();
    violations.forEach(b -> all.add(b.rule()));
    return all;
  }

  long asked() {
    return invariants.events().stream().filter(e -> e instanceof Event.Asked).count();
  }

  /** Of first tries and retries together, those that were served (0 to 1). */
  double servedShare() {
    int all = fates.values().stream().mapToInt(Integer::intValue).sum();
    return all == 0 ? 0 : fates.getOrDefault(CustomerClients.Fate.SERVED, 0) / (double) all;
  }

  /** The customer that was worst off beyond its quota, or null where none has one. */
  QuotaAudit.Figures worstCustomer() {
    return invariants.quotas().stream()
        .max((a, b) -> Double.compare(a.maxOverQuotaShare(), b.maxOverQuotaShare()))
        .orElse(null);
  }

  /**
   * The smallest scenario that still breaks one of the same rules with this seed: fewer faults,
   * then a shorter day.
   */
  ScenarioRun shrink() throws IOException, InterruptedException {
    ScenarioRun least = this;
    boolean smaller = true;
    while (smaller) {
      smaller = false;
      for (Scenario.Fault f : least.scenario.faults()) {
        ScenarioRun tried = play(least.scenario.without(f), seed);
        if (breaksAsWell(tried)) {
          least = tried;
          smaller = true;
          break;
        }
      }
    }
    for (double ms = least.scenario.lengthMs() / 2; ms >= 1000; ms /= 2) {
      double cut = ms;
      Scenario shorter = least.scenario.withLength(least.scenario.lengthMs() - cut);
      List<Scenario.Fault> late =
          shorter.faults().stream().filter(f -> f.atMs() > shorter.lengthMs()).toList();
      if (late.isEmpty()) {
        ScenarioRun tried = play(shorter, seed);
        if (breaksAsWell(tried)) {
          least = tried;
        }
      }
    }
    return least;
  }

  private boolean breaksAsWell(ScenarioRun other) {
    return other.violatedRules().stream().anyMatch(violatedRules()::contains);
  }
}
