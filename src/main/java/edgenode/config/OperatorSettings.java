package edgenode.config;

import edgenode.idempotency.IdempotencyLimits;
import edgenode.membership.MembershipLimits;
import edgenode.policy.subset.EndpointSubset;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The operators' own settings: one TOML file, read only where {@code serve --settings FILE} names
 * it. What it does not name has its default; what is wrong in it is told all together and nothing
 * is started.
 *
 * @param sources where the list of servers comes from, in the order in which one stands in for the
 *     one before
 * @param failOverMs how long a source may say nothing before the next one takes over (ms)
 * @param membershipLimits how {@link edgenode.membership.Membership} weighs what it is told
 * @param idempotencyBounds how much is remembered of idempotency keys, or null where repeats are
 *     not recognised
 * @param subsetMinEndpoints how many servers of a longer list a node holds on average at least
 * @param storeFolder the folder in which what must outlive the process is kept, or null
 * @param trackedCustomers of how many campuses the figures are kept apart; 0: of none
 */
public record OperatorSettings(
    List<String> sources,
    double failOverMs,
    ConsulSettings consul,
    EdsSettings eds,
    DnsSrvSettings dnsSrv,
    MembershipLimits membershipLimits,
    IdempotencyLimits idempotencyBounds,
    int trackedCustomers,
    int subsetMinEndpoints,
    Path storeFolder) {
  /** This platform's agent, as the configuration names it. */
  public static final String AGENT = "agent";

  public static final String CONSUL = "consul";
  public static final String EDS = "eds";
  public static final String DNS_SRV = "dns_srv";
  private static final List<String> SOURCES = List.of(AGENT, CONSUL, EDS, DNS_SRV);
  private static final List<String> WHEN_FULL_CHOICES = List.of("forget", "refuse");
  private static final int MINUTE_MS = 60_000;

  /**
   * Consul's health of a service.
   *
   * @param maxWaitMs how long a blocking query waits (ms)
   * @param tokenFile the file that holds the ACL token, or null
   */
  public record ConsulSettings(String address, String service, double maxWaitMs, Path tokenFile) {}

  /**
   * Envoy's EDS over REST.
   *
   * @param refreshMs between two questions (ms)
   */
  public record EdsSettings(String address, String cluster, String nodeId, double refreshMs) {}

  /**
   * SRV records.
   *
   * @param nameServers the name servers, {@code address:port}
   * @param minIntervalMs the shortest time between two questions (ms), whatever a record's time to
   *     live
   * @param maxIntervalMs the longest
   */
  public record DnsSrvSettings(
      String name, List<String> nameServers, double minIntervalMs, double maxIntervalMs) {}

  /** What is wrong with a file: a line for each fault. */
  public static final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    InvalidSettingsException(List<String> faults) {
      super(String.join("\n", faults));
      this.faults = faults;
    }

    public List<String> faults() {
      return faults;
    }
  }

  /**
   * @throws Refused with every fault of the file
   */
  public static OperatorSettings read(Path file, double warmUpMs)
      throws IOException, InvalidSettingsException {
    return parse(new TomlReader(file), warmUpMs);
  }

  static OperatorSettings parse(TomlReader reader, double warmUpMs)
      throws InvalidSettingsException {
    MembershipLimits defaults = MembershipLimits.defaults(warmUpMs);
    List<String> sources =
        reader.textList(
            "membership.sources",
            List.of(AGENT),
            "a list of " + String.join(", ", SOURCES),
            source -> {
              if (!SOURCES.contains(source)) {
                throw new IllegalArgumentException();
              }
            });
    double failOverMs = reader.integer("membership.fail_over_ms", 5000, 500, 10 * MINUTE_MS);
    double upAfterMs =
        reader.integer("membership.up_after_ms", (long) defaults.recoveryDelayMs(), 0, MINUTE_MS);
    double maxUpAfterMs =
        reader.integer(
            "membership.up_after_most_ms", (long) defaults.maxRecoveryDelayMs(), 0, MINUTE_MS);
    double shrinkShare = reader.fraction("membership.shrink_share", defaults.minRetainedShare());
    double holdShrunkMs =
        reader.integer(
            "membership.hold_shrunk_ms",
            (long) defaults.shrunkListQuarantineMs(),
            0,
            10 * MINUTE_MS);
    double holdEmptyMs =
        reader.integer(
            "membership.hold_empty_ms", (long) defaults.emptyListQuarantineMs(), 0, 60 * MINUTE_MS);
    double oldAfterMs =
        reader.integer(
            "membership.old_after_ms", (long) defaults.staleViewAfterMs(), 100, 10 * MINUTE_MS);
    if (maxUpAfterMs < upAfterMs) {
      reader.contradiction(
          "membership.up_after_most_ms",
          "is less than membership.up_after_ms, " + (long) upAfterMs);
    }
    if (holdEmptyMs < holdShrunkMs) {
      reader.contradiction(
          "membership.hold_empty_ms",
          "is less than membership.hold_shrunk_ms, " + (long) holdShrunkMs);
    }
    ConsulSettings consul =
        new ConsulSettings(
            address(reader, "membership.consul.address", "127.0.0.1:8500"),
            reader.text("membership.consul.service", null, "a service's name"),
            reader.integer("membership.consul.wait_ms", 5000, 100, 10 * MINUTE_MS),
            path(reader.text("membership.consul.token_file", null, "a file's path")));
    if (consul.tokenFile() != null
        && !(Files.isRegularFile(consul.tokenFile()) && Files.isReadable(consul.tokenFile()))) {
      reader.contradiction(
          "membership.consul.token_file",
          "'" + consul.tokenFile() + "' is no file that can be read");
    }
    EdsSettings eds =
        new EdsSettings(
            address(reader, "membership.eds.address", null),
            reader.text("membership.eds.cluster", null, "a cluster's name"),
            reader.text("membership.eds.node_id", "nickelstand", "a name"),
            reader.integer("membership.eds.refresh_ms", 500, 50, 10 * MINUTE_MS));
    DnsSrvSettings dnsSrv =
        new DnsSrvSettings(
            reader.text(
                "membership.dns_srv.name", null, "a domain name such as _resp._tcp.example"),
            reader.textList(
                "membership.dns_srv.servers",
                List.of(),
                "a list of address:port",
                NodeConfig::parseAddress),
            reader.integer("membership.dns_srv.least_ms", 1000, 100, 60 * MINUTE_MS),
            reader.integer("membership.dns_srv.most_ms", 30_000, 100, 24L * 60 * MINUTE_MS));
    if (dnsSrv.maxIntervalMs() < dnsSrv.minIntervalMs()) {
      reader.contradiction(
          "membership.dns_srv.most_ms",
          "is less than membership.dns_srv.least_ms, " + (long) dnsSrv.minIntervalMs());
    }
    requireForSource(reader, sources, CONSUL, "membership.consul.service", consul.service());
    requireForSource(reader, sources, EDS, "membership.eds.address", eds.address());
    requireForSource(reader, sources, EDS, "membership.eds.cluster", eds.cluster());
    requireForSource(reader, sources, DNS_SRV, "membership.dns_srv.name", dnsSrv.name());
    requireForSource(
        reader,
        sources,
        DNS_SRV,
        "membership.dns_srv.servers",
        dnsSrv.nameServers().isEmpty() ? null : "");
    if (sources.size() != sources.stream().distinct().count()) {
      reader.contradiction("membership.sources", "names a source twice");
    }
    IdempotencyLimits idempotencyBounds = idempotencyBounds(reader);
    int trackedCustomers = (int) reader.integer("figures.campuses", 0, 0, 10_000);
    int subsetMinEndpoints =
        (int) reader.integer("subset.servers", EndpointSubset.DEFAULT_MIN_ENDPOINTS, 64, 1_000_000);
    Path storeFolder = path(reader.text("store.folder", null, "a folder's path"));
    if (storeFolder != null
        && (storeFolder.toAbsolutePath().getParent() == null
            || !Files.isWritable(
                Files.isDirectory(storeFolder)
                    ? storeFolder
                    : storeFolder.toAbsolutePath().getParent()))) {
      reader.contradiction(
          "store.folder", "'" + storeFolder + "' is no folder that can be written");
    }
    if (storeFolder != null && idempotencyBounds == null) {
      reader.contradiction("store.folder", "is set, and repeats.enabled, which it is for, is not");
    }
    List<String> faults = reader.faults();
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return new OperatorSettings(
        sources,
        failOverMs,
        consul,
        eds,
        dnsSrv,
        new MembershipLimits(
            upAfterMs,
            maxUpAfterMs,
            defaults.flapWindowMs(),
            shrinkShare,
            holdShrunkMs,
            holdEmptyMs,
            defaults.livenessWindowMs(),
            defaults.staleVersionTimeoutMs(),
            defaults.retiredSourceTtlMs(),
            oldAfterMs,
            warmUpMs,
            defaults.refusedConnectThreshold(),
            defaults.connectTimeoutThreshold()),
        idempotencyBounds,
        trackedCustomers,
        subsetMinEndpoints,
        storeFolder);
  }

  private static IdempotencyLimits idempotencyBounds(TomlReader reader) {
    IdempotencyLimits defaults = IdempotencyLimits.DEFAULT;
    boolean isEnabled = reader.bool("repeats.enabled", false);
    IdempotencyLimits bounds =
        new IdempotencyLimits(
            (int) reader.integer("repeats.entries", defaults.maxEntries(), 1, 1_000_000),
            reader.integer("repeats.answer_bytes", defaults.maxResponseBytes(), 0, 1L << 30),
            reader.integer("repeats.keep_ms", (long) defaults.retentionMs(), 100, 10 * MINUTE_MS),
            (int) reader.integer("repeats.followers", defaults.maxWaitingDuplicates(), 0, 1000),
            reader
                .choice("repeats.when_full", WHEN_FULL_CHOICES.get(0), WHEN_FULL_CHOICES)
                .equals(WHEN_FULL_CHOICES.get(1)));
    return isEnabled ? bounds : null;
  }

  private static void requireForSource(
      TomlReader reader, List<String> sources, String source, String key, String value) {
    if (sources.contains(source) && value == null) {
      reader.contradiction(
          "membership.sources", "names '" + source + "', and " + key + " is not set");
    }
  }

  private static String address(TomlReader reader, String key, String defaultValue) {
    String text = reader.text(key, defaultValue, "address:port, numeric");
    if (text != null) {
      try {
        NodeConfig.parseAddress(text);
      } catch (IllegalArgumentException e) {
        reader.contradiction(key, "found '" + text + "', allowed is address:port, numeric");
      }
    }
    return text;
  }

  private static Path path(String text) {
    return text == null ? null : Path.of(text);
  }
}
