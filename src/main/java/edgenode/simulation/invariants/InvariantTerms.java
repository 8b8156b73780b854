package edgenode.simulation.invariants;

import edgenode.policy.PolicySettings;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The figures that the rules hold with: those of the settings, each time limit 50 ms longer, as on
 * sockets.
 */
public final class InvariantTerms {
  /** What sockets and real time are granted on each time limit (ms). */
  public static final double SOCKET_GRACE_MS = 50;

  private final Map<String, RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, QuotaPlan> plans = new LinkedHashMap<>();
  private final PolicySettings settings;

  /** The terms that follow from the settings of one node. */
  public InvariantTerms(PolicySettings settings) {
    this.settings = settings;
    settings.requestClasses().forEach(c -> classes.put(c.name(), c));
    settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  RequestClass requestClass(String name) {
    return classes.get(name);
  }

  QuotaPlan plan(String name) {
    return plans.get(name);
  }

  RuleLimits rules() {
    return settings.rules();
  }

  /** After the client's wait (ms). */
  double answerGraceMs() {
    return settings.rules().answerGraceMs() + SOCKET_GRACE_MS;
  }

  double drainGraceMs() {
    return settings.rules().drainGraceMs() + SOCKET_GRACE_MS;
  }

  /** Nodes that a customer's requests may come through. */
  int nodes() {
    return settings.nodeCount();
  }

  int maxRequestUnits() {
    return settings.maxRequestUnits();
  }
}
