package edgenode.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/** Operators' calls, over plain sockets. */
final class Calls {
  /**
   * @param status of the answer's first line
   */
  record Answer(int status, String head, String body) {
    /** The answer's values by their paths, as text. */
    Map<String, String> values() throws IOException {
      Map<String, String> values = new LinkedHashMap<>();
      ArrayDeque<String> path = new ArrayDeque<>();
      try (JsonParser in = new JsonFactory().createParser(body)) {
        for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
          if (token == JsonToken.START_OBJECT) {
            path.addLast(in.currentName() == null ? "" : in.currentName());
          } else if (token == JsonToken.END_OBJECT) {
            path.removeLast();
          } else if (token.isScalarValue()) {
            values.put(String.join("/", path) + "/" + in.currentName(), in.getText());
          }
        }
      }
      return values;
    }
  }

  private Calls() {}

  static Socket to(SocketAddress at) throws IOException {
    InetSocketAddress address = (InetSocketAddress) at;
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(5_000);
    return socket;
  }

  static Answer call(SocketAddress at, String what) throws IOException {
    return raw(at, what + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  /** Whether the other side has ended this connection, which it may take a while to do. */
  static boolean ended(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException stays) {
      return false;
    } catch (SocketException reset) {
      return true;
    }
  }

  /** Writes it and reads to the end of the connection. */
  static Answer raw(SocketAddress at, String text) throws IOException {
    try (Socket socket = to(at)) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return read(socket);
    }
  }

  static Answer read(Socket socket) throws IOException {
    String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int split = all.indexOf("\r\n\r\n");
    if (split < 0) {
      throw new IOException("no whole answer: '" + all + "'");
    }
    return new Answer(
        Integer.parseInt(all.substring(9, 12)), all.substring(0, split), all.substring(split + 4));
  }
}
