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

/** The sources that the operators' settings name. Loaded only where there are such settings. */
public final class EndpointSources {
  private EndpointSources() {}

  /**
   * The sources in the order of the settings.
   *
   * @param agent this platform's own source, for where the settings name it
   * @throws UncheckedIOException where the file of a token cannot be read
   */
  public static List<SourceDefinition> fromSettings(
      OperatorSettings settings, SourceDefinition agent) {
    List<SourceDefinition> definitions = new ArrayList<>();
    for (String name : settings.sources()) {
      definitions.add(
          switch (name) {
            case OperatorSettings.CONSUL -> consul(settings.consul());
            case OperatorSettings.EDS -> eds(settings.eds());
            case OperatorSettings.DNS_SRV -> dnsSrv(settings.dnsSrv());
            default -> agent;
          });
    }
    return definitions;
  }

  static SourceDefinition consul(OperatorSettings.ConsulSettings settings) {
    InetSocketAddress address = NodeConfig.parseAddress(settings.address());
    String token = readToken(settings.tokenFile());
    return new SourceDefinition(
        "consul " + settings.address() + " " + settings.service(),
        (loop, listener, sourceId) ->
            new ConsulSource(
                loop,
                listener,
                address,
                sourceId,
                settings.service(),
                settings.maxWaitMs(),
                token));
  }

  static SourceDefinition eds(OperatorSettings.EdsSettings settings) {
    InetSocketAddress address = NodeConfig.parseAddress(settings.address());
    return new SourceDefinition(
        "eds " + settings.address() + " " + settings.cluster(),
        (loop, listener, sourceId) ->
            new EdsSource(
                loop,
                listener,
                address,
                sourceId,
                settings.cluster(),
                settings.nodeId(),
                settings.refreshMs()));
  }

  static SourceDefinition dnsSrv(OperatorSettings.DnsSrvSettings settings) {
    List<InetSocketAddress> nameServers =
        settings.nameServers().stream().map(NodeConfig::parseAddress).toList();
    return new SourceDefinition(
        "dns " + settings.name(),
        (loop, listener, sourceId) ->
            new DnsSrvSource(
                loop,
                listener,
                nameServers,
                sourceId,
                settings.name(),
                settings.minIntervalMs(),
                settings.maxIntervalMs()));
  }

  /** The token in a file, or null where none is named. */
  private static String readToken(Path file) {
    try {
      return file == null ? null : Files.readString(file).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
