import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 as the protocol page uses it: reading of commands and answers, and building of both. */
final class Resp {
  private Resp() {}

  /** An answer: exactly one of the fields is set; an array's value is its first element. */
  record Answer(byte[] value, String error, String line) {
    String text() {
      return value != null ? new String(value, StandardCharsets.UTF_8) : error != null ? "-" + error : line;
    }
  }

  static BufferedInputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 1 << 16);
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); ; c = in.read()) {
      if (c < 0) {
        throw new EOFException(text.length() == 0 ? "end" : "end within a line");
      }
      if (c == '\n') {
        return text.substring(0, text.length() - 1);
      }
      text.append((char) c);
    }
  }

  /** A command's elements, or null at the end of the connection. */
  static List<byte[]> readCommand(InputStream in) throws IOException {
    String head;
    try {
      head = readLine(in);
    } catch (EOFException e) {
      return null;
    }
    if (!head.startsWith("*")) {
      throw new IOException("an array expected: " + head);
    }
    int count = Integer.parseInt(head.substring(1));
    List<byte[]> elements = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String length = readLine(in);
      if (!length.startsWith("$")) {
        throw new IOException("a bulk string expected: " + length);
      }
      elements.add(readBulk(in, Integer.parseInt(length.substring(1))));
    }
    return elements;
  }

  private static byte[] readBulk(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length + 2);
    if (bytes.length < length + 2) {
      throw new EOFException("end within a value: " + bytes.length + " of " + length + " bytes");
    }
    return java.util.Arrays.copyOf(bytes, length);
  }

  /** One answer of an edge node. */
  static Answer readAnswer(InputStream in) throws IOException {
    String head = readLine(in);
    switch (head.charAt(0)) {
      case '-':
        return new Answer(null, head.substring(1), null);
      case '$':
        int length = Integer.parseInt(head.substring(1));
        return length < 0 ? new Answer(null, null, "null") : new Answer(readBulk(in, length), null, null);
      default:
        return new Answer(null, null, head);
    }
  }

  static byte[] command(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** An app server's answer: the value, no figures on use, no load report. */
  static byte[] served(byte[] value) {
    byte[] head = ("*3\r\n$" + value.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] tail = "\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + value.length + tail.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(value, 0, all, head.length, value.length);
    System.arraycopy(tail, 0, all, head.length + value.length, tail.length);
    return all;
  }
}
