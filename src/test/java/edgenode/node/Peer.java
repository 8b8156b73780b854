package edgenode.node;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * The other side for tests: plain blocking sockets of the loopback address; the test reads and
 * writes.
 */
public final class Peer implements Closeable {
  /** One connection, with the commands or lines that are read from it by hand. */
  public static final class Line implements Closeable {
    final Socket socket;
    final InputStream in;

    Line(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    public Socket socket() {
      return socket;
    }

    public static Line to(int port) throws IOException {
      return new Line(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    public String line() throws IOException {
      StringBuilder text = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new EOFException();
        }
        text.append((char) c);
      }
      return text.toString().replace("\r", "");
    }

    /** Reads one RESP message: an array as its parts, a bulk string as one part, else the line. */
    public List<String> message() throws IOException {
      String head = line();
      List<String> parts = new ArrayList<>();
      if (head.startsWith("*")) {
        for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
          parts.addAll(message());
        }
      } else if (head.startsWith("$")) {
        int length = Integer.parseInt(head.substring(1));
        if (length < 0) {
          parts.add(null);
          return parts;
        }
        byte[] value = in.readNBytes(length + 2);
        parts.add(new String(value, 0, value.length - 2, StandardCharsets.ISO_8859_1));
      } else {
        parts.add(head);
      }
      return parts;
    }

    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public void command(String... words) throws IOException {
      StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
      for (String word : words) {
        text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
      }
      write(text.toString());
    }

    /** An app server's answer. */
    void value(String value) throws IOException {
      write("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
    }

    public boolean ended() throws IOException {
      try {
        return in.read() < 0;
      } catch (java.net.SocketException reset) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private final ServerSocket server;
  private final Thread accepting;
  private final BlockingQueue<Line> accepted = new LinkedBlockingQueue<>();

  Peer() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  accepted.add(new Line(server.accept()));
                }
              } catch (IOException closed) {
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

  Line accept() throws InterruptedException {
    Line line = accepted.poll(10, java.util.concurrent.TimeUnit.SECONDS);
    if (line == null) {
      throw new AssertionError("no connection came");
    }
    return line;
  }

  /** A connection that comes within so many milliseconds, or null. */
  Line poll(long wait) throws InterruptedException {
    return accepted.poll(wait, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    server.close();
    try {
      accepting.join(); // the last to hold the socket: from here on it refuses
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Line line : accepted) {
      line.close();
    }
  }
}
