package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AddressedEnvelope;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.dns.DefaultDnsQuestion;
import io.netty.handler.codec.dns.DefaultDnsRecordDecoder;
import io.netty.handler.codec.dns.DnsRawRecord;
import io.netty.handler.codec.dns.DnsRecord;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.handler.codec.dns.DnsResponse;
import io.netty.handler.codec.dns.DnsResponseCode;
import io.netty.handler.codec.dns.DnsSection;
import io.netty.resolver.dns.DnsNameResolver;
import io.netty.resolver.dns.DnsNameResolverBuilder;
import io.netty.resolver.dns.SequentialDnsServerAddressStreamProvider;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * SRV records (RFC 2782): the targets of the lowest priority, with their weights, addresses from
 * the answer's additional section or asked for. Asked again when the shortest time to live has
 * passed, held between two bounds. A name that does not exist any more (NXDOMAIN), or whose only
 * target is the root, is an empty list; an answer that does not come or cannot be read changes
 * nothing. DNS knows no draining: a target that is not named is gone.
 */
public final class DnsSrvSource implements EndpointSource {
  private static final int QUERY = 1000;
  private static final int QUERIES = 4;
  private static final int MOST = 4096;
  private static final double BACKOFF = 200;
  private final EdgeEventLoop loop;
  private final EndpointSourceListener sink;
  private final String space;
  private final String name;
  private final double least;
  private final double most;
  private final DnsNameResolver resolver;

  /** The addresses of the targets told last. */
  private final Map<String, String> known = new HashMap<>();

  private List<DiscoveredEndpoint> before;
  private long version;
  private boolean left;
  private boolean asking;
  private Future<?> next;
  private final ExponentialBackoffPolicy backoff;

  private record Target(String name, int priority, int weight, int port) {}

  /**
   * @param servers the name servers, in the order in which they are asked
   * @param least the shortest time between two questions (ms)
   * @param most the longest
   */
  public DnsSrvSource(
      EdgeEventLoop loop,
      EndpointSourceListener sink,
      List<InetSocketAddress> servers,
      String space,
      String name,
      double least,
      double most) {
    this.loop = loop;
    this.sink = sink;
    this.space = space;
    this.name = name.endsWith(".") ? name : name + ".";
    this.least = least;
    this.most = most;
    backoff = new ExponentialBackoffPolicy(BACKOFF, loop.nowMs());
    EventLoop own = loop.group().next();
    resolver =
        new DnsNameResolverBuilder(own)
            .datagramChannelType(loop.transport().datagramChannelType())
            .socketChannelType(loop.transport().streamChannelType(), true)
            .queryTimeoutMillis(QUERY)
            .maxQueriesPerResolve(QUERIES)
            .nameServerProvider(new SequentialDnsServerAddressStreamProvider(servers))
            .searchDomains(List.of())
            .ndots(1)
            .ttl(0, 1)
            .negativeTtl(0)
            .build();
  }

  @Override
  public void start() {
    ask();
  }

  @Override
  public void resync() {
    before = null;
    ask();
  }

  @Override
  public void retire(double within) {
    left = true;
    resolver.close();
    sink.sourceClosed(space);
  }

  /** One chain of questions only, however often it is asked anew. */
  private void askAfter(double ms) {
    if (next != null) {
      next.cancel(false);
    }
    next = loop.schedule(ms, this::ask);
  }

  private void ask() {
    if (left || asking) {
      return;
    }
    asking = true;
    Future<AddressedEnvelope<DnsResponse, InetSocketAddress>> answer =
        resolver.query(new DefaultDnsQuestion(name, DnsRecordType.SRV));
    answer.addListener(
        f -> {
          if (left) {
            if (f.isSuccess()) {
              answer.getNow().release();
            }
            return;
          }
          if (f.isSuccess()) {
            AddressedEnvelope<DnsResponse, InetSocketAddress> envelope = answer.getNow();
            try {
              answer(envelope.content());
            } catch (RuntimeException e) {
              failed(String.valueOf(e.getMessage()));
            } finally {
              envelope.release();
            }
          } else {
            failed(String.valueOf(f.cause().getMessage()));
          }
          loop.flushPending();
        });
  }

