package edgenode.net.discovery;

import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The places of the operators' settings, in their order. Loaded only where there are such settings.
 */
public final class EndpointSources {
  private EndpointSources() {}

  /**
   * @param agent this platform's own place, for where the settings name it
   */
  public static List<MembershipService.SourceDefinition> fromSettings(
      OperatorSettings settings, MembershipService.SourceDefinition agent) {
    List<MembershipService.SourceDefinition> places = new ArrayList<>();
    for (String each : settings.sources()) {
      places.add(
          switch (each) {
            case OperatorSettings.CONSUL -> consul(settings.consul());
            case OperatorSettings.EDS -> eds(settings.eds());
            case OperatorSettings.DNS_SRV -> dnsSrv(settings.dnsSrv());
            default -> agent;
          });
    }
    return places;
  }

  static MembershipService.SourceDefinition consul(OperatorSettings.ConsulSettings told) {
    InetSocketAddress address = NodeConfig.parseAddress(told.address());
    String token = secret(told.tokenFile());
    return new MembershipService.SourceDefinition(
        "consul " + told.address() + " " + told.service(),
        (loop, sink, space) ->
            new ConsulSource(loop, sink, address, space, told.service(), told.maxWaitMs(), token));
  }

  static MembershipService.SourceDefinition eds(OperatorSettings.EdsSettings told) {
    InetSocketAddress address = NodeConfig.parseAddress(told.address());
    return new MembershipService.SourceDefinition(
        "eds " + told.address() + " " + told.cluster(),
        (loop, sink, space) ->
            new EdsSource(
                loop, sink, address, space, told.cluster(), told.nodeId(), told.refreshMs()));
  }

  static MembershipService.SourceDefinition dnsSrv(OperatorSettings.DnsSrvSettings told) {
    List<InetSocketAddress> servers =
        told.nameServers().stream().map(NodeConfig::parseAddress).toList();
    return new MembershipService.SourceDefinition(
        "dns " + told.name(),
        (loop, sink, space) ->
            new DnsSrvSource(
                loop,
                sink,
                servers,
                space,
                told.name(),
                told.minIntervalMs(),
                told.maxIntervalMs()));
  }

  private static String secret(Path file) {
    try {
      return file == null ? null : Files.readString(file).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
