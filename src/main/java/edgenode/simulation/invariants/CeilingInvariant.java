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
  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final Set<String> sent = new HashSet<>();
  private final Set<String> customersInViolation = new HashSet<>();
  private final List<Violation> violations = new ArrayList<>();

  /** A checker that has seen nothing yet. */
  public CeilingInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "ceiling";
  }

  @Override
  public void onEvent(Event event) {
    if (event instanceof Event.Asked request) {
      asked.put(request.id(), request);
    } else if (event instanceof Event.Came arrival
        && asked.containsKey(arrival.id())
        && sent.add(arrival.id())) {
      Event.Asked request = asked.get(arrival.id());
      QuotaPlan plan = terms.plan(request.plan());
      if (plan.ceilingRatePerSecond() > 0) {
        TokenBucket bucket =
            buckets.computeIfAbsent(
                request.customer(),
                c ->
                    new TokenBucket(
                        plan.ceilingRatePerSecond(), plan.ceilingBurstUnits(), arrival.at()));
        bucket.take(arrival.at(), request.units());
        if (bucket.units(arrival.at()) < -plan.ceilingSlackUnits() - 1e-9
            && customersInViolation.add(request.customer())) {
          violations.add(
              new Violation(
                  rule(),
                  arrival.at(),
                  arrival.id(),
                  String.format(
                      Locale.ROOT,
                      "customer %s has taken %.2f"
                          + " units more than its ceiling holds, %.2f are granted",
                      request.customer(),
                      -bucket.units(arrival.at()),
                      plan.ceilingSlackUnits())));
        }
      }
    }
  }

  @Override
  public List<Violation> violations(double at) {
    return List.copyOf(violations);
  }
}
