package edgenode.emulator;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Emulates an app server, from the protocol page: answers each command at once with a value and
 * reports when it was received. It can crash, which resets its connections and refuses new ones,
 * and restart at the same address. A thread for each connection: for tests, not for load. Owns its
 * sockets until {@link #close}.
 */
public final class ThreadedAppServerEmulator implements Closeable {
  private static final byte[] PONG = "+PONG\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LOAD_REPORT =
      "$9\r\nutil=0.10\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] VALUE =
      "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Bounds of a command and of each of its elements. */
  private static final int MAX_COMMAND_ELEMENTS = 16;

  private static final int MAX_ELEMENT_BYTES = 64 << 10;

  private final InetSocketAddress address;
  private final Consumer<Long> callListener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private ServerSocket serverSocket;

  /**
   * Listens on 127.0.0.1 at any free port.
   *
   * @param callListener receives {@link System#nanoTime} for each call that is complete, on the
   *     connection's thread
   */
  public ThreadedAppServerEmulator(Consumer<Long> callListener) throws IOException {
    this.callListener = callListener;
    ServerSocket listening = listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    serverSocket = listening;
    address = (InetSocketAddress) listening.getLocalSocketAddress();
  }

  /** Address and port. */
  public String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The process crashes. */
  public synchronized void crash() throws IOException {
    serverSocket.close();
    for (Socket connection : connections) {
      reset(connection);
    }
  }

  /** Resets a connection; its reader may have closed it at the same moment. */
  private static void reset(Socket connection) throws IOException {
    try {
      connection.setSoLinger(true, 0);
    } catch (SocketException alreadyClosed) {
      return;
    }
    connection.close();
  }

  /** The process starts again at its address. */
  public synchronized void restart() throws IOException {
    serverSocket = listen(address);
  }

  @Override
  public void close() throws IOException {
    crash();
  }

  private ServerSocket listen(InetSocketAddress bindAddress) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(bindAddress, 128);
    startThread(
        () -> {
          try {
            while (true) {
              Socket connection = server.accept();
              connections.add(connection);
              if (server.isClosed()) { // a crash in this moment has not seen the connection
                reset(connection);
              }
              startThread(() -> serve(connection));
            }
          } catch (IOException e) {
            // crashed
          }
        });
    return server;
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "emulated app server");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (true) {
        List<String> elements = readCommand(in);
        if (elements.get(0).startsWith("CALL.")) {
          callListener.accept(System.nanoTime());
          connection.getOutputStream().write(VALUE);
        } else {
          connection.getOutputStream().write(elements.get(0).equals("INFO") ? LOAD_REPORT : PONG);
        }
      }
    } catch (IOException e) {
      // closed by the peer or by a crash
    } finally {
      connections.remove(connection);
    }
  }

  private static List<String> readCommand(InputStream in) throws IOException {
    List<String> elements = new ArrayList<>();
    int count = readLength(in, '*', MAX_COMMAND_ELEMENTS);
    for (int i = 0; i < count; i++) {
      byte[] element = in.readNBytes(readLength(in, '$', MAX_ELEMENT_BYTES) + 2);
      elements.add(
          new String(element, 0, Math.max(0, element.length - 2), StandardCharsets.ISO_8859_1));
    }
    return elements;
  }

  private static int readLength(InputStream in, char kind, int maximum) throws IOException {
    int prefix = in.read();
    if (prefix < 0) {
      throw new EOFException();
    }
    int length = 0;
    for (int digit = in.read(); digit != '\r'; digit = in.read()) {
      if (prefix != kind || digit < '0' || digit > '9' || length > maximum) {
        throw new IOException("malformed command");
      }
      length = 10 * length + digit - '0';
    }
    in.read();
    return length;
  }
}
