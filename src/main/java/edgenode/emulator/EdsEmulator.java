package edgenode.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A stand-in for an xDS management server that serves endpoints over REST, from Envoy's public
 * pages.
 */
public final class EdsEmulator extends HttpEmulatorServer {
  private String version = "";
  private String resources = "";
  private String type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
  private long nonce;
  private final List<String> asked = new ArrayList<>();

  public EdsEmulator() throws IOException {}

  /** What is served from now on: the JSON of the resources, in an array. */
  public synchronized void set(String newVersion, String json) {
    version = newVersion;
    resources = json;
  }

  public synchronized void type(String url) {
    type = url;
  }

  /** The bodies of the questions so far. */
  public synchronized List<String> asked() {
    return List.copyOf(asked);
  }

  /** One locality with endpoints, each {@code address port health weight}. */
  public static String cluster(String name, String... endpoints) {
    StringBuilder all =
        new StringBuilder(
            "[{\"@type\":\"type.googleapis.com/envoy.config.endpoint.v3."
                + "ClusterLoadAssignment\",\"cluster_name\":\""
                + name
                + "\",\"endpoints\":[{\"locality\":"
                + "{\"region\":\"r\",\"zone\":\"z1\"},\"priority\":0,\"lb_endpoints\":[");
    for (int i = 0; i < endpoints.length; i++) {
      String[] e = endpoints[i].split(" ");
      all.append(i == 0 ? "" : ",")
          .append("{\"endpoint\":{\"address\":{\"socket_address\":{\"address\":\"")
          .append(e[0])
          .append("\",\"port_value\":")
          .append(e[1])
          .append("}}},\"health_status\":\"")
          .append(e[2])
          .append("\",\"load_balancing_weight\":")
          .append(e[3])
          .append('}');
    }
    return all + "]}]}]";
  }

  @Override
  protected synchronized Answer answer(Question question) {
    asked.add(question.method() + " " + question.path() + " " + question.body());
    if (!question.method().equals("POST") || !question.path().equals("/v3/discovery:endpoints")) {
      return new Answer(404, "", "");
    }
    return new Answer(
        200,
        "",
        "{\"version_info\":\""
            + version
            + "\",\"resources\":"
            + resources
            + ",\"type_url\":\""
            + type
            + "\",\"nonce\":\""
            + ++nonce
            + "\"}");
  }
}
