package edgenode.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Emulates an xDS management server that serves endpoints over REST, from Envoy's public pages.
 * Safe for use by several threads.
 */
public final class EdsEmulator extends HttpEmulatorServer {
  private String version = "";
  private String resources = "";
  private String typeUrl = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
  private long nonce;
  private final List<String> requests = new ArrayList<>();

  /** Listens; {@link #set} must come before the first request. */
  public EdsEmulator() throws IOException {}

  /** What is served from now on: the resources as a JSON array. */
  public synchronized void set(String newVersion, String json) {
    version = newVersion;
    resources = json;
  }

  /** Replaces the type URL of the responses. */
  public synchronized void typeUrl(String url) {
    typeUrl = url;
  }

  /** The requests so far: method, path and body. */
  public synchronized List<String> requests() {
    return List.copyOf(requests);
  }

  /** Resources with one locality and its endpoints, each {@code address port health weight}. */
  public static String clusterJson(String name, String... endpoints) {
    StringBuilder json =
        new StringBuilder(
            "[{\"@type\":\"type.googleapis.com/envoy.config.endpoint.v3."
                + "ClusterLoadAssignment\",\"cluster_name\":\""
                + name
                + "\",\"endpoints\":[{\"locality\":"
                + "{\"region\":\"r\",\"zone\":\"z1\"},\"priority\":0,\"lb_endpoints\":[");
    for (int i = 0; i < endpoints.length; i++) {
      String[] fields = endpoints[i].split(" ");
      json.append(i == 0 ? "" : ",")
          .append("{\"endpoint\":{\"address\":{\"socket_address\":{\"address\":\"")
          .append(fields[0])
          .append("\",\"port_value\":")
          .append(fields[1])
          .append("}}},\"health_status\":\"")
          .append(fields[2])
          .append("\",\"load_balancing_weight\":")
          .append(fields[3])
          .append('}');
    }
    return json + "]}]}]";
  }

  @Override
  protected synchronized HttpResponse answer(HttpRequest request) {
    requests.add(request.method() + " " + request.path() + " " + request.body());
    if (!request.method().equals("POST") || !request.path().equals("/v3/discovery:endpoints")) {
      return new HttpResponse(404, "", "");
    }
    return new HttpResponse(
        200,
        "",
        "{\"version_info\":\""
            + version
            + "\",\"resources\":"
            + resources
            + ",\"type_url\":\""
            + typeUrl
            + "\",\"nonce\":\""
            + ++nonce
            + "\"}");
  }
}
