package edgenode.config;

import edgenode.config.OperatorSettings.ConsulSettings;
import edgenode.config.OperatorSettings.DnsSrvSettings;
import edgenode.config.OperatorSettings.EdsSettings;
import edgenode.idempotency.IdempotencyLimits;
import edgenode.membership.MembershipLimits;
import edgenode.policy.subset.EndpointSubset;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads the operators' settings key by key: names, defaults and ranges. Faults are collected by the
 * {@link TomlReader} in the order of the reads.
 */
final class OperatorSettingsParser {
  private static final List<String> SOURCES =
      List.of(
          OperatorSettings.AGENT,
          OperatorSettings.CONSUL,
          OperatorSettings.EDS,
          OperatorSettings.DNS_SRV);

  private static final String FORGET_WHEN_FULL = "forget";
  private static final String REJECT_WHEN_FULL = "refuse";
  private static final int MINUTE_MS = 60_000;

  private final TomlReader reader;
  private final double warmUpMs;

  OperatorSettingsParser(TomlReader reader, double warmUpMs) {
    this.reader = reader;
    this.warmUpMs = warmUpMs;
  }

  /**
   * @throws InvalidSettingsException with every fault of the file
   */
  OperatorSettings parse() throws InvalidOperatorSettingsException {
    List<String> sources = sources();
    double failOverMs = reader.integer("membership.fail_over_ms", 5000, 500, 10 * MINUTE_MS);
    MembershipLimits membershipLimits = membershipLimits();
    ConsulSettings consul = consul();
    EdsSettings eds = eds();
    DnsSrvSettings dnsSrv = dnsSrv();
    checkSources(sources, consul, eds, dnsSrv);
    IdempotencyLimits idempotencyLimits = idempotencyLimits();
    int trackedCustomers = (int) reader.integer("figures.campuses", 0, 0, 10_000);
    int subsetMinEndpoints =
        (int) reader.integer("subset.servers", EndpointSubset.DEFAULT_MIN_ENDPOINTS, 64, 1_000_000);
    Path storeFolder = storeFolder(idempotencyLimits != null);
    List<String> faults = reader.faults();
    if (!faults.isEmpty()) {
      throw new InvalidOperatorSettingsException(faults);
    }
    return new OperatorSettings(
        sources,
        failOverMs,
        consul,
        eds,
        dnsSrv,
        membershipLimits,
        idempotencyLimits,
        trackedCustomers,
        subsetMinEndpoints,
        storeFolder);
  }

  private List<String> sources() {
    return reader.textList(
        "membership.sources",
        List.of(OperatorSettings.AGENT),
        "a list of " + String.join(", ", SOURCES),
        source -> {
          if (!SOURCES.contains(source)) {
            throw new IllegalArgumentException();
          }
        });
  }

  /** The defaults where settings contradict each other, as the file is rejected then. */
  private MembershipLimits membershipLimits() {
    MembershipLimits defaults = MembershipLimits.defaults(warmUpMs);
    double upAfterMs = durationMs("membership.up_after_ms", defaults.recoveryDelayMs(), MINUTE_MS);
    double maxUpAfterMs =
        durationMs("membership.up_after_most_ms", defaults.maxRecoveryDelayMs(), MINUTE_MS);
    double shrinkShare = reader.fraction("membership.shrink_share", defaults.minRetainedShare());
    double holdShrunkMs =
        durationMs("membership.hold_shrunk_ms", defaults.shrunkListQuarantineMs(), 10 * MINUTE_MS);
    double holdEmptyMs =
        durationMs("membership.hold_empty_ms", defaults.emptyListQuarantineMs(), 60 * MINUTE_MS);
    double oldAfterMs =
        reader.integer(
            "membership.old_after_ms", (long) defaults.staleViewAfterMs(), 100, 10 * MINUTE_MS);
    boolean isUpAfterOrdered =
        checkOrder(
            "membership.up_after_ms", upAfterMs, "membership.up_after_most_ms", maxUpAfterMs);
    boolean isHoldOrdered =
        checkOrder(
            "membership.hold_shrunk_ms", holdShrunkMs, "membership.hold_empty_ms", holdEmptyMs);
    if (!isUpAfterOrdered || !isHoldOrdered) {
      return defaults;
    }
    return new MembershipLimits(
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
        defaults.connectTimeoutThreshold());
  }

  /** A time from 0 on, in whole ms. */
  private double durationMs(String key, double defaultMs, long maxMs) {
    return reader.integer(key, (long) defaultMs, 0, maxMs);
  }

