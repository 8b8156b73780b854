import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2: reads values from a stream, and forms commands. */
final class Resp {
  private Resp() {}

  /** An error line, without its first character. */
  record ErrorLine(String text) {}

  /**
   * Reads one value: byte[] for a bulk string, List for an array, String for a simple string, Long
   * for a number, {@link ErrorLine}, or null.
   *
   * @throws EOFException where the stream ends before the value is whole
   */
  static Object read(InputStream in) throws IOException {
    int type = in.read();
    if (type < 0) {
      throw new EOFException("the connection ended before a value");
    }
    String line = line(in);
    switch (type) {
      case '+':
        return line;
      case '-':
        return new ErrorLine(line);
      case ':':
        return Long.parseLong(line);
      case '$':
        int length = Integer.parseInt(line);
        if (length < 0) {
          return null;
        }
        byte[] value = in.readNBytes(length);
        if (value.length < length || in.readNBytes(2).length < 2) {
          throw new EOFException("the connection ended within a value");
        }
        return value;
      case '*':
        int count = Integer.parseInt(line);
        if (count < 0) {
          return null;
        }
        List<Object> elements = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          elements.add(read(in));
        }
        return elements;
      default:
        throw new IOException("not RESP: " + (char) type + line);
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended within a line");
      }
      if (next != '\r') {
        text.write(next);
      }
    }
    return text.toString(StandardCharsets.UTF_8);
  }

  /** A command, as bytes. */
  static byte[] command(String... words) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ascii("*" + words.length + "\r\n"));
    for (String word : words) {
      byte[] bytes = word.getBytes(StandardCharsets.UTF_8);
      out.writeBytes(ascii("$" + bytes.length + "\r\n"));
      out.writeBytes(bytes);
      out.writeBytes(ascii("\r\n"));
    }
    return out.toByteArray();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** The text of an answer, for the record. */
  static String show(Object answer) {
    if (answer instanceof byte[] value) {
      return value.length > 60 ? "value of " + value.length + " bytes" : "value " + text(value);
    }
    if (answer instanceof ErrorLine error) {
      return "-" + error.text();
    }
    return String.valueOf(answer);
  }

  static String text(Object bulk) {
    return bulk instanceof byte[] bytes ? new String(bytes, StandardCharsets.UTF_8) : null;
  }
}
