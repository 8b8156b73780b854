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
    private final double atMs;
    private boolean provesNothingRan;

    Attempt(String server, int rack, double at) {
      this.server = server;
      this.rack = rack;
      this.atMs = at;
    }
  }

  private final InvariantTerms terms;
  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Map<String, Integer> racks = new HashMap<>();
  private final Map<String, List<Attempt>> attempts = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** A checker that has seen nothing yet. */
  public SingleExecutionInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "no-second-effect";
  }

  @Override
  public void onEvent(Event event) {
    if (event instanceof Event.Born born) {
      racks.put(born.server(), born.rack());
    } else if (event instanceof Event.Asked asked) {
      requestClasses.put(asked.id(), terms.requestClass(asked.type()));
    } else if (event instanceof Event.Came arrival) {
      arrived(arrival);
    } else if (event instanceof Event.Replied replied && replied.kind().equals("BUSY")) {
      attempts.getOrDefault(replied.id(), List.of()).stream()
          .filter(a -> a.server.equals(replied.server()))
          .reduce((a, b) -> b)
          .ifPresent(a -> a.provesNothingRan = true);
    } else if (event instanceof Event.Heard response && response.answer() == Event.Answer.BUSY) {
      RequestClass requestClass = requestClasses.get(response.id());
      attempts.getOrDefault(response.id(), List.of()).stream()
          .filter(a -> !a.provesNothingRan)
          .findFirst()
          .ifPresent(
              a -> {
                if (requestClass != null
                    && requestClass.idempotency() != Idempotency.IDEMPOTENT
                    && !mayRepeatAnywhere(requestClass)) {
                  violations.add(
                      new Violation(
                          rule(),
                          response.at(),
                          response.id(),
                          "refused as if nothing had run, and " + a.server + " may have run it"));
                }
              });
    }
  }

  private static boolean mayRepeatAnywhere(RequestClass requestClass) {
    return requestClass.idempotency() == Idempotency.KEYED
        && requestClass.group() == IdempotencyGroup.ALL;
  }

  private void arrived(Event.Came arrival) {
    RequestClass requestClass = requestClasses.get(arrival.id());
    if (requestClass == null) {
      violations.add(
          new Violation(
              rule(), arrival.at(), arrival.id(), arrival.server() + " got what no client asked"));
      return;
    }
    int rack = racks.getOrDefault(arrival.server(), -1);
    List<Attempt> earlierAttempts =
        attempts.computeIfAbsent(arrival.id(), id -> new ArrayList<>(2));
    earlierAttempts.stream()
        .filter(a -> !a.provesNothingRan)
        .findFirst()
        .ifPresent(
            first -> {
              boolean isDropped =
                  requestClass.idempotency() == Idempotency.KEYED
                      && (mayRepeatAnywhere(requestClass) || first.rack == rack)
                      && arrival.at() - first.atMs
                          <= requestClass.idempotencyWindowMs() + InvariantTerms.SOCKET_GRACE_MS;
              if (requestClass.idempotency() != Idempotency.IDEMPOTENT && !isDropped) {
                violations.add(
                    new Violation(
                        rule(),
                        arrival.at(),
                        arrival.id(),
                        String.format(
                            Locale.ROOT,
                            "%s may have run it %.0f ms before," + " and %s got it again%s",
                            first.server,
                            arrival.at() - first.atMs,
                            arrival.server(),
                            first.rack == rack ? "" : " in another rack")));
              }
            });
    earlierAttempts.add(new Attempt(arrival.server(), rack, arrival.at()));
  }

  @Override
  public List<Violation> violations(double at) {
    return List.copyOf(violations);
  }
}
