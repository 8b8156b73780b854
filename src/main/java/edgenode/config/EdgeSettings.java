package edgenode.config;

import edgenode.idempotency.Bounds;
import edgenode.membership.Limits;
import edgenode.policy.subset.Subset;
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
 * @param failOver how long a source may say nothing before the next one takes over (ms)
 * @param limits how {@link edgenode.membership.Membership} weighs what it is told
 * @param repeats how much is remembered of idempotency keys, or null where repeats are not
 *     recognised
 * @param subset how many servers of a longer list a node holds on average at least
 * @param store the folder in which what must outlive the process is kept, or null
 * @param campuses of how many campuses the figures are kept apart; 0: of none
 */
public record EdgeSettings(
    List<String> sources,
    double failOver,
    Consul consul,
    Eds eds,
    DnsSrv dnsSrv,
    Limits limits,
    Bounds repeats,
    int campuses,
    int subset,
    Path store) {
  /** This platform's agent, as the configuration names it. */
  public static final String AGENT = "agent";

  public static final String CONSUL = "consul";
  public static final String EDS = "eds";
  public static final String DNS_SRV = "dns_srv";
  private static final List<String> SOURCES = List.of(AGENT, CONSUL, EDS, DNS_SRV);
  private static final List<String> FULL = List.of("forget", "refuse");
  private static final int MINUTE = 60_000;

  /**
   * Consul's health of a service.
   *
   * @param blockFor how long a blocking query waits (ms)
   * @param tokenFile the file that holds the ACL token, or null
   */
  public record Consul(String address, String service, double blockFor, Path tokenFile) {}

  /**
   * Envoy's EDS over REST.
   *
   * @param refresh between two questions (ms)
   */
  public record Eds(String address, String cluster, String nodeId, double refresh) {}

  /**
   * SRV records.
   *
   * @param servers the name servers, {@code address:port}
   * @param least the shortest time between two questions (ms), whatever a record's time to live
   * @param most the longest
   */
  public record DnsSrv(String name, List<String> servers, double least, double most) {}

  /** What is wrong with a file: a line for each fault. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    Refused(List<String> faults) {
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
  public static EdgeSettings read(Path file, double warm) throws IOException, Refused {
    return of(new TomlReader(file), warm);
  }

  static EdgeSettings of(TomlReader in, double warm) throws Refused {
    Limits d = Limits.defaults(warm);
    List<String> sources =
        in.texts(
            "membership.sources",
            List.of(AGENT),
            "a list of " + String.join(", ", SOURCES),
            s -> {
              if (!SOURCES.contains(s)) {
                throw new IllegalArgumentException();
              }
            });
    double failOver = in.whole("membership.fail_over_ms", 5000, 500, 10 * MINUTE);
    double upAfter = in.whole("membership.up_after_ms", (long) d.upAfter(), 0, MINUTE);
    double upMost = in.whole("membership.up_after_most_ms", (long) d.upAfterMost(), 0, MINUTE);
    double shrink = in.share("membership.shrink_share", d.shrink());
    double holdShrunk =
        in.whole("membership.hold_shrunk_ms", (long) d.holdShrunk(), 0, 10 * MINUTE);
    double holdEmpty = in.whole("membership.hold_empty_ms", (long) d.holdEmpty(), 0, 60 * MINUTE);
    double old = in.whole("membership.old_after_ms", (long) d.old(), 100, 10 * MINUTE);
    if (upMost < upAfter) {
      in.contradiction(
          "membership.up_after_most_ms", "is less than membership.up_after_ms, " + (long) upAfter);
    }
    if (holdEmpty < holdShrunk) {
      in.contradiction(
          "membership.hold_empty_ms",
          "is less than membership.hold_shrunk_ms, " + (long) holdShrunk);
    }
    Consul consul =
        new Consul(
            address(in, "membership.consul.address", "127.0.0.1:8500"),
            in.text("membership.consul.service", null, "a service's name"),
            in.whole("membership.consul.wait_ms", 5000, 100, 10 * MINUTE),
            path(in.text("membership.consul.token_file", null, "a file's path")));
    if (consul.tokenFile() != null
        && !(Files.isRegularFile(consul.tokenFile()) && Files.isReadable(consul.tokenFile()))) {
      in.contradiction(
          "membership.consul.token_file",
          "'" + consul.tokenFile() + "' is no file that can be read");
    }
    Eds eds =
        new Eds(
            address(in, "membership.eds.address", null),
            in.text("membership.eds.cluster", null, "a cluster's name"),
            in.text("membership.eds.node_id", "nickelstand", "a name"),
            in.whole("membership.eds.refresh_ms", 500, 50, 10 * MINUTE));
    DnsSrv dns =
        new DnsSrv(
            in.text("membership.dns_srv.name", null, "a domain name such as _resp._tcp.example"),
            in.texts(
                "membership.dns_srv.servers", List.of(), "a list of address:port", Config::address),
            in.whole("membership.dns_srv.least_ms", 1000, 100, 60 * MINUTE),
            in.whole("membership.dns_srv.most_ms", 30_000, 100, 24L * 60 * MINUTE));
    if (dns.most() < dns.least()) {
      in.contradiction(
          "membership.dns_srv.most_ms",
          "is less than membership.dns_srv.least_ms, " + (long) dns.least());
    }
    needs(in, sources, CONSUL, "membership.consul.service", consul.service());
    needs(in, sources, EDS, "membership.eds.address", eds.address());
    needs(in, sources, EDS, "membership.eds.cluster", eds.cluster());
    needs(in, sources, DNS_SRV, "membership.dns_srv.name", dns.name());
    needs(in, sources, DNS_SRV, "membership.dns_srv.servers", dns.servers().isEmpty() ? null : "");
    if (sources.size() != sources.stream().distinct().count()) {
      in.contradiction("membership.sources", "names a source twice");
    }
    Bounds repeats = repeats(in);
    int campuses = (int) in.whole("figures.campuses", 0, 0, 10_000);
    int subset = (int) in.whole("subset.servers", Subset.SERVERS, 64, 1_000_000);
    Path store = path(in.text("store.folder", null, "a folder's path"));
    if (store != null
        && (store.toAbsolutePath().getParent() == null
            || !Files.isWritable(
                Files.isDirectory(store) ? store : store.toAbsolutePath().getParent()))) {
      in.contradiction("store.folder", "'" + store + "' is no folder that can be written");
    }
    if (store != null && repeats == null) {
      in.contradiction("store.folder", "is set, and repeats.enabled, which it is for, is not");
    }
    List<String> faults = in.faults();
    if (!faults.isEmpty()) {
      throw new Refused(faults);
    }
    return new EdgeSettings(
        sources,
        failOver,
        consul,
        eds,
        dns,
        new Limits(
            upAfter,
            upMost,
            d.flapWindow(),
            shrink,
            holdShrunk,
            holdEmpty,
            d.answers(),
            d.doubt(),
            d.overlay(),
            old,
            warm,
            d.refusals(),
            d.timeouts()),
        repeats,
        campuses,
        subset,
        store);
  }

  private static Bounds repeats(TomlReader in) {
    Bounds d = Bounds.DEFAULT;
    boolean on = in.flag("repeats.enabled", false);
    Bounds told =
        new Bounds(
            (int) in.whole("repeats.entries", d.entries(), 1, 1_000_000),
            in.whole("repeats.answer_bytes", d.bytes(), 0, 1L << 30),
            in.whole("repeats.keep_ms", (long) d.keep(), 100, 10 * MINUTE),
            (int) in.whole("repeats.followers", d.followers(), 0, 1000),
            in.choice("repeats.when_full", FULL.get(0), FULL).equals(FULL.get(1)));
    return on ? told : null;
  }

  private static void needs(
      TomlReader in, List<String> sources, String source, String key, String value) {
    if (sources.contains(source) && value == null) {
      in.contradiction("membership.sources", "names '" + source + "', and " + key + " is not set");
    }
  }

  private static String address(TomlReader in, String key, String other) {
    String text = in.text(key, other, "address:port, numeric");
    if (text != null) {
      try {
        Config.address(text);
      } catch (IllegalArgumentException e) {
        in.contradiction(key, "found '" + text + "', allowed is address:port, numeric");
      }
    }
    return text;
  }

  private static Path path(String text) {
    return text == null ? null : Path.of(text);
  }
}