  /** Whether the greater setting is no less than the smaller one; a fault otherwise. */
  private boolean checkOrder(
      String smallerKey, double smallerMs, String greaterKey, double greaterMs) {
    if (greaterMs < smallerMs) {
      reader.contradiction(greaterKey, "is less than " + smallerKey + ", " + (long) smallerMs);
      return false;
    }
    return true;
  }

  private ConsulSettings consul() {
    ConsulSettings consul =
        new ConsulSettings(
            address("membership.consul.address", "127.0.0.1:8500"),
            reader.text("membership.consul.service", null, "a service's name"),
            reader.integer("membership.consul.wait_ms", 5000, 100, 10 * MINUTE_MS),
            path(reader.text("membership.consul.token_file", null, "a file's path")));
    Path tokenFile = consul.tokenFile();
    if (tokenFile != null && !(Files.isRegularFile(tokenFile) && Files.isReadable(tokenFile))) {
      reader.contradiction(
          "membership.consul.token_file", "'" + tokenFile + "' is no file that can be read");
    }
    return consul;
  }

  private EdsSettings eds() {
    return new EdsSettings(
        address("membership.eds.address", null),
        reader.text("membership.eds.cluster", null, "a cluster's name"),
        reader.text("membership.eds.node_id", "nickelstand", "a name"),
        reader.integer("membership.eds.refresh_ms", 500, 50, 10 * MINUTE_MS));
  }

  private DnsSrvSettings dnsSrv() {
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
    checkOrder(
        "membership.dns_srv.least_ms",
        dnsSrv.minIntervalMs(),
        "membership.dns_srv.most_ms",
        dnsSrv.maxIntervalMs());
    return dnsSrv;
  }

  /** Each source is named once, and the settings that it needs are there. */
  private void checkSources(
      List<String> sources, ConsulSettings consul, EdsSettings eds, DnsSrvSettings dnsSrv) {
    if (sources.contains(OperatorSettings.CONSUL)) {
      require("consul", "membership.consul.service", consul.service() != null);
    }
    if (sources.contains(OperatorSettings.EDS)) {
      require("eds", "membership.eds.address", eds.address() != null);
      require("eds", "membership.eds.cluster", eds.cluster() != null);
    }
    if (sources.contains(OperatorSettings.DNS_SRV)) {
      require("dns_srv", "membership.dns_srv.name", dnsSrv.name() != null);
      require("dns_srv", "membership.dns_srv.servers", !dnsSrv.nameServers().isEmpty());
    }
    if (sources.size() != sources.stream().distinct().count()) {
      reader.contradiction("membership.sources", "names a source twice");
    }
  }

  private void require(String source, String key, boolean isSet) {
    if (!isSet) {
      reader.contradiction(
          "membership.sources", "names '" + source + "', and " + key + " is not set");
    }
  }

  /** Null where duplicates are not to be recognised; the keys are checked all the same. */
  private IdempotencyLimits idempotencyLimits() {
    IdempotencyLimits defaults = IdempotencyLimits.DEFAULT;
    boolean isEnabled = reader.bool("repeats.enabled", false);
    IdempotencyLimits bounds =
        new IdempotencyLimits(
            (int) reader.integer("repeats.entries", defaults.maxEntries(), 1, 1_000_000),
            reader.integer("repeats.answer_bytes", defaults.maxResponseBytes(), 0, 1L << 30),
            reader.integer("repeats.keep_ms", (long) defaults.retentionMs(), 100, 10 * MINUTE_MS),
            (int) reader.integer("repeats.followers", defaults.maxWaitingDuplicates(), 0, 1000),
            rejectsWhenFull());
    return isEnabled ? bounds : null;
  }

  private boolean rejectsWhenFull() {
    return reader
        .choice("repeats.when_full", FORGET_WHEN_FULL, List.of(FORGET_WHEN_FULL, REJECT_WHEN_FULL))
        .equals(REJECT_WHEN_FULL);
  }

  private Path storeFolder(boolean hasIdempotencyBounds) {
    Path folder = path(reader.text("store.folder", null, "a folder's path"));
    if (folder == null) {
      return null;
    }
    Path parent = folder.toAbsolutePath().getParent();
    if (parent == null || !Files.isWritable(Files.isDirectory(folder) ? folder : parent)) {
      reader.contradiction("store.folder", "'" + folder + "' is no folder that can be written");
    }
    if (!hasIdempotencyBounds) {
      reader.contradiction("store.folder", "is set, and repeats.enabled, which it is for, is not");
    }
    return folder;
  }

  /** A numeric {@code address:port} as text, or the default. */
  private String address(String key, String defaultValue) {
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
