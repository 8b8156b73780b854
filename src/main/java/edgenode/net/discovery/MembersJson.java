package edgenode.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.membership.Entry;
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
 * @param seq the version, -1 where there is none that is a number
 */
public record MembersJson(long seq, boolean whole, List<Entry> entries) {
  /** What was read is JSON, but no list. */
  static final class NotAList extends IOException {
    private static final long serialVersionUID = 1L;

    NotAList(String what) {
      super(what);
    }
  }

  private static final JsonFactory FACTORY = new JsonFactory();

  /**
   * @throws IOException where it is no JSON, or no list
   */
  public static MembersJson read(byte[] text, int length, Consumer<String> bad) throws IOException {
    try (JsonParser in = FACTORY.createParser(text, 0, length)) {
      return list(in, bad);
    }
  }

  /** The list in a configuration; null where that has none. */
  public static MembersJson of(Json known, Consumer<String> bad) {
    if (!known.get("hosts").isArray()) {
      return null;
    }
    List<Entry> entries = new ArrayList<>();
    for (Json h : known.get("hosts").elements()) {
      add(
          entries,
          h.get("host").text(""),
          h.get("dial").text(""),
          h.get("site").text(""),
          h.get("class").text(""),
          h.get("health").text(""),
          (int) h.get("block").number(0),
          finite(h.get("share").number(1), 1),
          finite(h.get("born_ms").number(0), 0),
          bad);
    }
    return new MembersJson((long) known.get("seq").number(-1), true, entries);
  }

  private static MembersJson list(JsonParser in, Consumer<String> bad) throws IOException {
    long seq = -1;
    boolean whole = false;
    List<Entry> entries = null;
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new NotAList("an object expected");
    }
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "seq" -> seq = value == JsonToken.VALUE_NUMBER_INT ? in.getValueAsLong(-1) : -1;
        case "whole" -> whole = value == JsonToken.VALUE_TRUE;
        case "hosts" -> {
          if (value != JsonToken.START_ARRAY) {
            throw new NotAList("'hosts' is no array");
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
      throw new NotAList("no 'hosts'");
    }
    return new MembersJson(seq, whole, entries);
  }

  private static void host(JsonParser in, List<Entry> entries, Consumer<String> bad)
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
      List<Entry> entries,
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
        Config.address(dial);
      }
      entries.add(
          new Entry(
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
