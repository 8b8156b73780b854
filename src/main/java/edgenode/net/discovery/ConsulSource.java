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
import java.util.Optional;

/**
 * Consul's {@code /v1/health/service/NAME} by blocking queries (its pages "Health HTTP endpoint"
 * and "Blocking queries"). The index of each response goes with the next request, which then waits
 * for a change; an index that goes back, or is not above 0, starts again from none. Consul
 * lengthens the wait by up to a sixteenth of itself.
 *
 * <p>Checks: {@code passing} is up with the passing weight, {@code warning} is up with the warning
 * weight, {@code maintenance} and {@code critical} are draining. The meta keys {@code born_ms},
 * {@code block} and {@code class} give the start, cell and kind.
 */
public final class ConsulSource extends HttpPollingSource {
  /** For the network and for a busy Consul, beyond the time that it waits for a change. */
  private static final double TIMEOUT_SLACK_MS = 1000;

  /** Without an index Consul does not wait: the next request is sent after a pause. */
  private static final double PAUSE_WITHOUT_INDEX_MS = 1000;

  private final String encodedService;
  private final double waitMs;
  private final String token;
  private long index;
  private String lastSkipped = "";

  /**
   * Creates a source that connects when it is started.
   *
   * @param sourceId the name that is given to the listener with each report
   * @param service the name of the service
   * @param waitMs how long a request waits for a change
   * @param token the ACL token, or null; never logged
   */
  public ConsulSource(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      InetSocketAddress address,
      String sourceId,
      String service,
      double waitMs,
      String token) {
    super(loop, listener, address, sourceId);
    encodedService = URLEncoder.encode(service, StandardCharsets.UTF_8).replace("+", "%20");
    this.waitMs = waitMs;
    this.token = token;
  }

  @Override
  FullHttpRequest nextRequest() {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            "/v1/health/service/"
                + encodedService
                + (index > 0 ? "?index=" + index + "&wait=" + Math.round(waitMs) + "ms" : ""));
    if (token != null) {
      request.headers().set("X-Consul-Token", token);
    }
    return request;
  }

  @Override
  double responseTimeoutMs() {
    return index > 0 ? waitMs * 17 / 16 + TIMEOUT_SLACK_MS : TIMEOUT_SLACK_MS;
  }

  @Override
  double pauseMs() {
    return index > 0 ? 0 : PAUSE_WITHOUT_INDEX_MS;
  }

  @Override
  void forgetLastResponse() {
    index = 0;
  }

  @Override
  Optional<List<DiscoveredEndpoint>> parse(FullHttpResponse response) throws IOException {
    JsonValue instances = JsonValue.parse(copyOf(response.content()));
    if (!instances.isArray()) {
      throw new IOException("an array expected");
    }
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    for (JsonValue instance : instances.elements()) {
      try {
        endpoints.add(parseInstance(instance));
      } catch (IllegalArgumentException e) {
        reportSkipped(e.getMessage());
      }
    }
    long newIndex = parseIndex(response.headers().get("X-Consul-Index"));
    boolean isUnchanged = newIndex == index && index > 0; // the wait has ended without a change
    index = newIndex < index ? 0 : newIndex;
    return isUnchanged ? Optional.empty() : Optional.of(endpoints);
  }

  /** Logged once in a row: the same fault comes with every response. */
  private void reportSkipped(String reason) {
    if (!lastSkipped.equals(reason)) {
      lastSkipped = reason;
      loop.logLine("discovery: skipped an instance from " + sourceId + ": " + reason);
    }
  }

  private static long parseIndex(String text) {
    try {
      return text == null ? 0 : Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static DiscoveredEndpoint parseInstance(JsonValue instance) {
    JsonValue service = instance.get("Service");
    String host = service.get("Address").textOr("");
    host = host.isEmpty() ? instance.get("Node").get("Address").textOr("") : host;
    String address = addressOf(host, (int) service.get("Port").numberOr(0));
    NodeConfig.parseAddress(address);
    boolean isWarning = false;
    boolean isOutOfService = false;
    for (JsonValue check : instance.get("Checks").elements()) {
      String status = check.get("Status").textOr("");
      isWarning |= status.equals("warning");
      isOutOfService |= !status.equals("warning") && !status.equals("passing");
    }
    double weight = service.get("Weights").get(isWarning ? "Warning" : "Passing").numberOr(1);
    JsonValue meta = service.get("Meta");
    return new DiscoveredEndpoint(
        new EndpointInfo(
            service.get("ID").textOr(""),
            (int) meta.get("block").numberOr(0),
            instance.get("Node").get("Datacenter").textOr(""),
            isOutOfService || weight <= 0 ? EndpointState.DRAINING : EndpointState.UP,
            meta.get("class").textOr(""),
            meta.get("born_ms").numberOr(0),
            Math.max(0, weight)),
        address);
  }
}
