package edgenode.simulation.invariants;

import edgenode.policy.QuotaPlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The fifth rule: a plan's second store, one for a customer over all edge nodes, from which each
 * request takes its units when it is first sent on, never goes below its slack.
 */
public final class CeilingInvariant implements InvariantChecker {
  private final InvariantTerms terms;
  private final Map<String, Event.Asked> asked = new HashMap<>();
  private final Map<String, Bucket> stores = new HashMap<>();
  private final Set<String> sent = new HashSet<>();
  private final Set<String> broken = new HashSet<>();
  private final List<Violation> breaches = new ArrayList<>();

  public CeilingInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "ceiling";
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Asked a) {
      asked.put(a.id(), a);
    } else if (event instanceof Event.Came came
        && asked.containsKey(came.id())
        && sent.add(came.id())) {
      Event.Asked a = asked.get(came.id());
      QuotaPlan plan = terms.plan(a.plan());
      if (plan.ceilingRatePerSecond() > 0) {
        Bucket store =
            stores.computeIfAbsent(
                a.customer(),
                c -> new Bucket(plan.ceilingRatePerSecond(), plan.ceilingBurstUnits(), came.at()));
        store.take(came.at(), a.units());
        if (store.units(came.at()) < -plan.ceilingSlackUnits() - 1e-9 && broken.add(a.customer())) {
          breaches.add(
              new Violation(
                  rule(),
                  came.at(),
                  came.id(),
                  String.format(
                      Locale.ROOT,
                      "customer %s has taken %.2f"
                          + " units more than its ceiling holds, %.2f are granted",
                      a.customer(),
                      -store.units(came.at()),
                      plan.ceilingSlackUnits())));
        }
      }
    }
  }

  @Override
  public List<Violation> verdict(double at) {
    return List.copyOf(breaches);
  }
}
