package edgenode.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import edgenode.config.JsonValue;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSourceListener;
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
import java.util.List;
import java.util.Optional;

/**
 * Envoy's endpoint discovery over REST (xDS protocol, "REST-JSON polling subscriptions"): a POST to
 * {@code /v3/discovery:endpoints} at an interval, with the version and the nonce of the last
 * response. A response that cannot be used is rejected with {@code error_detail} and the version
 * that stays in force. {@link EdsResponse} has the meaning of a response.
 */
public final class EdsSource extends HttpPollingSource {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final double RESPONSE_TIMEOUT_MS = 1000;

  /** The code of an {@code error_detail}: a {@code google.rpc.Code}. */
  private static final int INVALID_ARGUMENT = 3;

  private static final int MAX_ERROR_CHARS = 200;

  private final String cluster;
  private final String nodeId;
  private final double refreshMs;
  private String versionInForce = "";
  private String lastNonce = "";

  /** Why the last response was rejected, null where it was not. */
  private String rejectionReason;

  /**
   * Creates a source that connects when it is started.
   *
   * @param sourceId the name that is given to the listener with each report
   * @param cluster the cluster whose endpoints are requested
   * @param nodeId the id under which this node asks
   * @param refreshMs the time between a response and the next request
   */
  public EdsSource(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      InetSocketAddress address,
      String sourceId,
      String cluster,
      String nodeId,
      double refreshMs) {
    super(loop, listener, address, sourceId);
    this.cluster = cluster;
    this.nodeId = nodeId;
    this.refreshMs = refreshMs;
  }

  @Override
  FullHttpRequest nextRequest() {
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
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("version_info", versionInForce);
      json.writeObjectFieldStart("node");
      json.writeStringField("id", nodeId);
      json.writeEndObject();
      json.writeArrayFieldStart("resource_names");
      json.writeString(cluster);
      json.writeEndArray();
      json.writeStringField("type_url", EdsResponse.TYPE_URL);
      json.writeStringField("response_nonce", lastNonce);
      if (rejectionReason != null) {
        json.writeObjectFieldStart("error_detail");
        json.writeNumberField("code", INVALID_ARGUMENT);
        json.writeStringField("message", rejectionReason);
        json.writeEndObject();
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // writing to memory does not fail
    }
    return text.toString();
  }

  @Override
  double responseTimeoutMs() {
    return RESPONSE_TIMEOUT_MS;
  }

  @Override
  double pauseMs() {
    return refreshMs;
  }

  @Override
  void forgetLastResponse() {
    lastNonce = "";
  }

  @Override
  Optional<List<DiscoveredEndpoint>> parse(FullHttpResponse response) throws IOException {
    EdsResponse answer = new EdsResponse(JsonValue.parse(copyOf(response.content())));
    lastNonce = answer.nonce();
    String version = answer.version();
    if (!version.isEmpty() && version.equals(versionInForce)) {
      return Optional.empty();
    }
    try {
      List<DiscoveredEndpoint> endpoints = answer.endpoints(cluster);
      versionInForce = version;
      rejectionReason = null;
      return Optional.of(endpoints);
    } catch (IllegalArgumentException e) { // the list in force stays
      reject(version, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  /** The next request gives the reason; it is logged once in a row. */
  private void reject(String version, String reason) {
    boolean isNew = !reason.equals(rejectionReason);
    rejectionReason =
        reason.length() > MAX_ERROR_CHARS ? reason.substring(0, MAX_ERROR_CHARS) : reason;
    if (isNew) {
      loop.logLine(
          "discovery: rejected version '"
              + version
              + "' from "
              + sourceId
              + ": "
              + rejectionReason);
    }
  }
}
