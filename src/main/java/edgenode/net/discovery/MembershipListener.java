package edgenode.net.discovery;

import edgenode.membership.DiscoveredEndpoint;
import java.util.List;

/** Receives the view of the endpoints from {@link MembershipService}, on the event loop. */
public interface MembershipListener {
  /**
   * The view has changed.
   *
   * @param endpoints the endpoints that changed, those removed with state {@code REMOVED}
   * @param isComplete whether these are all endpoints: true for the first list only
   */
  void endpointsChanged(List<DiscoveredEndpoint> endpoints, boolean isComplete);

  /** A request to discovery failed; the view stays as it is. */
  void discoveryFailed();

  /** Discovery has refused several connects in a row: its address may be out of date. */
  void discoveryRefused();

  /**
   * Tries a connect to an endpoint, and reports the result to {@link MembershipService#connected}
   * or {@link MembershipService#connectFailed}.
   */
  void checkReachable(String id);
}
