import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One edge node: a process started by the deploy file's run command, from the repository's root. */
final class Node implements AutoCloseable {
  private final Process process;
  private final Path log;
  final InetSocketAddress address;

  private Node(Process process, Path log, InetSocketAddress address) {
    this.process = process;
    this.log = log;
    this.address = address;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** The configuration file; settings as an object's text. */
  static String config(
      String name, String listen, String admin, String discovery, String counter, int sockets, String settings) {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\""
        + (admin == null ? "" : ",\"admin_addr\":\"" + admin + "\"")
        + ",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\""
        + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "}"
        + ",\"counter\":\"" + counter + "\",\"settings\":" + settings + "}";
  }

  static Node start(Path folder, String name, String listen, String discovery, String config)
      throws IOException {
    return start(folder, name, "", listen, discovery, config);
  }

  /** @param version tells the files of two processes of the same name apart; their $TMPDIR is one */
  static Node start(
      Path folder, String name, String version, String listen, String discovery, String config)
      throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run in the deploy file");
    }
    Path file = Files.writeString(folder.resolve(name + version + ".json"), config);
    Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
    Path log = folder.resolve(name + version + ".log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.environment().put("EDGE_NAME", name);
    builder.environment().put("EDGE_LISTEN", listen);
    builder.environment().put("EDGE_DISCOVERY", discovery);
    builder.environment().put("EDGE_CONFIG", file.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    String[] parts = listen.split(":");
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly)); // also where a run is cut short
    return new Node(process, log, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
  }

