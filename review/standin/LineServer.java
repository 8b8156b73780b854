import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A RESP server on a free port, a thread for each connection. */
class LineServer implements AutoCloseable {
  /** Answers one command. */
  interface Handler {
    void handle(List<String> words, Socket socket, OutputStream out) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  LineServer(Handler handler) throws IOException {
    this.handler = handler;
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  static Thread start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Resp.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (List<byte[]> raw = Resp.readCommand(in); raw != null; raw = Resp.readCommand(in)) {
        List<String> words = new ArrayList<>();
        for (byte[] word : raw) {
          words.add(new String(word, StandardCharsets.UTF_8));
        }
        switch (words.get(0).toUpperCase()) {
          case "PING" -> out.write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
          case "CLIENT", "SELECT" -> out.write("+OK\r\n".getBytes(StandardCharsets.US_ASCII));
          default -> handler.handle(words, socket, out);
        }
      }
    } catch (Exception e) {
      // the peer has ended the connection
    } finally {
      sockets.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** The quota counter, which answers at once. */
  static LineServer counter() throws IOException {
    Map<String, Double> totals = new HashMap<>();
    Map<String, Long> ends = new HashMap<>();
    return new LineServer(
        (words, socket, out) -> {
          if (!words.get(0).equals("CNT.ADD")) {
            out.write("-ERR unknown\r\n".getBytes(StandardCharsets.US_ASCII));
            return;
          }
          String total;
          synchronized (totals) {
            String name = words.get(1);
            long now = System.nanoTime() / 1_000_000;
            if (ends.getOrDefault(name, 0L) <= now) {
              ends.put(name, now + Math.min(60_000, (long) Double.parseDouble(words.get(3))));
              totals.put(name, 0.0);
            }
            total = Double.toString(totals.merge(name, Double.parseDouble(words.get(2)), Double::sum));
          }
          out.write(("$" + total.length() + "\r\n" + total + "\r\n").getBytes(StandardCharsets.US_ASCII));
        });
  }

  /** A field of a request's list of names and values. */
  static String field(List<String> words, String name) {
    for (String pair : words.get(3).split(",")) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return null;
  }
}
