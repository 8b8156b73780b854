package edgenode.net.discovery;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSourceListener;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Consul's {@code /v1/health/service/NAME} by blocking queries (its pages "Health HTTP endpoint"
 * and "Blocking queries"): the index of each answer goes with the next question, which then waits
 * for a change; an index that goes back, or is not above 0, starts again from none. The wait is
 * lengthened by up to a sixteenth of itself there.
 *
 * <p>Checks map as: {@code passing} is up with the passing weight, {@code warning} up with the
 * warning weight, {@code maintenance} and {@code critical} take it out of service. A meta key
 * {@code born_ms} tells a start.
 */
public final class ConsulSource extends HttpPollingSource {
  private static final double SLACK = 1000;
  private final String service;
  private final double wait;
  private final String token;
  private long index;
  private String said = "";

  /**
   * @param token the ACL token, or null; never logged
   */
  public ConsulSource(
      EdgeEventLoop loop,
      EndpointSourceListener sink,
      InetSocketAddress address,
      String space,
      String service,
      double wait,
      String token) {
    super(loop, sink, address, space);
    this.service = URLEncoder.encode(service, StandardCharsets.UTF_8).replace("+", "%20");
    this.wait = wait;
    this.token = token;
  }

  @Override
  FullHttpRequest question() {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            "/v1/health/service/"
                + service
                + (index > 0 ? "?index=" + index + "&wait=" + Math.round(wait) + "ms" : ""));
    if (token != null) {
      request.headers().set("X-Consul-Token", token);
    }
    return request;
  }

  @Override
  double within() {
    return index > 0 ? wait * 17 / 16 + SLACK : SLACK;
  }

  @Override
  double pause() {
    return index > 0 ? 0 : SLACK; // without an index it would not wait there
  }

  @Override
  void forget() {
    index = 0;
  }

  @Override
  List<DiscoveredEndpoint> answer(FullHttpResponse response) throws IOException {
    JsonValue all = JsonValue.parse(bytes(response.content()));
    if (!all.isArray()) {
      throw new IOException("an array expected");
    }
    List<DiscoveredEndpoint> entries = new ArrayList<>();
    for (JsonValue each : all.elements()) {
      try {
        entries.add(entry(each));
      } catch (IllegalArgumentException e) {
        if (!said.equals(e.getMessage())) {
          said = e.getMessage();
          loop.logLine("discovery: an instance at " + space + " is left out: " + said);
        }
      }
    }
    long told = index(response.headers().get("X-Consul-Index"));
    boolean same = told == index && index > 0; // the wait is over, nothing has changed
    index = told < index ? 0 : told;
    return same ? null : entries;
  }

  private static long index(String text) {
    try {
      return text == null ? 0 : Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static DiscoveredEndpoint entry(JsonValue each) {
    JsonValue service = each.get("Service");
    String host = service.get("Address").textOr("");
    host = host.isEmpty() ? each.get("Node").get("Address").textOr("") : host;
    String dial =
        (host.indexOf(':') >= 0 ? "[" + host + "]" : host)
            + ":"
            + (int) service.get("Port").numberOr(0);
    NodeConfig.parseAddress(dial);
    boolean warning = false;
    boolean out = false;
    for (JsonValue check : each.get("Checks").elements()) {
      String status = check.get("Status").textOr("");
      warning |= status.equals("warning");
      out |= !status.equals("warning") && !status.equals("passing");
    }
    JsonValue weights = service.get("Weights");
    double weight = weights.get(warning ? "Warning" : "Passing").numberOr(1);
    JsonValue meta = service.get("Meta");
    return new DiscoveredEndpoint(
        new EndpointInfo(
            service.get("ID").textOr(""),
            (int) meta.get("block").numberOr(0),
            each.get("Node").get("Datacenter").textOr(""),
            out || weight <= 0 ? EndpointState.DRAINING : EndpointState.UP,
            meta.get("class").textOr(""),
            meta.get("born_ms").numberOr(0),
            Math.max(0, weight)),
        dial);
  }
}
