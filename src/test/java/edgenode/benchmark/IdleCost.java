package edgenode.benchmark;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.ThreadedAppServerEmulator;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * CPU of a node that serves nobody, or so many requests a second: what discovery costs, in ms of
 * CPU a second. Arguments: the command's jar, servers in the list, changes a second, seconds,
 * requests a second. Run from the repository's root: {@code java -cp
 * target/test-classes:target/classes:target/lib/* edgenode.benchmark.IdleCost target/edge-node.jar
 * 10 0 20}
 */
final class IdleCost {
  private IdleCost() {}

  public static void main(String[] args) throws Exception {
    int servers = Integer.parseInt(args[1]);
    double changes = Double.parseDouble(args[2]);
    int seconds = Integer.parseInt(args[3]);
    int load = args.length > 4 ? Integer.parseInt(args[4]) : 0;
    Path config = Files.createTempFile("idle", ".json");
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(0);
        ThreadedAppServerEmulator app = new ThreadedAppServerEmulator(at -> {})) {
      for (int i = 0; i < servers; i++) {
        // nobody listens at the others: only the list is of interest, so they drain
        agent.set(
            i == 0 && load > 0
                ? new DiscoveryAgentEmulator.Host("s0", app.address(), "active", 0)
                : new DiscoveryAgentEmulator.Host("s" + i, "127.0.0.1:1", "leaving", 0));
      }
      Files.writeString(
          config,
          """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"1",
                 "limits":{"sockets":256},"settings":{"rank":0,"group_size":1,
                  "contract":{"drain_grace":250,"warm_after":18000},
                  "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
                  "tariffs":[{"name":"p","per_second":10000,"depth":10000,"price":1}]}}"""
              .formatted(port, agent.address()));
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
      for (String word : run.split(" ")) {
        if (word.startsWith("-X") || word.startsWith("-D") && !word.contains("$")) {
          command.add(word);
        }
      }
      command.addAll(Arrays.asList("-jar", args[0], "serve"));
      ProcessBuilder start = new ProcessBuilder(command);
      start.environment().put("EDGE_CONFIG", config.toString());
      Process node =
          start.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
      try {
        TimeUnit.SECONDS.sleep(6); // it waits up to 4 s for servers, as there are none
        if (load > 0) {
          ask(port, load);
        }
        Map<String, Double> before = cpu(node.pid());
        int asked = agent.requestCount();
        for (int s = 1; s <= seconds; s++) {
          long until = System.nanoTime() + 1_000_000_000L;
          for (int c = 0; c < changes; c++) {
            agent.set(
                new DiscoveryAgentEmulator.Host(
                    "s" + (c * 31 + s) % servers, "127.0.0.1:1", "leaving", s * 1000 + c));
            TimeUnit.NANOSECONDS.sleep((long) (1e9 / changes * 0.9));
          }
          TimeUnit.NANOSECONDS.sleep(until - System.nanoTime());
          if (s % 5 == 0) {
            Map<String, Double> now = cpu(node.pid());
            System.out.printf(
                Locale.ROOT,
                "second %d: ms of CPU a second: %s; %.1f questions%n",
                s,
                taken(before, now, 5),
                (agent.requestCount() - asked) / 5.0);
            before = now;
            asked = agent.requestCount();
          }
        }
      } finally {
        node.destroy();
        node.waitFor(10, TimeUnit.SECONDS);
      }
    } finally {
      Files.delete(config);
    }
  }

  /** So many requests a second on one connection, sent at their times, whatever becomes of them. */
  private static void ask(int port, int load) throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    Thread reading =
        new Thread(
            () -> {
              try {
                client.getInputStream().transferTo(OutputStream.nullOutputStream());
              } catch (IOException e) {
                // the node has ended
              }
            });
    reading.setDaemon(true);
    reading.start();
    Thread asking =
        new Thread(
            () -> {
              try {
                long at = System.nanoTime();
                for (long id = 1; true; id++, at += 1_000_000_000L / load) {
                  TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
                  String hex = Long.toHexString(id);
                  client
                      .getOutputStream()
                      .write(
                          ("*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$"
                                  + hex.length()
                                  + "\r\n"
                                  + hex
                                  + "\r\n$46\r\nc=read,t=p,d=2000,units=1,spread=1,first=0,r=0\r\n")
                              .getBytes(StandardCharsets.US_ASCII));
                }
              } catch (IOException | InterruptedException e) {
                // the node has ended
              }
            });
    asking.setDaemon(true);
    asking.start();
  }

  /** CPU (ms) of each thread by its name, to the nanosecond; the sum as {@code all}. */
  private static Map<String, Double> cpu(long pid) throws IOException {
    Map<String, Double> all = new TreeMap<>();
    try (DirectoryStream<Path> tasks =
        Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
      for (Path task : tasks) {
        double ms = Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]) / 1e6;
        all.merge(Files.readString(task.resolve("comm")).strip(), ms, Double::sum);
        all.merge("all", ms, Double::sum);
      }
    }
    return all;
  }

  /** Where the CPU of a second went, the threads that took most first. */
  private static String taken(Map<String, Double> before, Map<String, Double> now, double seconds) {
    return now.entrySet().stream()
        .map(
            e ->
                Map.entry(
                    e.getKey(), (e.getValue() - before.getOrDefault(e.getKey(), 0.0)) / seconds))
        .filter(e -> e.getValue() > 0.05)
        .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
        .map(e -> String.format(Locale.ROOT, "%s %.2f", e.getKey(), e.getValue()))
        .collect(Collectors.joining(", "));
  }
}
