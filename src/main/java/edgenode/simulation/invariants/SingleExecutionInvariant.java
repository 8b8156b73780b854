package edgenode.simulation.invariants;

import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The second rule: nothing that may have run goes out again unless its class allows it, and it is
 * refused only where nothing has run. A keyed request may go to servers that drop its repeats, and
 * within the window.
 */
public final class SingleExecutionInvariant implements InvariantChecker {
  private static final class Attempt {
    private final String server;
    private final int rack;
    private final double at;
    private boolean neverRan;

    Attempt(String server, int rack, double at) {
      this.server = server;
      this.rack = rack;
      this.at = at;
    }
  }

  private final InvariantTerms terms;
  private final Map<String, RequestClass> types = new HashMap<>();
  private final Map<String, Integer> racks = new HashMap<>();
  private final Map<String, List<Attempt>> attempts = new HashMap<>();
  private final List<Violation> breaches = new ArrayList<>();

  public SingleExecutionInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "no-second-effect";
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Born born) {
      racks.put(born.server(), born.rack());
    } else if (event instanceof Event.Asked asked) {
      types.put(asked.id(), terms.type(asked.type()));
    } else if (event instanceof Event.Came came) {
      came(came);
    } else if (event instanceof Event.Replied replied && replied.kind().equals("BUSY")) {
      attempts.getOrDefault(replied.id(), List.of()).stream()
          .filter(a -> a.server.equals(replied.server()))
          .reduce((a, b) -> b)
          .ifPresent(a -> a.neverRan = true);
    } else if (event instanceof Event.Heard heard && heard.answer() == Event.Answer.BUSY) {
      RequestClass type = types.get(heard.id());
      attempts.getOrDefault(heard.id(), List.of()).stream()
          .filter(a -> !a.neverRan)
          .findFirst()
          .ifPresent(
              a -> {
                if (type != null
                    && type.idempotency() != Idempotency.IDEMPOTENT
                    && !anywhere(type)) {
                  breaches.add(
                      new Violation(
                          rule(),
                          heard.at(),
                          heard.id(),
                          "refused as if nothing had run, and " + a.server + " may have run it"));
                }
              });
    }
  }

  private static boolean anywhere(RequestClass type) {
    return type.idempotency() == Idempotency.KEYED && type.group() == IdempotencyGroup.ALL;
  }

  private void came(Event.Came came) {
    RequestClass type = types.get(came.id());
    if (type == null) {
      breaches.add(
          new Violation(rule(), came.at(), came.id(), came.server() + " got what no client asked"));
      return;
    }
    int rack = racks.getOrDefault(came.server(), -1);
    List<Attempt> before = attempts.computeIfAbsent(came.id(), id -> new ArrayList<>(2));
    before.stream()
        .filter(a -> !a.neverRan)
        .findFirst()
        .ifPresent(
            first -> {
              boolean dropped =
                  type.idempotency() == Idempotency.KEYED
                      && (anywhere(type) || first.rack == rack)
                      && came.at() - first.at
                          <= type.idempotencyWindowMs() + InvariantTerms.SOCKETS;
              if (type.idempotency() != Idempotency.IDEMPOTENT && !dropped) {
                breaches.add(
                    new Violation(
                        rule(),
                        came.at(),
                        came.id(),
                        String.format(
                            Locale.ROOT,
                            "%s may have run it %.0f ms before," + " and %s got it again%s",
                            first.server,
                            came.at() - first.at,
                            came.server(),
                            first.rack == rack ? "" : " in another rack")));
              }
            });
    before.add(new Attempt(came.server(), rack, came.at()));
  }

  @Override
  public List<Violation> verdict(double at) {
    return List.copyOf(breaches);
  }
}
