package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The third rule: nothing new to a server that is told as leaving or gone, once the grace is over.
 * A send is timed at its last byte here, which is its first one's moment too wherever messages come
 * whole.
 */
public final class DrainInvariant implements InvariantChecker {
  private final InvariantTerms terms;
  private final Map<String, Event.Told> removedEndpoints = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** A checker that has seen nothing yet. */
  public DrainInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "drain-with-care";
  }

  @Override
  public void onEvent(Event event) {
    if (event instanceof Event.Told listChange) {
      if (listChange.health().equals("active")) {
        removedEndpoints.remove(listChange.server());
      } else {
        removedEndpoints.putIfAbsent(listChange.server(), listChange);
      }
    } else if (event instanceof Event.Came arrival) {
      Event.Told listChange = removedEndpoints.get(arrival.server());
      if (listChange != null && arrival.at() > listChange.at() + terms.drainGraceMs()) {
        violations.add(
            new Violation(
                rule(),
                arrival.at(),
                arrival.id(),
                String.format(
                    Locale.ROOT,
                    "%s got it %.0f ms after it was" + " told as %s",
                    arrival.server(),
                    arrival.at() - listChange.at(),
                    listChange.health())));
      }
    }
  }

  @Override
  public List<Violation> violations(double at) {
    return List.copyOf(violations);
  }
}
