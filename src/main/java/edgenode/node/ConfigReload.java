package edgenode.node;

import edgenode.net.discovery.SourceDefinition;
import edgenode.config.NodeConfig;
import edgenode.net.discovery.MembershipService;

/** Applies a new configuration to a running node: the addresses of discovery and counter. */
final class ConfigReload {
  private final NodeComponents components;

  /** The source in use. */
  private SourceDefinition discoverySource;

  ConfigReload(NodeComponents components) {
    this.components = components;
    discoverySource = components.discoverySource;
  }

  /** Changes to the new addresses; on the event loop. Other settings need a restart. */
  void apply(NodeConfig newConfig) {
    SourceDefinition newSource =
        MembershipService.agentSource(newConfig.discoveryAddress());
    components.discovery.replaceSource(discoverySource, newSource);
    discoverySource = newSource;
    components.counter.addressChanged(newConfig.counterAddress());
  }
}
