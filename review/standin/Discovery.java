import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Discovery's agent: the whole list, and a watch that has nothing to tell but its empty lines. */
final class Discovery implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  /** @param hosts one JSON object for each app server */
  Discovery(List<String> hosts) throws IOException {
    String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    server.setExecutor(threads);
    server.createContext(
        "/catalog/members",
        exchange -> {
          String query = exchange.getRequestURI().getQuery();
          if (query == null || !query.contains("follow=1")) {
            byte[] body = list.getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
            return;
          }
          exchange.sendResponseHeaders(200, 0);
          try (OutputStream out = exchange.getResponseBody()) {
            if (!query.contains("since=1")) {
              out.write((list + "\n").getBytes(StandardCharsets.US_ASCII));
              out.flush();
            }
            while (true) {
              out.write('\n');
              out.flush();
              Thread.sleep(2000);
            }
          } catch (IOException | InterruptedException e) {
            exchange.close(); // the watch has ended
          }
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static String host(String id, String dial, int block) {
    return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"san-jose-1\",\"class\":\"std-2c\",\"block\":"
        + block + ",\"health\":\"active\",\"share\":1.0,\"born_ms\":0}";
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
