package edgenode.policy;

import java.util.HashMap;
import java.util.Map;

/** The classes of requests by name, and figures over all of them. */
final class RequestClassTable {
  private final Map<String, RequestClassStats> byName = new HashMap<>();
  private double meanObjectiveMs;
  private double longestObjectiveMs;

  RequestClassTable(PolicySettings settings) {
    for (RequestClass requestClass : settings.requestClasses()) {
      double objectiveMs = requestClass.latencyObjectiveMs();
      byName.put(requestClass.name(), new RequestClassStats(requestClass));
      longestObjectiveMs = Math.max(longestObjectiveMs, objectiveMs);
      meanObjectiveMs += objectiveMs / settings.requestClasses().size();
    }
  }

  /** The class of a name, null where the settings have none. */
  RequestClassStats find(String className) {
    return byName.get(className);
  }

  /** The mean latency objective of the classes. */
  double meanObjectiveMs() {
    return meanObjectiveMs;
  }

  double longestObjectiveMs() {
    return longestObjectiveMs;
  }
}
