import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for an app server: one command after another on each connection. */
final class AppServer {
  /** A command that has come whole. */
  record Command(String verb, String customer, String id, String fields, String body) {
    /** The value of a field, or null. */
    String field(String name) {
      for (String pair : fields.split(",")) {
        if (pair.startsWith(name + "=")) {
          return pair.substring(name.length() + 1);
        }
      }
      return null;
    }
  }

  /** What the server does with a command: writes the answer, or nothing. */
  interface Work {
    void run(AppServer server, Command command, OutputStream out) throws IOException, InterruptedException;
  }

  final String host;
  private final ServerSocket listener;
  private final Work work;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  AppServer(String host, Work work) throws IOException {
    this.host = host;
    this.work = work;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    Threads.start("accept " + host, this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() throws IOException {
    while (true) {
      Socket connection = listener.accept();
      connection.setTcpNoDelay(true);
      connections.add(connection);
      Threads.start("serve " + host, () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException, InterruptedException {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = new BufferedOutputStream(connection.getOutputStream());
      while (true) {
        List<?> words = (List<?>) Resp.read(in);
        String verb = Resp.text(words.get(0));
        if (verb.startsWith("CALL.")) {
          work.run(
              this,
              new Command(
                  verb,
                  Resp.text(words.get(1)),
                  Resp.text(words.get(2)),
                  Resp.text(words.get(3)),
                  words.size() > 4 ? Resp.text(words.get(4)) : null),
              out);
        } else if (verb.equals("PING")) {
          out.write(Resp.ascii("+PONG\r\n"));
        } else if (verb.equals("INFO")) {
          write(out, "util=0.3,inflight=1");
        } else {
          out.write(Resp.ascii("-ERR unknown command\r\n"));
        }
        out.flush();
      }
    } finally {
      connections.remove(connection);
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(Resp.ascii("$" + text.length() + "\r\n" + text + "\r\n"));
  }

  /** Writes an answer with a value. */
  static void answer(OutputStream out, String value) throws IOException {
    out.write(Resp.ascii("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n"));
  }

  /** The process dies: its connections are reset, and new ones refused. */
  void die() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }
}
