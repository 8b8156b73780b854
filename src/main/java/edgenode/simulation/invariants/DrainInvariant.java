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
  private final Map<String, Event.Told> away = new HashMap<>();
  private final List<Violation> breaches = new ArrayList<>();

  public DrainInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "drain-with-care";
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Told told) {
      if (told.health().equals("active")) {
        away.remove(told.server());
      } else {
        away.putIfAbsent(told.server(), told);
      }
    } else if (event instanceof Event.Came came) {
      Event.Told told = away.get(came.server());
      if (told != null && came.at() > told.at() + terms.drainGrace()) {
        breaches.add(
            new Violation(
                rule(),
                came.at(),
                came.id(),
                String.format(
                    Locale.ROOT,
                    "%s got it %.0f ms after it was" + " told as %s",
                    came.server(),
                    came.at() - told.at(),
                    told.health())));
      }
    }
  }

  @Override
  public List<Violation> verdict(double at) {
    return List.copyOf(breaches);
  }
}
