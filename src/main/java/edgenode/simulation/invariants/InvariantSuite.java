package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/** All judges over one day, and the day's events for the stories of what was broken. */
public final class InvariantSuite implements Consumer<Event> {
  /** Events of the world that are told with a story, from so long (ms) before its breach. */
  private static final double AROUND = 3000;

  private final List<Event> events = new ArrayList<>();
  private final QuotaAudit quotas;
  private final List<InvariantChecker> judges;

  public InvariantSuite(InvariantTerms terms, int nodes) {
    quotas = new QuotaAudit(terms);
    judges =
        List.of(
            new SingleResponseInvariant(terms),
            new SingleExecutionInvariant(terms),
            new DrainInvariant(terms),
            new SlowStartInvariant(terms),
            new CeilingInvariant(terms),
            quotas,
            new TrafficInvariant(nodes));
  }

  @Override
  public void accept(Event event) {
    events.add(event);
    judges.forEach(j -> j.see(event));
  }

  public List<Event> events() {
    return events;
  }

  public List<String> rules() {
    return judges.stream().map(InvariantChecker::rule).toList();
  }

  public List<QuotaAudit.Figures> quotas() {
    return quotas.figures();
  }

  /** What a customer sent on first, in order: time (ms) and units. */
  public double[][] sends(String customer) {
    return quotas.sends(customer);
  }

  /** By time. */
  public List<Violation> verdict(double at) {
    return judges.stream()
        .flatMap(j -> j.verdict(at).stream())
        .sorted(Comparator.comparingDouble(Violation::at))
        .toList();
  }

  /**
   * Every event of the request that a breach names, and what was done to the world shortly before
   * it.
   */
  public List<Event> story(Violation breach) {
    return events.stream()
        .filter(
            e ->
                breach.id() != null && breach.id().equals(e.id())
                    || e.id() == null && e.at() <= breach.at() && e.at() > breach.at() - AROUND)
        .toList();
  }
}
