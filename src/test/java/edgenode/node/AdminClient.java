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

/** Calls the admin address of a node over plain sockets. */
final class AdminClient {
  /**
   * @param status of the status line
   */
  record Response(int status, String headers, String body) {
    /** The values of the JSON body by their paths, as text. */
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

  private AdminClient() {}

  static Socket connect(SocketAddress socketAddress) throws IOException {
    InetSocketAddress address = (InetSocketAddress) socketAddress;
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(5_000);
    return socket;
  }

  static Response call(SocketAddress address, String requestLine) throws IOException {
    return sendRaw(address, requestLine + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  /** Whether the node has closed this connection; waits for that within the socket's timeout. */
  static boolean isClosedByNode(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException stays) {
      return false;
    } catch (SocketException reset) {
      return true;
    }
  }

  /** Writes the text and reads until the connection is closed. */
  static Response sendRaw(SocketAddress address, String text) throws IOException {
    try (Socket socket = connect(address)) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return readResponse(socket);
    }
  }

  static Response readResponse(Socket socket) throws IOException {
    String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int split = text.indexOf("\r\n\r\n");
    if (split < 0) {
      throw new IOException("no whole answer: '" + text + "'");
    }
    return new Response(
        Integer.parseInt(text.substring(9, 12)),
        text.substring(0, split),
        text.substring(split + 4));
  }
}
