package edgenode.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A list in the form of this platform's discovery, parsed without a tree: {@code
 * {"seq":41,"whole":true,"hosts":[...]}}. An endpoint that cannot be used is reported and left out;
 * a text that is no list is an error.
 *
 * @param version the version, -1 where it is missing or not a number
 * @param isComplete whether it is the complete list, not only a change
 * @param endpoints the endpoints that can be used, in the order of the list
 */
public record EndpointListJson(
    long version, boolean isComplete, List<DiscoveredEndpoint> endpoints) {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** The fields of one endpoint as they come, under their names on the wire. */
  private static final class Host {
    String host = "";
    String dial = "";
    String site = "";
    String kind = "";
    String health = "";
    int block;
    double share = 1;
    double bornMs;

    /**
     * The endpoint.
     *
     * @throws IllegalArgumentException where it has no id or no valid address
     */
    DiscoveredEndpoint toEndpoint() {
      if (!dial.isEmpty()) {
        NodeConfig.parseAddress(dial);
      }
      return new DiscoveredEndpoint(
          new EndpointInfo(host, block, site, state(), kind, bornMs, share),
          dial.isEmpty() ? null : dial);
    }

    private EndpointState state() {
      return switch (health) {
        case "active" -> EndpointState.UP;
        case "left" -> EndpointState.REMOVED;
        default -> EndpointState.DRAINING; // "leaving"; also safe for a value that is not known
      };
    }
  }

  /**
   * Parses a list.
   *
   * @param length how many bytes of {@code text} are the list
   * @param skipped is given the reason for each endpoint that is left out
   * @throws IOException where it is no JSON, or no list
   */
  public static EndpointListJson parse(byte[] text, int length, Consumer<String> skipped)
      throws IOException {
    try (JsonParser parser = FACTORY.createParser(text, 0, length)) {
      return parseList(parser, skipped);
    }
  }

  /**
   * The list in a configuration, which counts as complete.
   *
   * @param skipped is given the reason for each endpoint that is left out
   * @return null where the configuration has none
   */
  public static EndpointListJson fromConfiguration(JsonValue known, Consumer<String> skipped) {
    if (!known.get("hosts").isArray()) {
      return null;
    }
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    for (JsonValue entry : known.get("hosts").elements()) {
      Host host = new Host();
      host.host = entry.get("host").textOr("");
      host.dial = entry.get("dial").textOr("");
      host.site = entry.get("site").textOr("");
      host.kind = entry.get("class").textOr("");
      host.health = entry.get("health").textOr("");
      host.block = (int) entry.get("block").numberOr(0);
      host.share = validOrElse(entry.get("share").numberOr(1), 1);
      host.bornMs = validOrElse(entry.get("born_ms").numberOr(0), 0);
      add(host, endpoints, skipped);
    }
    return new EndpointListJson((long) known.get("seq").numberOr(-1), true, endpoints);
  }

  private static EndpointListJson parseList(JsonParser parser, Consumer<String> skipped)
      throws IOException {
    long version = -1;
    boolean isComplete = false;
    List<DiscoveredEndpoint> endpoints = null;
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedListException("an object expected");
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken value = parser.nextToken();
      switch (name) {
        case "seq" ->
            version = value == JsonToken.VALUE_NUMBER_INT ? parser.getValueAsLong(-1) : -1;
        case "whole" -> isComplete = value == JsonToken.VALUE_TRUE;
        case "hosts" -> endpoints = parseHosts(parser, skipped);
        default -> parser.skipChildren();
      }
    }
    if (endpoints == null) {
      throw new MalformedListException("no 'hosts'");
    }
    return new EndpointListJson(version, isComplete, endpoints);
  }

  private static List<DiscoveredEndpoint> parseHosts(JsonParser parser, Consumer<String> skipped)
      throws IOException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new MalformedListException("'hosts' is no array");
    }
    List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (parser.currentToken() == JsonToken.START_OBJECT) {
        add(parseHost(parser), endpoints, skipped);
      } else {
        parser.skipChildren();
        skipped.accept("an entry is no object");
      }
    }
    return endpoints;
  }

  private static Host parseHost(JsonParser parser) throws IOException {
    Host host = new Host();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      switch (name) {
        case "host" -> host.host = parser.getValueAsString("");
        case "dial" -> host.dial = parser.getValueAsString("");
        case "site" -> host.site = parser.getValueAsString("");
        case "class" -> host.kind = parser.getValueAsString("");
        case "health" -> host.health = parser.getValueAsString("");
        case "block" -> host.block = parser.getValueAsInt(0);
        case "share" -> host.share = validOrElse(parser.getValueAsDouble(1), 1);
        case "born_ms" -> host.bornMs = validOrElse(parser.getValueAsDouble(0), 0);
        default -> {}
      }
      parser.skipChildren();
    }
    return host;
  }

  private static void add(Host host, List<DiscoveredEndpoint> endpoints, Consumer<String> skipped) {
    try {
      endpoints.add(host.toEndpoint());
    } catch (IllegalArgumentException e) { // the others are of use
      skipped.accept(e.getMessage());
    }
  }

  private static double validOrElse(double value, double fallback) {
    return Double.isFinite(value) && value >= 0 ? value : fallback;
  }
}
