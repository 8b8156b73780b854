package edgenode.node;

import edgenode.membership.DiscoveredEndpoint;
import edgenode.net.discovery.MembershipListener;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.EndpointInfo;
import java.util.ArrayList;
import java.util.List;

/** Hands what discovery reports to the connection pool and to the policy. */
final class MembershipUpdates implements MembershipListener {
  private final GuardedPolicy policy;
  private UpstreamConnectionPool upstream;
  private Runnable discoveryRejectedHandler = () -> {};

  MembershipUpdates(GuardedPolicy policy) {
    this.policy = policy;
  }

  /** Sets the pool, which needs the membership service itself; before the first update. */
  void setUpstream(UpstreamConnectionPool pool) {
    upstream = pool;
  }

  /** Sets what to do when discovery refuses all connections. */
  void onDiscoveryRejected(Runnable handler) {
    discoveryRejectedHandler = handler;
  }

  /**
   * The pool is updated before the policy: no request that waits for a connection may go to an
   * endpoint that is now draining.
   */
  @Override
  public void endpointsChanged(List<DiscoveredEndpoint> endpoints, boolean isComplete) {
    upstream.endpointsChanged(endpoints);
    List<EndpointInfo> infos = new ArrayList<>(endpoints.size());
    for (DiscoveredEndpoint endpoint : endpoints) {
      infos.add(endpoint.info());
    }
    policy.endpointsChanged(infos, isComplete);
  }

  @Override
  public void discoveryRefused() {
    discoveryRejectedHandler.run();
  }

  @Override
  public void discoveryFailed() {
    policy.discoveryFailed();
  }

  @Override
  public void checkReachable(String endpointId) {
    upstream.checkReachable(endpointId);
  }
}
