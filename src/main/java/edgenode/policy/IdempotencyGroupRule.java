package edgenode.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Which endpoints drop each other's duplicates of a request. A request with an idempotency key that
 * may have run is sent again only inside the group of the endpoint that may have run it: its zone,
 * its cell, or all endpoints.
 */
final class IdempotencyGroupRule {
  private final List<RequestClass> boundClasses = new ArrayList<>();

  IdempotencyGroupRule(PolicySettings settings) {
    for (RequestClass requestClass : settings.requestClasses()) {
      if (isBound(requestClass)) {
        boundClasses.add(requestClass);
      }
    }
  }

  /** Whether retries of a class are bound to a part of the endpoints. */
  static boolean isBound(RequestClass requestClass) {
    return requestClass.idempotency() == Idempotency.KEYED
        && requestClass.group() != IdempotencyGroup.ALL;
  }

  /** The key of the group of an endpoint, for a class that is bound. */
  static Object groupOf(RequestClass requestClass, EndpointInfo info) {
    if (requestClass.group() == IdempotencyGroup.ZONE) {
      return info.zone();
    }
    return info.cell();
  }

  /** The keys of all groups of an endpoint that any class is bound to, each once. */
  Object[] groupsOf(EndpointInfo info) {
    List<Object> groups = new ArrayList<>(boundClasses.size());
    for (int i = 0; i < boundClasses.size(); i++) {
      Object group = groupOf(boundClasses.get(i), info);
      if (!groups.contains(group)) {
        groups.add(group);
      }
    }
    return groups.toArray();
  }

  /** Whether an endpoint would drop duplicates of all attempts that may have run. */
  static boolean allows(PendingRequest request, Endpoint endpoint) {
    RequestClass requestClass = request.requestClass();
    if (!isBound(requestClass)) {
      return true;
    }
    for (int i = 0; i < request.attempts.size(); i++) {
      Attempt attempt = request.attempts.get(i);
      if (attempt.mayHaveRun()
          && !isSameGroup(requestClass.group(), attempt.sentTo, endpoint.info)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isSameGroup(
      IdempotencyGroup group, EndpointInfo first, EndpointInfo second) {
    return group == IdempotencyGroup.ZONE
        ? first.zone().equals(second.zone())
        : first.cell() == second.cell();
  }
}