  private void failed(String why) {
    asking = false;
    loop.logLine("discovery: no use of an answer from " + space + ": " + why);
    sink.requestFailed(space, false);
    askAfter(backoff.nextDelayMs());
  }

  private void answer(DnsResponse response) {
    if (response.code().equals(DnsResponseCode.NXDOMAIN)) {
      tell(List.of(), least);
      return;
    }
    if (!response.code().equals(DnsResponseCode.NOERROR)) {
      throw new IllegalStateException(response.code().toString());
    }
    List<Target> targets = new ArrayList<>();
    Map<String, String> addresses = new HashMap<>();
    double ttl = most;
    for (DnsSection section : List.of(DnsSection.ANSWER, DnsSection.ADDITIONAL)) {
      int n = Math.min(MOST, response.count(section));
      for (int i = 0; i < n; i++) {
        DnsRecord record = response.recordAt(section, i);
        if (!(record instanceof DnsRawRecord raw)) {
          continue;
        }
        if (record.type().equals(DnsRecordType.SRV) && section == DnsSection.ANSWER) {
          Target t = target(raw.content());
          if (!t.name.equals(".")) { // RFC 2782: the service is decidedly not available
            targets.add(t);
          }
          ttl = Math.min(ttl, record.timeToLive() * 1000.0);
        } else if (record.type().equals(DnsRecordType.A)
            || record.type().equals(DnsRecordType.AAAA)) {
          byte[] bytes = new byte[raw.content().readableBytes()];
          raw.content().getBytes(raw.content().readerIndex(), bytes);
          if (bytes.length == 4 || bytes.length == 16) {
            addresses.putIfAbsent(lower(record.name()), NetUtil.bytesToIpAddress(bytes));
            ttl = Math.min(ttl, record.timeToLive() * 1000.0);
          }
        }
      }
    }
    int first = targets.stream().mapToInt(Target::priority).min().orElse(0);
    targets.removeIf(t -> t.priority != first);
    resolve(targets, addresses, ttl);
  }

  /** SRV data: priority, weight and port of two bytes each, then the target's name. */
  private static Target target(ByteBuf content) {
    ByteBuf in = content.duplicate();
    if (in.readableBytes() < 7) {
      throw new IllegalStateException("an SRV record is too short");
    }
    int priority = in.readUnsignedShort();
    int weight = in.readUnsignedShort();
    int port = in.readUnsignedShort();
    return new Target(lower(DefaultDnsRecordDecoder.decodeName(in)), priority, weight, port);
  }

  private static String lower(String of) {
    return of.toLowerCase(Locale.ROOT);
  }

  private void resolve(List<Target> targets, Map<String, String> addresses, double ttl) {
    for (Target t : targets) {
      if (!addresses.containsKey(t.name)) {
        Future<java.net.InetAddress> one = resolver.resolve(t.name);
        one.addListener(
            f -> {
              if (left) {
                return;
              }
              addresses.put(
                  t.name,
                  f.isSuccess()
                      ? one.getNow().getHostAddress()
                      : known.getOrDefault(t.name, "")); // a look-up that fails says nothing new
              resolve(targets, addresses, ttl);
              loop.flushPending();
            });
        return;
      }
    }
    known.clear();
    List<DiscoveredEndpoint> entries = new ArrayList<>();
    for (Target t : targets) {
      String at = addresses.get(t.name);
      if (at.isEmpty()) {
        loop.logLine(
            "discovery: target " + t.name + " of " + space + " has no address and is left out");
        continue;
      }
      known.put(t.name, at);
      entries.add(
          new DiscoveredEndpoint(
              new EndpointInfo(
                  t.name + ":" + t.port, 0, "", EndpointState.UP, "", 0, Math.max(1, t.weight)),
              (at.indexOf(':') >= 0 ? "[" + at + "]" : at) + ":" + t.port));
    }
    entries.sort(Comparator.comparing(DiscoveredEndpoint::address));
    tell(entries, ttl);
  }

  private void tell(List<DiscoveredEndpoint> entries, double ttl) {
    asking = false;
    backoff.reset();
    if (entries.equals(before)) {
      sink.sourceConfirmed(space);
    } else {
      before = entries;
      sink.endpointsReceived(space, ++version, true, entries);
    }
    askAfter(Math.max(least, Math.min(most, ttl)));
  }
}
