package edgenode.simulation.invariants;

import edgenode.policy.Gateway;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The figures that the rules hold with: those of the settings, each time limit 50 ms longer, as on
 * sockets.
 */
public final class Terms {
  /** What sockets and real time are granted on each time limit (ms). */
  public static final double SOCKETS = 50;

  private final Map<String, Gateway.RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, Gateway.Plan> plans = new LinkedHashMap<>();
  private final Gateway.Settings settings;

  public Terms(Gateway.Settings settings) {
    this.settings = settings;
    settings.classes().forEach(c -> classes.put(c.name(), c));
    settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  Gateway.RequestClass type(String name) {
    return classes.get(name);
  }

  Gateway.Plan plan(String name) {
    return plans.get(name);
  }

  Gateway.Rules rules() {
    return settings.rules();
  }

  /** After the client's wait (ms). */
  double answerGrace() {
    return settings.rules().answerGrace() + SOCKETS;
  }

  double drainGrace() {
    return settings.rules().drainGrace() + SOCKETS;
  }

  /** Nodes that a customer's requests may come through. */
  int nodes() {
    return settings.nodes();
  }

  int mostUnits() {
    return settings.mostUnits();
  }
}
