package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/** All checkers over one run, and its events for the traces of violations. */
public final class InvariantSuite implements Consumer<Event> {
  /** A trace includes other events from so long (ms) before its violation. */
  private static final double CONTEXT_MS = 3000;

  private final List<Event> events = new ArrayList<>();
  private final QuotaAudit quotas;
  private final List<InvariantChecker> checkers;

  /** All checkers, for a run of so many nodes. */
  public InvariantSuite(InvariantTerms terms, int nodes) {
    quotas = new QuotaAudit(terms);
    checkers =
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
    checkers.forEach(j -> j.onEvent(event));
  }

  /** All events so far, in order. */
  public List<Event> events() {
    return events;
  }

  /** The names of the rules, in the order of reports. */
  public List<String> rules() {
    return checkers.stream().map(InvariantChecker::rule).toList();
  }

  /** The quota figures of all customers; complete after {@link #violations}. */
  public List<QuotaAudit.Figures> quotas() {
    return quotas.figures();
  }

  /** What a customer sent on first, in order: time (ms) and units. */
  public double[][] forwardedUnits(String customer) {
    return quotas.sends(customer);
  }

  /** By time. */
  public List<Violation> violations(double at) {
    return checkers.stream()
        .flatMap(j -> j.violations(at).stream())
        .sorted(Comparator.comparingDouble(Violation::at))
        .toList();
  }

  /**
   * Every event of the request that a violation names, and what was done to the world shortly
   * before it.
   */
  public List<Event> trace(Violation violation) {
    return events.stream()
        .filter(
            e ->
                violation.id() != null && violation.id().equals(e.id())
                    || e.id() == null
                        && e.at() <= violation.at()
                        && e.at() > violation.at() - CONTEXT_MS)
        .toList();
  }
}