  /** Waits until PING is answered +PONG, for 30 s at most. */
  boolean awaitReady() throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < untilNanos && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 500);
        socket.setSoTimeout(500);
        socket.getOutputStream().write(Resp.command("PING"));
        if ("PONG".equals(Resp.readAnswer(socket.getInputStream()).line().substring(1))) {
          return true;
        }
      } catch (IOException | RuntimeException e) {
        Thread.sleep(50);
      }
    }
    return false;
  }

  /** Waits for a yes of GET /api/ready, asked every half second, for 30 s at most. */
  static boolean awaitAdminReady(int adminPort) throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < untilNanos) {
      Thread.sleep(500);
      try (Socket socket = new Socket("127.0.0.1", adminPort)) {
        socket.setSoTimeout(1000);
        socket
            .getOutputStream()
            .write("GET /api/ready HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\r\n".getBytes());
        if (Resp.readLine(socket.getInputStream()).startsWith("HTTP/1.1 2")) {
          return true;
        }
      } catch (IOException e) {
        // not yet
      }
    }
    return false;
  }

  /** Waits for the end of the process, for so long at most. */
  boolean awaitEnd(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String log() throws IOException {
    return Files.readString(log);
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** Stops the process for so long, and lets it go on. */
  void holdUp(double seconds, Record record) throws IOException, InterruptedException {
    double fromMs = record.ms();
    String pid = Long.toString(process.pid());
    new ProcessBuilder("/bin/sh", "-c", "kill -STOP " + pid + "; sleep " + seconds + "; kill -CONT " + pid)
        .start()
        .waitFor();
    record.line("edge node held up, for " + Math.round(record.ms() - fromMs) + " ms at most");
  }

  /** Ends the process. */
  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }

  // ---- settings ----

  /** Nested JSON of paths such as limits.send_cap; values are JSON texts, names without dots. */
  static String json(Map<String, String> values) {
    Map<String, Object> root = new TreeMap<>();
    values.forEach(
        (path, value) -> {
          Map<String, Object> at = root;
          String[] names = path.split("\\.");
          for (int i = 0; i < names.length - 1; i++) {
            @SuppressWarnings("unchecked")
            Map<String, Object> next = (Map<String, Object>) at.computeIfAbsent(names[i], n -> new TreeMap<>());
            at = next;
          }
          at.put(names[names.length - 1], value);
        });
    return write(root);
  }

  private static String write(Object node) {
    if (!(node instanceof Map<?, ?> members)) {
      return node.toString();
    }
    StringBuilder text = new StringBuilder("{");
    members.forEach(
        (name, value) ->
            text.append(text.length() > 1 ? "," : "").append('"').append(name).append("\":").append(write(value)));
    return text.append('}').toString();
  }

  /** The settings of the page's example, with the site's classes; rates and units are arguments. */
  static Map<String, String> settings(int rank, int nodes) {
    Map<String, String> values = new TreeMap<>();
    String[] plain = {
      "azs", "[\"san-jose-1\"]", "client_habits.marks_retry", "true", "contract.ask_within", "10000.0",
      "contract.cold_share", "0.16", "contract.drain_grace", "250.0", "contract.grace_to_answer", "16.0",
      "contract.overload_factor", "3.0", "contract.overload_for", "2000.0", "contract.warm_after", "18000.0",
      "discovery", "\"pushed\"", "family", "\"gate\"", "family_info.count_limit", "80.0",
      "family_info.counter_price", "0.02", "family_info.meter_period", "0.0", "family_info.most_units", "1",
      "family_info.peer_in_per_s", "0.0", "family_info.shared_counter", "true", "family_info.trued_up", "false",
      "feedback.fields", "[\"utilization\",\"outstanding\"]", "feedback.via", "\"probe\"", "goal.whole", "0.5",
      "goal.worst_class", "0.1", "goal.worst_tenant", "0.15", "goal.worst_window", "0.25",
      "kinds", "[\"std-2c\",\"slow-2c\"]", "limits.cancelling", "true", "limits.connect_timeout", "250.0",
      "limits.cpu_us_per_request", "0.0", "limits.cpu_us_per_s", "667188", "limits.keepalive", "15000.0",
      "limits.max_open", "26687", "limits.max_retry_after", "2000.0", "limits.parallel_tries", "true",
      "limits.peers", "false", "limits.probing", "true", "limits.retry_after", "true", "limits.send_cap", "5",
      "limits.streams_per_conn", "32", "my_zone", "\"san-jose-1\"", "prices.late_fail", "0.03",
      "prices.probe", "0.01", "prices.waste", "0.05", "tick", "4.0", "tier", "0",
      "tiers", "[\"matricula-pool\"]", "weight_kind", "\"rough\"",
      "request_classes",
      "[{\"aim\":600.0,\"effect\":\"read_like\",\"group\":\"all\",\"hard_limit\":2000.0,\"late_share\":0.2,"
          + "\"name\":\"seat-lookup\",\"repeat_window\":5000.0,\"stream\":false,\"worth\":1.0},"
          + "{\"aim\":800.0,\"effect\":\"idempotency_key\",\"group\":\"cell\",\"hard_limit\":3000.0,"
          + "\"late_share\":0.0,\"name\":\"enrol\",\"repeat_window\":7500.0,\"stream\":false,\"worth\":2.0}]"
    };
    for (int i = 0; i < plain.length; i += 2) {
      values.put(plain[i], plain[i + 1]);
    }
    values.put("rank", Integer.toString(rank));
    values.put("group_size", Integer.toString(nodes));
    values.put("tariffs", "[" + plan("sede-mayor", 14, 23, 0, 0, 0) + "]");
    return values;
  }

  static String plan(String name, double rate, double depth, double hardRate, double ceilingBurst, double slack) {
    return plan(name, rate, depth, 0, hardRate, ceilingBurst, slack);
  }

  static String plan(
      String name, double rate, double depth, int open, double hardRate, double ceilingBurst, double slack) {
    return "{\"name\":\"" + name + "\",\"per_second\":" + rate + ",\"depth\":" + depth
        + ",\"open\":" + open + ",\"over_cost\":0.8,\"extra_worth\":0.0,\"price\":1.4,\"hard_rate\":" + hardRate
        + ",\"ceiling_burst\":" + ceilingBurst + ",\"cap_slack\":" + slack + "}";
  }
}
