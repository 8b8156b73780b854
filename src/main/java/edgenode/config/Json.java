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
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int DEEPEST = 32;
  private static final Json NONE = new Json(null);
  private final Object value;

  private Json(Object value) {
    this.value = value;
  }

  public static Json read(byte[] text) throws IOException {
    return whole(FACTORY.createParser(text));
  }

  public static Json read(String text) throws IOException {
    return whole(FACTORY.createParser(text));
  }

  private static Json whole(JsonParser in) throws IOException {
    try (in) {
      return in.nextToken() == null ? NONE : of(in, 0);
    }
  }

  private static Json of(JsonParser in, int depth) throws IOException {
    if (depth > DEEPEST) {
      throw new IOException("JSON is nested too deep");
    }
    switch (in.currentToken()) {
      case START_OBJECT -> {
        Map<String, Json> all = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
          String name = in.currentName();
          in.nextToken();
          all.put(name, of(in, depth + 1));
        }
        return new Json(all);
      }
      case START_ARRAY -> {
        List<Json> all = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          all.add(of(in, depth + 1));
        }
        return new Json(all);
      }
      case VALUE_NULL -> {
        return NONE;
      }
      default -> {
        return new Json(in.getText());
      }
    }
  }

  @SuppressWarnings("unchecked")
  public Map<String, Json> members() {
    return value instanceof Map ? (Map<String, Json>) value : Map.of();
  }

  @SuppressWarnings("unchecked")
  public List<Json> elements() {
    return value instanceof List ? (List<Json>) value : List.of();
  }

  public Json get(String name) {
    return members().getOrDefault(name, NONE);
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

  public String text(String other) {
    return value instanceof String text ? text : other;
  }

  public boolean isTrue() {
    return "true".equals(value);
  }

  public double number(double other) {
    try {
      return value instanceof String text ? Double.parseDouble(text) : other;
    } catch (NumberFormatException e) {
      return other;
    }
  }
}
