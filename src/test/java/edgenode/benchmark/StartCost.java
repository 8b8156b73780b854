package edgenode.benchmark;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.ThreadedAppServerEmulator;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What a start costs, part by part, with clients that wait for the first PONG: the command of the
 * deploy file among stand-ins, started so many times in turn. For each part the time since the part
 * before, wall and CPU (ms, from the system's hundredths of a second), median, 90th percentile and
 * most. Arguments: starts, clients that wait. Run from the repository's root after the deploy
 * file's build: {@code java -cp target/test-classes:target/classes:target/lib/*
 * edgenode.benchmark.StartCost 20 8}
 */
final class StartCost {
  private static final String PARTS = "start, wall/CPU ms:";
  private static final int SERVERS = 20;
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":256},
         "settings":{"rank":0,"group_size":20,"tick":4,"contract":{"drain_grace":250,"warm_after":18000},
          "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
           {"name":"write","effect":"idempotency_key","group":"cell","aim":900,"hard_limit":3000}],
          "tariffs":[{"name":"p","per_second":8,"depth":16},{"name":"q","per_second":80,"depth":160}]}}""";

  private StartCost() {}

  public static void main(String[] args) throws Exception {
    int starts = Integer.parseInt(args[0]);
    Map<String, List<double[]>> parts = new LinkedHashMap<>();
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(0);
        ThreadedAppServerEmulator app = new ThreadedAppServerEmulator(at -> {})) {
      for (int i = 0; i < SERVERS; i++) {
        agent.set(new DiscoveryAgentEmulator.Host("s" + i, app.address(), "active", 0));
      }
      for (int i = 0; i < starts; i++) {
        start(agent, Integer.parseInt(args[1]), parts);
      }
    }
    System.out.println("part: wall median, 90th, most; CPU median, 90th, most (ms)");
    parts.forEach(
        (part, all) ->
            System.out.printf(Locale.ROOT, "%s: %s; %s%n", part, spread(all, 0), spread(all, 1)));
  }

  private static String spread(List<double[]> all, int which) {
    List<Double> sorted = new ArrayList<>();
    all.forEach(one -> sorted.add(one[which]));
    Collections.sort(sorted);
    int last = sorted.size() - 1;
    return String.format(
        Locale.ROOT,
        "%.0f, %.0f, %.0f",
        sorted.get(last / 2),
        sorted.get(last * 9 / 10),
        sorted.get(last));
  }

  private static void start(
      DiscoveryAgentEmulator agent, int clients, Map<String, List<double[]>> parts)
      throws Exception {
    Path config = Files.createTempFile("start", ".json");
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Files.writeString(config, CONFIG.formatted(port, agent.address()));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("EDGE_CONFIG", config.toString());
    long from = System.nanoTime();
    Process node = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    try (BufferedReader log =
        new BufferedReader(new InputStreamReader(node.getErrorStream(), StandardCharsets.UTF_8))) {
      List<Thread> waiting = new ArrayList<>();
      double[] pong = new double[clients];
      for (int c = 0; c < clients; c++) {
        int at = c;
        waiting.add(new Thread(() -> pong[at] = pong(port, from)));
      }
      waiting.forEach(Thread::start);
      String line = log.readLine();
      while (line != null && !line.contains(PARTS)) {
        line = log.readLine();
      }
      if (line == null) {
        throw new IOException("the node ended at its start");
      }
      for (Thread each : waiting) {
        each.join();
      }
      double[] before = {0, 0};
      for (String part : line.substring(line.indexOf(PARTS) + PARTS.length()).split(",")) {
        int space = part.lastIndexOf(' ');
        double[] now =
            Arrays.stream(part.substring(space + 1).split("/"))
                .mapToDouble(Double::parseDouble)
                .toArray();
        add(
            parts,
            part.substring(0, space).strip(),
            new double[] {now[0] - before[0], now[1] - before[1]});
        before = now;
      }
      add(parts, "all, to the bind", before);
      add(
          parts,
          "the last client's first PONG",
          new double[] {Arrays.stream(pong).max().orElse(0), before[1]});
    } finally {
      node.destroy();
      if (!node.waitFor(10, TimeUnit.SECONDS)) {
        node.destroyForcibly();
      }
      Files.delete(config);
    }
  }

  private static void add(Map<String, List<double[]>> parts, String part, double[] took) {
    parts.computeIfAbsent(part, p -> new ArrayList<>()).add(took);
  }

  private static List<String> command() throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home")
                    + File.separator
                    + "bin"
                    + File.separator
                    + "java"));
    String run =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    for (String word :
        run.substring(run.indexOf("java ") + "java ".length(), run.lastIndexOf('"')).split(" ")) {
      command.add(word.replace("${TMPDIR:-/tmp}", System.getProperty("java.io.tmpdir")));
    }
    return command;
  }

  /** Comes again and again, as a front does, until a PING is answered; ms from then. */
  private static double pong(int port, long from) {
    while (true) {
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
        client.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
        if (client.getInputStream().read() == '+') {
          return (System.nanoTime() - from) / 1e6;
        }
      } catch (IOException e) {
        try {
          Thread.sleep(5); // nobody listens yet
        } catch (InterruptedException ended) {
          return Double.NaN;
        }
      }
    }
  }
}
