import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the quota counter. */
final class Counter {
  private record Total(double value, double endsAtMs) {}

  private final ServerSocket listener = new ServerSocket();
  private final Map<String, Total> totals = new HashMap<>();

  Counter() throws IOException {
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    Threads.start(
        "counter",
        () -> {
          while (true) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            Threads.start("counter connection", () -> serve(connection));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void serve(Socket connection) throws IOException {
    InputStream in = new BufferedInputStream(connection.getInputStream());
    OutputStream out = connection.getOutputStream();
    while (true) {
      List<?> words = (List<?>) Resp.read(in);
      String verb = Resp.text(words.get(0));
      if (verb.equals("CNT.ADD")) {
        String total =
            add(
                Resp.text(words.get(1)),
                Double.parseDouble(Resp.text(words.get(2))),
                Double.parseDouble(Resp.text(words.get(3))));
        out.write(Resp.ascii("$" + total.length() + "\r\n" + total + "\r\n"));
      } else {
        out.write(Resp.ascii(verb.equals("PING") ? "+PONG\r\n" : "+OK\r\n"));
      }
      out.flush();
    }
  }

  private synchronized String add(String name, double amount, double lifeMs) {
    double nowMs = Record.nowMs();
    Total before = totals.get(name);
    if (before == null || before.endsAtMs <= nowMs) {
      before = new Total(0, nowMs + Math.min(60_000, lifeMs));
    }
    Total after = new Total(before.value + amount, before.endsAtMs);
    totals.put(name, after);
    return Double.toString(after.value);
  }
}
