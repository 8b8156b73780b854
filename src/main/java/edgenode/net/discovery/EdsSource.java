package edgenode.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSourceListener;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Envoy's endpoint discovery over REST (xDS protocol, "REST-JSON polling subscriptions"): a POST to
 * {@code /v3/discovery:endpoints} each so often, with the version and the nonce of the answer
 * before; an answer that cannot be used is rejected with {@code error_detail} and the version that
 * is still in force. Both spellings of proto3 JSON are read.
 *
 * <p>{@code HEALTHY} and {@code UNKNOWN} are up, {@code DEGRADED} is up with a tenth of its weight,
 * {@code DRAINING}, {@code UNHEALTHY} and {@code TIMEOUT} are out of service. Only the first
 * priority that has an endpoint counts.
 */
public final class EdsSource extends HttpPollingSource {
  private static final String TYPE =
      "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final double WITHIN = 1000;
  private static final double DEGRADED = 0.1;
  private static final int MESSAGE = 200;
  private final String cluster;
  private final String nodeId;
  private final double refresh;
  private String version = "";
  private String nonce = "";
  private String rejected;

  public EdsSource(
      EdgeEventLoop loop,
      EndpointSourceListener sink,
      InetSocketAddress address,
      String space,
      String cluster,
      String nodeId,
      double refresh) {
    super(loop, sink, address, space);
    this.cluster = cluster;
    this.nodeId = nodeId;
    this.refresh = refresh;
  }

  @Override
  FullHttpRequest question() {
    byte[] body = discoveryRequest().getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/v3/discovery:endpoints",
            Unpooled.wrappedBuffer(body));
    request
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  private String discoveryRequest() {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = FACTORY.createGenerator(text)) {
      out.writeStartObject();
      out.writeStringField("version_info", version);
      out.writeObjectFieldStart("node");
      out.writeStringField("id", nodeId);
      out.writeEndObject();
      out.writeArrayFieldStart("resource_names");
      out.writeString(cluster);
      out.writeEndArray();
      out.writeStringField("type_url", TYPE);
      out.writeStringField("response_nonce", nonce);
      if (rejected != null) {
        out.writeObjectFieldStart("error_detail");
        out.writeNumberField("code", 3); // INVALID_ARGUMENT
        out.writeStringField("message", rejected);
        out.writeEndObject();
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a writer to memory has none
    }
    return text.toString();
  }

  @Override
  double within() {
    return WITHIN;
  }

  @Override
  double pause() {
    return refresh;
  }

  @Override
  void forget() {
    nonce = "";
  }

  private static JsonValue get(JsonValue in, String snake, String camel) {
    JsonValue found = in.get(snake);
    return found.isNull() ? in.get(camel) : found;
  }

  @Override
  List<DiscoveredEndpoint> answer(FullHttpResponse response) throws IOException {
    JsonValue all = JsonValue.parse(bytes(response.content()));
    String toldNonce = all.get("nonce").textOr("");
    String told = get(all, "version_info", "versionInfo").textOr("");
    if (!told.isEmpty() && told.equals(version)) {
      nonce = toldNonce;
      return null;
    }
    try {
      List<DiscoveredEndpoint> entries = entries(all);
      version = told;
      nonce = toldNonce;
      rejected = null;
      return entries;
    } catch (IllegalArgumentException e) { // the list in force stays; it is told why
      nonce = toldNonce;
      String text = String.valueOf(e.getMessage());
      boolean news = !text.equals(rejected);
      rejected = text.length() > MESSAGE ? text.substring(0, MESSAGE) : text;
      if (news) {
        loop.logLine("discovery: version '" + told + "' at " + space + " is rejected: " + rejected);
      }
      return null;
    }
  }

  private List<DiscoveredEndpoint> entries(JsonValue all) {
    String type = get(all, "type_url", "typeUrl").textOr(TYPE);
    if (!type.equals(TYPE)) {
      throw new IllegalArgumentException("type " + type);
    }
    if (!all.get("resources").isArray()) {
      throw new IllegalArgumentException("no resources");
    }
    for (JsonValue resource : all.get("resources").elements()) {
      if (get(resource, "cluster_name", "clusterName").textOr("").equals(cluster)) {
        return assignment(resource);
      }
    }
    throw new IllegalArgumentException("no resource for cluster " + cluster);
  }

  private static List<DiscoveredEndpoint> assignment(JsonValue resource) {
    double first =
        resource.get("endpoints").elements().stream()
            .filter(l -> !get(l, "lb_endpoints", "lbEndpoints").elements().isEmpty())
            .mapToDouble(l -> l.get("priority").numberOr(0))
            .min()
            .orElse(0);
    List<DiscoveredEndpoint> entries = new ArrayList<>();
    for (JsonValue locality : resource.get("endpoints").elements()) {
      if (locality.get("priority").numberOr(0) != first) {
        continue;
      }
      String zone = locality.get("locality").get("zone").textOr("");
      for (JsonValue each : get(locality, "lb_endpoints", "lbEndpoints").elements()) {
        JsonValue at = get(each.get("endpoint").get("address"), "socket_address", "socketAddress");
        String host = at.get("address").textOr("");
        String dial =
            (host.indexOf(':') >= 0 ? "[" + host + "]" : host)
                + ":"
                + (int) get(at, "port_value", "portValue").numberOr(0);
        NodeConfig.parseAddress(dial);
        String health = get(each, "health_status", "healthStatus").textOr("UNKNOWN");
        boolean up =
            health.equals("HEALTHY") || health.equals("UNKNOWN") || health.equals("DEGRADED");
        double weight = get(each, "load_balancing_weight", "loadBalancingWeight").numberOr(1);
        String name = each.get("endpoint").get("hostname").textOr("");
        entries.add(
            new DiscoveredEndpoint(
                new EndpointInfo(
                    name.isEmpty() ? dial : name,
                    0,
                    zone,
                    up && weight > 0 ? EndpointState.UP : EndpointState.DRAINING,
                    "",
                    0,
                    Math.max(0, health.equals("DEGRADED") ? DEGRADED * weight : weight)),
                dial));
      }
    }
    return entries;
  }
}
