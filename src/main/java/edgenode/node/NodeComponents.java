package edgenode.node;

import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.ledger.RequestLedger;
import edgenode.membership.MembershipLimits;
import edgenode.net.counter.CounterClient;
import edgenode.net.discovery.EndpointSources;
import edgenode.net.discovery.MembershipService;
import edgenode.net.discovery.SourceDefinition;
import edgenode.net.downstream.ClientListener;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.RequestClass;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The parts of one node, created and connected; nothing of it has started. */
final class NodeComponents {
  final NodeConfig config;
  final EdgeEventLoop loop;
  final ConnectionBudget connectionBudget;
  final GuardedPolicy policy;
  final MembershipUpdates membershipUpdates;

  /** The source that the node's configuration names; {@link ConfigReload} may replace it. */
  final SourceDefinition discoverySource;

  final MembershipService discovery;
  final ClientListener downstream;
  final UpstreamConnectionPool upstream;
  final CounterClient counter;
  final RequestLedger ledger;
  final RequestTable requests;

  /** Null where duplicate requests are not recognised. */
  final DuplicateRequestHandler duplicates;

  /** The folder in which idempotency keys outlive the process, or null. */
  final Path keyStoreFolder;

  /**
   * @param operatorSettings the operators' own settings, or null where there are none
   */
  NodeComponents(NodeConfig config, OperatorSettings operatorSettings, EdgeEventLoop loop) {
    this.config = config;
    this.loop = loop;
    connectionBudget = ConnectionBudget.forDescriptors(config.maxSockets());
    policy = new GuardedPolicy(loop);
    membershipUpdates = new MembershipUpdates(policy);
    discoverySource = MembershipService.agentSource(config.discoveryAddress());
    discovery = membershipService(operatorSettings);
    duplicates =
        operatorSettings == null || operatorSettings.idempotencyLimits() == null
            ? null
            : new DuplicateRequestHandler(loop, operatorSettings.idempotencyLimits());
    keyStoreFolder = operatorSettings == null ? null : operatorSettings.storeFolder();
    ledger =
        new RequestLedger(
            classNames(config), operatorSettings == null ? 0 : operatorSettings.trackedCustomers());
    upstream =
        new UpstreamConnectionPool(
            loop, discovery, policy, config, connectionBudget.upstreamConnections());
    membershipUpdates.setUpstream(upstream);
    requests = new RequestTable(loop, config.settings(), policy, upstream, ledger, duplicates);
    downstream =
        new ClientListener(
            loop,
            requests,
            connectionBudget.downstreamConnections(),
            config.adminAddress() != null);
    counter =
        new CounterClient(
            loop,
            policy,
            config.counterAddress(),
            config.settings().capabilities().counterTimeoutMs());
  }

  private MembershipService membershipService(OperatorSettings operatorSettings) {
    if (operatorSettings == null) {
      return new MembershipService(
          loop,
          membershipUpdates,
          MembershipLimits.platform(config.settings().rules().warmUpMs()),
          List.of(discoverySource),
          0);
    }
    return new MembershipService(
        loop,
        membershipUpdates,
        operatorSettings.membershipLimits(),
        EndpointSources.fromSettings(operatorSettings, discoverySource),
        operatorSettings.failOverMs());
  }

  private static List<String> classNames(NodeConfig config) {
    List<String> names = new ArrayList<>();
    for (RequestClass requestClass : config.settings().requestClasses()) {
      names.add(requestClass.name());
    }
    return names;
  }
}
