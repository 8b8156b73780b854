package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import io.netty.channel.AddressedEnvelope;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.dns.DefaultDnsQuestion;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.handler.codec.dns.DnsResponse;
import io.netty.handler.codec.dns.DnsResponseCode;
import io.netty.resolver.dns.DnsNameResolver;
import io.netty.resolver.dns.DnsNameResolverBuilder;
import io.netty.resolver.dns.SequentialDnsServerAddressStreamProvider;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * DNS SRV records (RFC 2782): the targets of the lowest priority, with their weights, their
 * addresses from the additional section of the response or looked up. The query is repeated when
 * the shortest time to live has passed, within two bounds. A name that does not exist (NXDOMAIN),
 * or whose only target is the root, is an empty list; a response that does not come or cannot be
 * read changes nothing. DNS knows no draining: a target that is not listed is removed.
 */
public final class DnsSrvSource implements EndpointSource {
  private static final int QUERY_TIMEOUT_MS = 1000;
  private static final int MAX_QUERIES_PER_RESOLVE = 4;
  private static final double INITIAL_BACKOFF_MS = 200;

  private final EdgeEventLoop loop;
  private final EndpointSourceListener listener;
  private final String sourceId;
  private final String service;
  private final double minIntervalMs;
  private final double maxIntervalMs;
  private final DnsNameResolver resolver;
  private final ExponentialBackoffPolicy backoff;

  /** The addresses of the targets reported last, used where a look-up fails. */
  private final Map<String, String> lastAddresses = new HashMap<>();

  private List<DiscoveredEndpoint> lastList;
  private long version;
  private boolean isRetired;
  private boolean isQuerying;
  private Future<?> nextQuery;

  /**
   * Creates a source that queries when it is started.
   *
   * @param nameServers the name servers, in the order in which they are queried
   * @param sourceId the name that is given to the listener with each report
   * @param service the name that has the SRV records
   * @param minIntervalMs the shortest time between two queries
   * @param maxIntervalMs the longest time between two queries
   */
  public DnsSrvSource(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      List<InetSocketAddress> nameServers,
      String sourceId,
      String service,
      double minIntervalMs,
      double maxIntervalMs) {
    this.loop = loop;
    this.listener = listener;
    this.sourceId = sourceId;
    this.service = service.endsWith(".") ? service : service + ".";
    this.minIntervalMs = minIntervalMs;
    this.maxIntervalMs = maxIntervalMs;
    backoff = new ExponentialBackoffPolicy(INITIAL_BACKOFF_MS, loop.nowMs());
    EventLoop eventLoop = loop.group().next();
    resolver =
        new DnsNameResolverBuilder(eventLoop)
            .datagramChannelType(loop.transport().datagramChannelType())
            .socketChannelType(loop.transport().streamChannelType(), true)
            .queryTimeoutMillis(QUERY_TIMEOUT_MS)
            .maxQueriesPerResolve(MAX_QUERIES_PER_RESOLVE)
            .nameServerProvider(new SequentialDnsServerAddressStreamProvider(nameServers))
            .searchDomains(List.of())
            .ndots(1)
            .ttl(0, 1)
            .negativeTtl(0)
            .build();
  }

  @Override
  public void start() {
    query();
  }

  @Override
  public void resync() {
    lastList = null;
    query();
  }

  @Override
  public void retire(double graceMs) {
    isRetired = true;
    resolver.close();
    listener.sourceClosed(sourceId);
  }

  // ---- queries ----

  private void query() {
    if (isRetired || isQuerying) {
      return;
    }
    isQuerying = true;
    Future<AddressedEnvelope<DnsResponse, InetSocketAddress>> answer =
        resolver.query(new DefaultDnsQuestion(service, DnsRecordType.SRV));
    answer.addListener(
        result -> {
          if (isRetired) {
            if (result.isSuccess()) {
              answer.getNow().release();
            }
            return;
          }
          if (result.isSuccess()) {
            receive(answer.getNow());
          } else {
            failed(String.valueOf(result.cause().getMessage()));
          }
          loop.flushPending();
        });
  }

  private void receive(AddressedEnvelope<DnsResponse, InetSocketAddress> envelope) {
    try {
      read(envelope.content());
    } catch (RuntimeException e) {
      failed(String.valueOf(e.getMessage()));
    } finally {
      envelope.release();
    }
  }

  private void read(DnsResponse response) {
    if (response.code().equals(DnsResponseCode.NXDOMAIN)) {
      report(List.of(), minIntervalMs);
      return;
    }
    if (!response.code().equals(DnsResponseCode.NOERROR)) {
      throw new IllegalStateException(response.code().toString());
    }
    lookUpAddresses(SrvRecords.read(response, maxIntervalMs));
  }

  private void failed(String reason) {
    isQuerying = false;
    loop.logLine("discovery: rejected a response from " + sourceId + ": " + reason);
    listener.requestFailed(sourceId, false);
    queryAfter(backoff.nextDelayMs());
  }

  /** Sends the next query after a time; one that was scheduled before is dropped. */
  private void queryAfter(double delayMs) {
    if (nextQuery != null) {
      nextQuery.cancel(false);
    }
    nextQuery = loop.schedule(delayMs, this::query);
  }

  // ---- the list ----

  /** Looks up the first address that is missing, and goes on from there. */
  private void lookUpAddresses(SrvRecords records) {
    for (SrvRecords.Target target : records.targets()) {
      if (!records.addresses().containsKey(target.name())) {
        lookUpAddress(target.name(), records);
        return;
      }
    }
    report(toEndpoints(records), records.ttlMs());
  }

  private void lookUpAddress(String name, SrvRecords records) {
    Future<InetAddress> answer = resolver.resolve(name);
    answer.addListener(
        result -> {
          if (isRetired) {
            return;
          }
          String address =
              result.isSuccess()
                  ? answer.getNow().getHostAddress()
                  : lastAddresses.getOrDefault(name, "");
          records.addresses().put(name, address);
          lookUpAddresses(records);
          loop.flushPending();
        });
  }

  private List<DiscoveredEndpoint> toEndpoints(SrvRecords records) {
    lastAddresses.clear();
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    for (SrvRecords.Target target : records.targets()) {
      String host = records.addresses().get(target.name());
      if (host.isEmpty()) {
        loop.logLine(
            "discovery: skipped target "
                + target.name()
                + " from "
                + sourceId
                + ": it has no address");
        continue;
      }
      lastAddresses.put(target.name(), host);
      endpoints.add(
          new DiscoveredEndpoint(
              new EndpointInfo(
                  target.name() + ":" + target.port(),
                  0,
                  "",
                  EndpointState.UP,
                  "",
                  0,
                  Math.max(1, target.weight())),
              HttpPollingSource.addressOf(host, target.port())));
    }
    endpoints.sort(Comparator.comparing(DiscoveredEndpoint::address));
    return endpoints;
  }

  private void report(List<DiscoveredEndpoint> endpoints, double ttlMs) {
    isQuerying = false;
    backoff.reset();
    if (endpoints.equals(lastList)) {
      listener.sourceConfirmed(sourceId);
    } else {
      lastList = endpoints;
      version++;
      listener.endpointsReceived(sourceId, version, true, endpoints);
    }
    queryAfter(Math.max(minIntervalMs, Math.min(maxIntervalMs, ttlMs)));
  }
}
