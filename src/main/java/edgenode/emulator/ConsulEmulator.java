package edgenode.emulator;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/** A stand-in for Consul's health of a service with blocking queries, from its public pages. */
public final class ConsulEmulator extends HttpEmulatorServer {
  /** An instance: its check is passing, warning, critical or maintenance. */
  public record Instance(
      String id, String address, int port, String status, int passing, int warning) {}

  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private long index = 1;
  private String token = "";
  private String lastPath = "";

  public ConsulEmulator() throws IOException {}

  public synchronized void set(Instance instance) {
    instances.put(instance.id(), instance);
    index++;
    notifyAll();
  }

  public synchronized void remove(String id) {
    instances.remove(id);
    index++;
    notifyAll();
  }

  /** Goes on from another index, as after a snapshot was restored. */
  public synchronized void index(long from) {
    index = from;
    notifyAll();
  }

  /** The token and the path of the question that came last. */
  public synchronized String token() {
    return token;
  }

  public synchronized String lastPath() {
    return lastPath;
  }

  @Override
  protected synchronized Answer answer(Question question) throws InterruptedException {
    token = question.headers().getOrDefault("x-consul-token", "");
    lastPath = question.path();
    long asked = number(question.path(), "index=");
    long until = System.nanoTime() / 1_000_000 + number(question.path(), "wait=");
    while (asked > 0 && index == asked && System.nanoTime() / 1_000_000 < until) {
      wait(Math.max(1, until - System.nanoTime() / 1_000_000));
    }
    StringJoiner all = new StringJoiner(",", "[", "]");
    for (Instance i : instances.values()) {
      all.add(
          "{\"Node\":{\"ID\":\"n\",\"Node\":\"node\",\"Address\":\"127.0.0.9\",\"Datacenter\":\"dc1\"},"
              + "\"Service\":{\"ID\":\""
              + i.id
              + "\",\"Service\":\"enrol\",\"Tags\":[],\"Address\":\""
              + i.address
              + "\",\"Meta\":{},\"Port\":"
              + i.port
              + ",\"Weights\":{\"Passing\":"
              + i.passing
              + ",\"Warning\":"
              + i.warning
              + "}},\"Checks\":[{\"CheckID\":\"serfHealth\",\"Status\":\"passing\"},"
              + "{\"CheckID\":\"service\",\"Status\":\""
              + i.status
              + "\"}]}");
    }
    return new Answer(200, "X-Consul-Index: " + index + "\r\n", all.toString());
  }

  private static long number(String path, String name) {
    int at = path.indexOf(name);
    if (at < 0) {
      return 0;
    }
    long n = 0;
    for (int i = at + name.length(); i < path.length() && Character.isDigit(path.charAt(i)); i++) {
      n = 10 * n + path.charAt(i) - '0';
    }
    return n;
  }
}
