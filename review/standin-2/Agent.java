import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the agent of discovery: the whole list, and a watch with a line for each change. */
final class Agent {
  private static final int EMPTY_LINE_MS = 2000;
  private final ServerSocket listener = new ServerSocket();
  private final Map<String, String> hosts = new LinkedHashMap<>();
  private final Map<Long, String> changes = new LinkedHashMap<>();
  private final List<OutputStream> watches = new ArrayList<>();
  private long seq = 40;

  Agent() throws IOException {
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    Threads.start(
        "agent",
        () -> {
          while (true) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            Threads.start("agent connection", () -> serve(connection));
          }
        });
    Threads.start(
        "agent, empty lines",
        () -> {
          while (true) {
            Thread.sleep(EMPTY_LINE_MS);
            push("\n");
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** An entry of the list. */
  static String entry(String host, String dial, int block, String health, long bornMs) {
    return "{\"host\":\"" + host + "\",\"dial\":\"" + dial
        + "\",\"site\":\"san-jose-1\",\"class\":\"std-2c\",\"block\":" + block + ",\"health\":\""
        + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
  }

  /** Changes one entry, and tells the watches. */
  synchronized void change(String host, String entry, boolean isGone) {
    seq++;
    if (isGone) {
      hosts.remove(host);
    } else {
      hosts.put(host, entry);
    }
    String line = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + entry + "]}\n";
    changes.put(seq, line);
    push(line);
  }

  synchronized String whole() {
    return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
  }

  private synchronized void push(String line) {
    watches.removeIf(
        out -> {
          try {
            writeChunk(out, line);
            return false;
          } catch (IOException e) {
            return true;
          }
        });
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void serve(Socket connection) throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    OutputStream out = connection.getOutputStream();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String path = line.split(" ")[1];
      while (!in.readLine().isEmpty()) {
        // the header's other lines
      }
      if (path.contains("follow=1")) {
        watch(out, Long.parseLong(path.substring(path.indexOf("since=") + 6)));
      } else {
        String list = whole();
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes(
            StandardCharsets.UTF_8));
        out.flush();
      }
    }
  }

  private synchronized void watch(OutputStream out, long since) throws IOException {
    out.write(Resp.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    if (since > seq || since < seq - changes.size()) {
      writeChunk(out, whole() + "\n");
    } else {
      for (Map.Entry<Long, String> change : changes.entrySet()) {
        if (change.getKey() > since) {
          writeChunk(out, change.getValue());
        }
      }
    }
    watches.add(out);
  }
}
