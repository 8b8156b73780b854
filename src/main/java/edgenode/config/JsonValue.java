package edgenode.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value: the library's parser, without its data binding, whose classes cost a tenth of a
 * start. What is absent, null or of another kind reads as the fallback. A value is a map, a list,
 * or text here.
 */
public final class JsonValue {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int MAX_DEPTH = 32;
  private static final JsonValue ABSENT = new JsonValue(null);
  private final Object value;

  private JsonValue(Object value) {
    this.value = value;
  }

  public static JsonValue parse(byte[] text) throws IOException {
    return parseDocument(FACTORY.createParser(text));
  }

  public static JsonValue parse(String text) throws IOException {
    return parseDocument(FACTORY.createParser(text));
  }

  private static JsonValue parseDocument(JsonParser parser) throws IOException {
    try (parser) {
      return parser.nextToken() == null ? ABSENT : parseValue(parser, 0);
    }
  }

  private static JsonValue parseValue(JsonParser parser, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new IOException("JSON is nested too deep");
    }
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        Map<String, JsonValue> all = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          parser.nextToken();
          all.put(name, parseValue(parser, depth + 1));
        }
        return new JsonValue(all);
      }
      case START_ARRAY -> {
        List<JsonValue> all = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          all.add(parseValue(parser, depth + 1));
        }
        return new JsonValue(all);
      }
      case VALUE_NULL -> {
        return ABSENT;
      }
      default -> {
        return new JsonValue(parser.getText());
      }
    }
  }

  @SuppressWarnings("unchecked")
  public Map<String, JsonValue> members() {
    return value instanceof Map ? (Map<String, JsonValue>) value : Map.of();
  }

  @SuppressWarnings("unchecked")
  public List<JsonValue> elements() {
    return value instanceof List ? (List<JsonValue>) value : List.of();
  }

  public JsonValue get(String name) {
    return members().getOrDefault(name, ABSENT);
  }

  public boolean isNull() {
    return value == null;
  }

  public boolean isObject() {
    return value instanceof Map;
  }

  public boolean isArray() {
    return value instanceof List;
  }

  public String textOr(String defaultValue) {
    return value instanceof String text ? text : defaultValue;
  }

  public boolean isTrue() {
    return "true".equals(value);
  }

  public double numberOr(double defaultValue) {
    try {
      return value instanceof String text ? Double.parseDouble(text) : defaultValue;
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
