package edgenode.emulator;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Emulates the health of a service in Consul with blocking queries, from its public pages. Safe for
 * use by several threads.
 */
public final class ConsulEmulator extends HttpEmulatorServer {
  /** An instance; status is passing, warning, critical or maintenance; then the weights. */
  public record Instance(
      String id, String address, int port, String status, int passing, int warning) {}

  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private long currentIndex = 1;
  private String lastToken = "";
  private String lastPath = "";

  /** Listens with no instances. */
  public ConsulEmulator() throws IOException {}

  /** Adds or replaces an instance and wakes blocking queries. */
  public synchronized void set(Instance instance) {
    instances.put(instance.id(), instance);
    currentIndex++;
    notifyAll();
  }

  /** Removes an instance and wakes blocking queries. */
  public synchronized void remove(String id) {
    instances.remove(id);
    currentIndex++;
    notifyAll();
  }

  /** Continues from another index, as after a snapshot was restored. */
  public synchronized void setIndex(long newIndex) {
    currentIndex = newIndex;
    notifyAll();
  }

  /** The token of the last request; empty where it had none. */
  public synchronized String lastToken() {
    return lastToken;
  }

  /** The path of the last request, with its query. */
  public synchronized String lastPath() {
    return lastPath;
  }

  @Override
  protected synchronized HttpResponse answer(HttpRequest request) throws InterruptedException {
    lastToken = request.headers().getOrDefault("x-consul-token", "");
    lastPath = request.path();
    long requestedIndex = queryParameter(request.path(), "index=");
    long deadlineMs = System.nanoTime() / 1_000_000 + queryParameter(request.path(), "wait=");
    while (requestedIndex > 0
        && currentIndex == requestedIndex
        && System.nanoTime() / 1_000_000 < deadlineMs) {
      wait(Math.max(1, deadlineMs - System.nanoTime() / 1_000_000));
    }
    StringJoiner json = new StringJoiner(",", "[", "]");
    for (Instance instance : instances.values()) {
      json.add(
          "{\"Node\":{\"ID\":\"n\",\"Node\":\"node\",\"Address\":\"127.0.0.9\",\"Datacenter\":\"dc1\"},"
              + "\"Service\":{\"ID\":\""
              + instance.id
              + "\",\"Service\":\"enrol\",\"Tags\":[],\"Address\":\""
              + instance.address
              + "\",\"Meta\":{},\"Port\":"
              + instance.port
              + ",\"Weights\":{\"Passing\":"
              + instance.passing
              + ",\"Warning\":"
              + instance.warning
              + "}},\"Checks\":[{\"CheckID\":\"serfHealth\",\"Status\":\"passing\"},"
              + "{\"CheckID\":\"service\",\"Status\":\""
              + instance.status
              + "\"}]}");
    }
    return new HttpResponse(200, "X-Consul-Index: " + currentIndex + "\r\n", json.toString());
  }

  private static long queryParameter(String path, String name) {
    int at = path.indexOf(name);
    if (at < 0) {
      return 0;
    }
    long value = 0;
    for (int i = at + name.length(); i < path.length() && Character.isDigit(path.charAt(i)); i++) {
      value = 10 * value + path.charAt(i) - '0';
    }
    return value;
  }
}
