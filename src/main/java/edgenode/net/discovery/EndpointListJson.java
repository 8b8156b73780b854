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
 * A list in discovery's form, read without a tree: {@code {"seq":41,"whole":true,"hosts":[...]}}.
 * An entry that cannot be used is told and left out, the others count; what is no list at all is an
 * error.
 *
 * @param version the version, -1 where there is none that is a number
 */
public record EndpointListJson(
    long version, boolean isComplete, List<DiscoveredEndpoint> endpoints) {
  /** What was read is JSON, but no list. */
  static final class MalformedListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedListException(String what) {
      super(what);
    }
  }

  private static final JsonFactory FACTORY = new JsonFactory();

  /**
   * @throws IOException where it is no JSON, or no list
   */
  public static EndpointListJson parse(byte[] text, int length, Consumer<String> bad)
      throws IOException {
    try (JsonParser in = FACTORY.createParser(text, 0, length)) {
      return list(in, bad);
    }
  }

  /** The list in a configuration; null where that has none. */
  public static EndpointListJson fromConfiguration(JsonValue known, Consumer<String> bad) {
    if (!known.get("hosts").isArray()) {
      return null;
    }
    List<DiscoveredEndpoint> entries = new ArrayList<>();
    for (JsonValue h : known.get("hosts").elements()) {
      add(
          entries,
          h.get("host").textOr(""),
          h.get("dial").textOr(""),
          h.get("site").textOr(""),
          h.get("class").textOr(""),
          h.get("health").textOr(""),
          (int) h.get("block").numberOr(0),
          finite(h.get("share").numberOr(1), 1),
          finite(h.get("born_ms").numberOr(0), 0),
          bad);
    }
    return new EndpointListJson((long) known.get("seq").numberOr(-1), true, entries);
  }

  private static EndpointListJson list(JsonParser in, Consumer<String> bad) throws IOException {
    long seq = -1;
    boolean whole = false;
    List<DiscoveredEndpoint> entries = null;
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedListException("an object expected");
    }
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "seq" -> seq = value == JsonToken.VALUE_NUMBER_INT ? in.getValueAsLong(-1) : -1;
        case "whole" -> whole = value == JsonToken.VALUE_TRUE;
        case "hosts" -> {
          if (value != JsonToken.START_ARRAY) {
            throw new MalformedListException("'hosts' is no array");
          }
          entries = new ArrayList<>();
          while (in.nextToken() != JsonToken.END_ARRAY) {
            host(in, entries, bad);
          }
        }
        default -> in.skipChildren();
      }
    }
    if (entries == null) {
      throw new MalformedListException("no 'hosts'");
    }
    return new EndpointListJson(seq, whole, entries);
  }

  private static void host(JsonParser in, List<DiscoveredEndpoint> entries, Consumer<String> bad)
      throws IOException {
    if (in.currentToken() != JsonToken.START_OBJECT) {
      in.skipChildren();
      bad.accept("an entry is no object");
      return;
    }
    String host = "";
    String dial = "";
    String site = "";
    String kind = "";
    String health = "";
    int block = 0;
    double share = 1;
    double born = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      switch (name) {
        case "host" -> host = in.getValueAsString("");
        case "dial" -> dial = in.getValueAsString("");
        case "site" -> site = in.getValueAsString("");
        case "class" -> kind = in.getValueAsString("");
        case "health" -> health = in.getValueAsString("");
        case "block" -> block = in.getValueAsInt(0);
        case "share" -> share = finite(in.getValueAsDouble(1), 1);
        case "born_ms" -> born = finite(in.getValueAsDouble(0), 0);
        default -> {}
      }
      in.skipChildren();
    }
    add(entries, host, dial, site, kind, health, block, share, born, bad);
  }

  private static void add(
      List<DiscoveredEndpoint> entries,
      String host,
      String dial,
      String site,
      String kind,
      String health,
      int block,
      double share,
      double born,
      Consumer<String> bad) {
    EndpointState state =
        switch (health) {
          case "active" -> EndpointState.UP;
          case "left" -> EndpointState.REMOVED;
          default ->
              EndpointState.DRAINING; // leaving, or a word to come: nothing new is the safe reading
        };
    try {
      if (!dial.isEmpty()) {
        NodeConfig.parseAddress(dial);
      }
      entries.add(
          new DiscoveredEndpoint(
              new EndpointInfo(host, block, site, state, kind, born, share),
              dial.isEmpty() ? null : dial));
    } catch (IllegalArgumentException e) { // the others are of use
      bad.accept(e.getMessage());
    }
  }

  private static double finite(double value, double other) {
    return Double.isFinite(value) && value >= 0 ? value : other;
  }
}
