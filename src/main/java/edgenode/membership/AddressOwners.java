package edgenode.membership;

import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which of the listed endpoints has an address. A new process may come up at the address of one
 * that has gone before the list says that it has: what would be sent to the old endpoint would run
 * in the new one, which may be of another group. Of the endpoints that are listed at an address the
 * one whose process has started last has it; where that is not known, all of them do. Each call
 * costs O(1), the removal of an owner O(endpoints whose address was taken).
 */
final class AddressOwners {
  private record Owner(String id, double startedAtMs) {}

  private final Map<String, Owner> byAddress = new HashMap<>();

  /** The address at which each endpoint is listed. */
  private final Map<String, String> addresses = new HashMap<>();

  /** When each endpoint has started that is listed at an address which another one has. */
  private final Map<String, Double> others = new HashMap<>();

  /** Whether an endpoint has been listed at another address, from which it has to be removed. */
  boolean isListedElsewhere(DiscoveredEndpoint endpoint) {
    String address = addresses.get(endpoint.id());
    return address != null && !address.equals(endpoint.address());
  }

  /**
   * An endpoint is listed, possibly again, and nowhere else.
   *
   * @return the endpoint whose address it takes over, or null
   */
  String listed(DiscoveredEndpoint endpoint) {
    String id = endpoint.id();
    double startedAtMs = endpoint.info().startedAtMs();
    addresses.put(id, endpoint.address());
    others.remove(id);
    Owner owner = byAddress.get(endpoint.address());
    if (owner == null || owner.id.equals(id)) {
      byAddress.put(endpoint.address(), new Owner(id, startedAtMs));
      return null;
    }
    if (startedAtMs <= owner.startedAtMs || endpoint.info().state() != EndpointState.UP) {
      others.put(id, startedAtMs);
      return null;
    }
    byAddress.put(endpoint.address(), new Owner(id, startedAtMs));
    others.put(owner.id, owner.startedAtMs);
    return owner.id;
  }

  /**
   * An endpoint is listed no longer.
   *
   * @return the endpoints that may have its address now
   */
  List<String> removed(String id) {
    String address = addresses.remove(id);
    others.remove(id);
    Owner owner = byAddress.get(address);
    if (owner == null || !owner.id.equals(id)) {
      return List.of();
    }
    byAddress.remove(address);
    List<String> remaining = new ArrayList<>();
    Owner next = null;
    for (Map.Entry<String, Double> other : others.entrySet()) {
      if (address.equals(addresses.get(other.getKey()))) {
        remaining.add(other.getKey());
        next =
            next == null || other.getValue() > next.startedAtMs
                ? new Owner(other.getKey(), other.getValue())
                : next;
      }
    }
    if (next != null) {
      byAddress.put(address, next);
      others.remove(next.id);
    }
    return remaining;
  }

  /** Whether an endpoint that has started later is listed at this one's address. */
  boolean isSuperseded(String id) {
    Double startedAtMs = others.get(id);
    return startedAtMs != null && startedAtMs < byAddress.get(addresses.get(id)).startedAtMs;
  }

  /** Whether an endpoint other than this one is listed at the address. */
  boolean isTakenByOther(String address, String id) {
    Owner owner = byAddress.get(address);
    return owner != null && !owner.id.equals(id);
  }

  /** Endpoints with an address, for tests that they are forgotten. */
  int size() {
    return addresses.size();
  }
}
