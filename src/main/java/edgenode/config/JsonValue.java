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
 * A JSON value that is an object, an array or a text; numbers and booleans are texts. What is
 * absent, null or of another type reads as the default. Parsed by Jackson's streaming parser: the
 * classes of its data binding would cost a tenth of a start. Immutable.
 */
public final class JsonValue {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int MAX_DEPTH = 32;
  private static final JsonValue ABSENT = new JsonValue(null);

  /** A map, a list, a string or null. */
  private final Object value;

  private JsonValue(Object value) {
    this.value = value;
  }

  /**
   * Parses a document; an empty one is null.
   *
   * @throws IOException where the text is no JSON or nested too deep
   */
  public static JsonValue parse(byte[] text) throws IOException {
    return parseDocument(FACTORY.createParser(text));
  }

  /**
   * Parses a document; an empty one is null.
   *
   * @throws IOException where the text is no JSON or nested too deep
   */
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
        Map<String, JsonValue> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          parser.nextToken();
          members.put(name, parseValue(parser, depth + 1));
        }
        return new JsonValue(members);
      }
      case START_ARRAY -> {
        List<JsonValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          elements.add(parseValue(parser, depth + 1));
        }
        return new JsonValue(elements);
      }
      case VALUE_NULL -> {
        return ABSENT;
      }
      default -> {
        return new JsonValue(parser.getText());
      }
    }
  }

  /** An object's members in their order; empty for another value. */
  @SuppressWarnings("unchecked")
  public Map<String, JsonValue> members() {
    return value instanceof Map ? (Map<String, JsonValue>) value : Map.of();
  }

  /** An array's elements; empty for another value. */
  @SuppressWarnings("unchecked")
  public List<JsonValue> elements() {
    return value instanceof List ? (List<JsonValue>) value : List.of();
  }

  /** A member; null as a JSON value where it is absent. */
  public JsonValue get(String name) {
    return members().getOrDefault(name, ABSENT);
  }

  /** Whether it is null or absent. */
  public boolean isNull() {
    return value == null;
  }

  /** Whether it is an object. */
  public boolean isObject() {
    return value instanceof Map;
  }

  /** Whether it is an array. */
  public boolean isArray() {
    return value instanceof List;
  }

  /** Its text, also of a number or boolean; the default for another value. */
  public String textOr(String defaultValue) {
    return value instanceof String text ? text : defaultValue;
  }

  /** Whether it is {@code true}, also as a text. */
  public boolean isTrue() {
    return "true".equals(value);
  }

  /** Its number, also from a text; the default for another value. */
  public double numberOr(double defaultValue) {
    try {
      return value instanceof String text ? Double.parseDouble(text) : defaultValue;
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
