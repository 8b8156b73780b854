package edgenode.config;

import edgenode.idempotency.IdempotencyLimits;
import edgenode.membership.MembershipLimits;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The operators' own settings: one TOML file, read only where {@code serve --settings FILE} names
 * it. A key that it lacks has its default; with any fault the whole file is rejected and nothing is
 * started.
 *
 * @param sources where the endpoint list comes from, in the order of fail-over
 * @param failOverMs silence of a source after which the next one takes over
 * @param membershipLimits times and shares of {@link edgenode.membership.Membership}
 * @param idempotencyLimits how much is remembered of idempotency keys, or null where duplicates are
 *     not recognised
 * @param trackedCustomers how many customers have figures of their own; 0 for none
 * @param subsetMinEndpoints how many endpoints of a longer list a node uses on average, at least
 * @param storeFolder the folder for data that outlives the process, or null
 */
public record OperatorSettings(
    List<String> sources,
    double failOverMs,
    ConsulSettings consul,
    EdsSettings eds,
    DnsSrvSettings dnsSrv,
    MembershipLimits membershipLimits,
    IdempotencyLimits idempotencyLimits,
    int trackedCustomers,
    int subsetMinEndpoints,
    Path storeFolder) {
  /** Source: the platform's discovery agent, which {@link NodeConfig} names. */
  public static final String AGENT = "agent";

  /** Source: Consul's health endpoint of a service. */
  public static final String CONSUL = "consul";

  /** Source: Envoy's endpoint discovery service over REST. */
  public static final String EDS = "eds";

  /** Source: DNS SRV records. */
  public static final String DNS_SRV = "dns_srv";

  /**
   * Settings of {@link #CONSUL}.
   *
   * @param maxWaitMs how long a blocking query waits
   * @param tokenFile the file that holds the ACL token, or null
   */
  public record ConsulSettings(String address, String service, double maxWaitMs, Path tokenFile) {}

  /**
   * Settings of {@link #EDS}.
   *
   * @param refreshMs time between two queries
   */
  public record EdsSettings(String address, String cluster, String nodeId, double refreshMs) {}

  /**
   * Settings of {@link #DNS_SRV}.
   *
   * @param nameServers each {@code address:port}
   * @param minIntervalMs shortest time between two queries, whatever a record's time to live
   * @param maxIntervalMs longest time between two queries
   */
  public record DnsSrvSettings(
      String name, List<String> nameServers, double minIntervalMs, double maxIntervalMs) {}

  /**
   * Reads the settings from a TOML file.
   *
   * @param warmUpMs the platform's warm-up time of an endpoint
   * @throws IOException where the file cannot be read
   * @throws InvalidSettingsException with every fault of the file
   */
  public static OperatorSettings read(Path file, double warmUpMs)
      throws IOException, InvalidOperatorSettingsException {
    return parse(new TomlReader(file), warmUpMs);
  }

  static OperatorSettings parse(TomlReader reader, double warmUpMs)
      throws InvalidOperatorSettingsException {
    return new OperatorSettingsParser(reader, warmUpMs).parse();
  }
}
