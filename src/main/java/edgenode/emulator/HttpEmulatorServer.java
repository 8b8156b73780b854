package edgenode.emulator;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small HTTP/1.1 server on loopback whose responses can be given faults. A thread for each
 * connection: for tests, not for load. Owns its sockets until {@link #close}.
 */
public abstract class HttpEmulatorServer implements Closeable {
  /** A fault of a response. */
  public enum Fault {
    /** None. */
    NONE,
    /** The request is read and not answered; the connection stays open. */
    STALL,
    /** Half of the body, then the end of the connection. */
    TRUNCATE,
    /** The connection is reset. */
    RESET,
    /** Status 500. */
    ERROR,
    /** A body that never ends. */
    ENDLESS_BODY,
    /** Bytes that are not HTTP. */
    NOISE
  }

  /** A request: method, path with its query, headers by lower-case name, body. */
  protected record HttpRequest(
      String method, String path, Map<String, String> headers, String body) {}

  /** A response: status, further header lines (each with CRLF), body. */
  protected record HttpResponse(int status, String headers, String body) {}

  private static final int MAX_REQUEST_BYTES = 1 << 20;
  private static final int ENDLESS_BODY_BYTES = 64 << 20;
  private final ServerSocket socket;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private Fault fault = Fault.NONE;
  private int faultsLeft;
  private int requestCount;

  /** Listens on 127.0.0.1 at any free port. */
  protected HttpEmulatorServer() throws IOException {
    socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    startThread(
        () -> {
          try {
            while (true) {
              Socket connection = socket.accept();
              connections.add(connection);
              startThread(() -> serve(connection));
            }
          } catch (IOException e) {
            // closed
          }
        });
  }

  /** Answers a request, on its connection's thread; may wait. */
  protected abstract HttpResponse answer(HttpRequest request) throws InterruptedException;

  /** Address and port. */
  public final String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Gives this fault to the next responses, so many. */
  public final synchronized void injectFault(Fault newFault, int answers) {
    fault = newFault;
    faultsLeft = answers;
  }

  /** Requests received so far. */
  public final synchronized int requestCount() {
    return requestCount;
  }

  private synchronized Fault nextFault() {
    requestCount++;
    return faultsLeft-- > 0 ? fault : Fault.NONE;
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "emulated HTTP service");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new java.io.BufferedInputStream(connection.getInputStream());
      for (HttpRequest request = readRequest(in); request != null; request = readRequest(in)) {
        Fault injectedFault = nextFault();
        if (injectedFault == Fault.STALL) {
          continue;
        }
        HttpResponse response =
            injectedFault == Fault.ERROR ? new HttpResponse(500, "", "no") : answer(request);
        byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
        byte[] head =
            ("HTTP/1.1 "
                    + response.status
                    + " Told\r\ncontent-type: application/json\r\n"
                    + response.headers
                    + "content-length: "
                    + (injectedFault == Fault.ENDLESS_BODY ? ENDLESS_BODY_BYTES : body.length)
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        OutputStream out = connection.getOutputStream();
        switch (injectedFault) {
          case TRUNCATE -> {
            out.write(head);
            out.write(body, 0, body.length / 2);
            return;
          }
          case RESET -> {
            connection.setSoLinger(true, 0);
            return;
          }
          case NOISE -> out.write("\u0001\u0002 what\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          case ENDLESS_BODY -> {
            out.write(head);
            byte[] some = "[ ".repeat(1 << 15).getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < ENDLESS_BODY_BYTES; sent += some.length) {
              out.write(some);
            }
          }
          default -> {
            out.write(head);
            out.write(body);
          }
        }
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // closed by the peer
    } finally {
      connections.remove(connection);
    }
  }

  private static HttpRequest readRequest(InputStream in) throws IOException {
    String requestLine = readLine(in);
    if (requestLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String[] parts = requestLine.split(" ");
    return new HttpRequest(
        parts[0],
        parts[1],
        headers,
        new String(in.readNBytes(Math.min(length, MAX_REQUEST_BYTES)), StandardCharsets.UTF_8));
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0 || text.size() > MAX_REQUEST_BYTES) {
        return null;
      }
      text.write(c);
    }
    return text.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
  }
}
