package edgenode.net.discovery;

import edgenode.config.Config;
import edgenode.config.EdgeSettings;
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
public final class Sources {
  private Sources() {}

  /**
   * @param agent this platform's own place, for where the settings name it
   */
  public static List<Members.Place> of(EdgeSettings settings, Members.Place agent) {
    List<Members.Place> places = new ArrayList<>();
    for (String each : settings.sources()) {
      places.add(
          switch (each) {
            case EdgeSettings.CONSUL -> consul(settings.consul());
            case EdgeSettings.EDS -> eds(settings.eds());
            case EdgeSettings.DNS_SRV -> dns(settings.dnsSrv());
            default -> agent;
          });
    }
    return places;
  }

  static Members.Place consul(EdgeSettings.Consul told) {
    InetSocketAddress address = Config.address(told.address());
    String token = secret(told.tokenFile());
    return new Members.Place(
        "consul " + told.address() + " " + told.service(),
        (loop, sink, space) ->
            new ConsulSource(loop, sink, address, space, told.service(), told.blockFor(), token));
  }

  static Members.Place eds(EdgeSettings.Eds told) {
    InetSocketAddress address = Config.address(told.address());
    return new Members.Place(
        "eds " + told.address() + " " + told.cluster(),
        (loop, sink, space) ->
            new EdsSource(
                loop, sink, address, space, told.cluster(), told.nodeId(), told.refresh()));
  }

  static Members.Place dns(EdgeSettings.DnsSrv told) {
    List<InetSocketAddress> servers = told.servers().stream().map(Config::address).toList();
    return new Members.Place(
        "dns " + told.name(),
        (loop, sink, space) ->
            new DnsSrvSource(loop, sink, servers, space, told.name(), told.least(), told.most()));
  }

  private static String secret(Path file) {
    try {
      return file == null ? null : Files.readString(file).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
