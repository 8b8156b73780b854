package edgenode.node;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A server or client of the node on blocking loopback sockets; the test reads and writes. */
public final class FakePeer implements Closeable {
  /** One connection, whose commands or lines the test reads. */
  public static final class Connection implements Closeable {
    final Socket socket;
    final InputStream input;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(10_000);
      input = new BufferedInputStream(socket.getInputStream());
    }

    public Socket socket() {
      return socket;
    }

    public static Connection connect(int port) throws IOException {
      return new Connection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    public String readLine() throws IOException {
      StringBuilder text = new StringBuilder();
      for (int character = input.read(); character != '\n'; character = input.read()) {
        if (character < 0) {
          throw new EOFException();
        }
        text.append((char) character);
      }
      return text.toString().replace("\r", "");
    }

    /**
     * Reads one RESP message: the elements of an array, a bulk string as one element, else the
     * line.
     */
    public List<String> readMessage() throws IOException {
      String header = readLine();
      List<String> parts = new ArrayList<>();
      if (header.startsWith("*")) {
        for (int i = Integer.parseInt(header.substring(1)); i > 0; i--) {
          parts.addAll(readMessage());
        }
      } else if (header.startsWith("$")) {
        int lengthBytes = Integer.parseInt(header.substring(1));
        if (lengthBytes < 0) {
          parts.add(null);
          return parts;
        }
        byte[] value = input.readNBytes(lengthBytes + 2);
        parts.add(new String(value, 0, value.length - 2, StandardCharsets.ISO_8859_1));
      } else {
        parts.add(header);
      }
      return parts;
    }

    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public void writeCommand(String... words) throws IOException {
      StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
      for (String word : words) {
        text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
      }
      write(text.toString());
    }

    /** Writes the response of an application server. */
    void writeAppServerValue(String value) throws IOException {
      write("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
    }

    public boolean isClosedByPeer() throws IOException {
      try {
        return input.read() < 0;
      } catch (java.net.SocketException reset) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A node may connect hundreds of times at once, and gives a connect up after 250 ms. */
  private static final int BACKLOG = 1024;

  private final ServerSocket server;
  private final Thread accepting;
  private final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();

  FakePeer() throws IOException {
    this(0);
  }

  /**
   * @param receiveBufferBytes bytes of a connection that its kernel takes unread; 0 for the default
   */
  FakePeer(int receiveBufferBytes) throws IOException {
    server = new ServerSocket();
    if (receiveBufferBytes > 0) {
      server.setReceiveBufferSize(receiveBufferBytes); // accepted connections inherit it
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  accepted.add(new Connection(server.accept()));
                }
              } catch (IOException e) {
                // the test is over
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  Connection accept() throws InterruptedException {
    Connection connection = accepted.poll(10, java.util.concurrent.TimeUnit.SECONDS);
    if (connection == null) {
      throw new AssertionError("no connection came");
    }
    return connection;
  }

  /** Returns a connection that arrives within this time, or null. */
  Connection poll(long waitMs) throws InterruptedException {
    return accepted.poll(waitMs, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    server.close();
    try {
      accepting.join(); // the last to hold the socket: from here on it refuses
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Connection connection : accepted) {
      connection.close();
    }
  }
}
