package edgenode.net.discovery;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.ArrayList;
import java.util.List;

/**
 * A DiscoveryResponse of Envoy's endpoint discovery; both spellings of field names that proto3 JSON
 * allows are read.
 *
 * <p>{@code HEALTHY} and {@code UNKNOWN} are up, {@code DEGRADED} is up with a tenth of its weight,
 * {@code DRAINING}, {@code UNHEALTHY} and {@code TIMEOUT} are draining. Only the first priority
 * that has an endpoint counts.
 */
final class EdsResponse {
  static final String TYPE_URL =
      "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

  private static final double DEGRADED_WEIGHT_FACTOR = 0.1;

  private final JsonValue response;

  EdsResponse(JsonValue response) {
    this.response = response;
  }

  /** The version, empty where there is none. */
  String version() {
    return field(response, "version_info", "versionInfo").textOr("");
  }

  String nonce() {
    return response.get("nonce").textOr("");
  }

  /**
   * The endpoints of a cluster.
   *
   * @throws IllegalArgumentException where the response is of another type, lacks the cluster, or
   *     has an endpoint without a valid address
   */
  List<DiscoveredEndpoint> endpoints(String cluster) {
    String type = field(response, "type_url", "typeUrl").textOr(TYPE_URL);
    if (!type.equals(TYPE_URL)) {
      throw new IllegalArgumentException("type " + type);
    }
    if (!response.get("resources").isArray()) {
      throw new IllegalArgumentException("no resources");
    }
    for (JsonValue resource : response.get("resources").elements()) {
      if (field(resource, "cluster_name", "clusterName").textOr("").equals(cluster)) {
        return assignment(resource);
      }
    }
    throw new IllegalArgumentException("no resource for cluster " + cluster);
  }

  private static List<DiscoveredEndpoint> assignment(JsonValue resource) {
    double priority = firstPriority(resource);
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    for (JsonValue locality : resource.get("endpoints").elements()) {
      if (locality.get("priority").numberOr(0) != priority) {
        continue;
      }
      String zone = locality.get("locality").get("zone").textOr("");
      for (JsonValue endpoint : field(locality, "lb_endpoints", "lbEndpoints").elements()) {
        endpoints.add(endpoint(endpoint, zone));
      }
    }
    return endpoints;
  }

  private static double firstPriority(JsonValue resource) {
    return resource.get("endpoints").elements().stream()
        .filter(locality -> !field(locality, "lb_endpoints", "lbEndpoints").elements().isEmpty())
        .mapToDouble(locality -> locality.get("priority").numberOr(0))
        .min()
        .orElse(0);
  }

  private static DiscoveredEndpoint endpoint(JsonValue endpoint, String zone) {
    JsonValue socket =
        field(endpoint.get("endpoint").get("address"), "socket_address", "socketAddress");
    String address =
        HttpPollingSource.addressOf(
            socket.get("address").textOr(""),
            (int) field(socket, "port_value", "portValue").numberOr(0));
    NodeConfig.parseAddress(address);
    String health = field(endpoint, "health_status", "healthStatus").textOr("UNKNOWN");
    boolean isDegraded = health.equals("DEGRADED");
    boolean isInService = health.equals("HEALTHY") || health.equals("UNKNOWN") || isDegraded;
    double weight = field(endpoint, "load_balancing_weight", "loadBalancingWeight").numberOr(1);
    String name = endpoint.get("endpoint").get("hostname").textOr("");
    return new DiscoveredEndpoint(
        new EndpointInfo(
            name.isEmpty() ? address : name,
            0,
            zone,
            isInService && weight > 0 ? EndpointState.UP : EndpointState.DRAINING,
            "",
            0,
            Math.max(0, isDegraded ? DEGRADED_WEIGHT_FACTOR * weight : weight)),
        address);
  }

  private static JsonValue field(JsonValue object, String snakeCase, String camelCase) {
    JsonValue found = object.get(snakeCase);
    return found.isNull() ? object.get(camelCase) : found;
  }
}
