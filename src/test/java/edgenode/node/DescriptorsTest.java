package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.Agent;
import edgenode.emulator.AppServer;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An edge node in a process of its own under the system's limit on descriptors, RLIMIT_NOFILE of
 * getrlimit(2), and a crowd of idle clients that takes all it can: what the node needs for
 * discovery, counter and app servers stays free.
 */
@Timeout(90)
class DescriptorsTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private static final int HELD = 60;

  /** Names at one address: each has connections of its own. */
  private static final int SERVERS = 12;

  private final List<String> log = Collections.synchronizedList(new ArrayList<>());
  private final List<AutoCloseable> open = new ArrayList<>();
  private int port;
  private int ids;

  private Process start(Path folder, int limit, String agent, String counter) throws Exception {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","counter":"%s","seed":"1","limits":{"sockets":%d},
             "settings":{"rank":0,"group_size":1,"limits":{"send_cap":2,"connect_timeout":250},
              "contract":{"drain_grace":250,"warm_after":18000},
              "request_classes":[{"name":"read","effect":"read_like","aim":20000,"hard_limit":40000}],
              "tariffs":[{"name":"p","per_second":10000,"depth":10000,"price":1}]}}"""
                .formatted(port, agent, counter, limit));
    ProcessBuilder builder =
        new ProcessBuilder(
            "sh",
            "-c",
            "ulimit -n " + limit + " && exec \"$0\" \"$@\"",
            System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "edgenode.Main",
            "serve");
    builder.environment().put("EDGE_CONFIG", config.toString());
    Process process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    Thread reading =
        new Thread(
            () -> {
              try (BufferedReader lines =
                  new BufferedReader(
                      new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
                lines.lines().forEach(log::add);
              } catch (IOException e) {
                log.add("log: " + e);
              }
            });
    reading.setDaemon(true);
    reading.start();
    return process;
  }

  private Peer.Line client() throws IOException {
    Peer.Line line = Peer.Line.to(port);
    line.socket.setSoTimeout(40_000);
    open.add(line);
    return line;
  }

  private boolean serves() {
    try (Peer.Line line = Peer.Line.to(port)) {
      line.command("PING");
      return line.message().get(0).equals("+PONG");
    } catch (IOException e) {
      return false;
    }
  }

  private void ask(Peer.Line line) throws IOException {
    line.command(
        "CALL.GET",
        CUSTOMER,
        Integer.toHexString(++ids),
        "c=read,t=p,d=30000,units=1,spread=1,first=0");
  }

  /** A request that is asked once more where its connection ended unread, as clients do. */
  private String asked() throws IOException {
    for (int turn = 0; ; turn++) {
      Peer.Line line = client();
      try {
        ask(line);
        return line.message().get(0);
      } catch (IOException e) {
        if (turn == 20) {
          throw e;
        }
      }
    }
  }

  private static long descriptors(Process process) throws IOException {
    try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return all.count();
    }
  }

  /**
   * Those that stay, whatever becomes of their connections: idle ones after a PING, and silent
   * ones.
   */
  private void crowd(int clients) throws IOException {
    for (int i = 0; i < clients; i++) {
      Peer.Line line = client();
      if (i % 2 == 0) {
        try {
          line.command("PING");
        } catch (IOException e) {
          continue; // shut unread
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {160, 256, 1024})
  void aCrowdLeavesFreeWhatTheNodeNeeds(int limit, @TempDir Path folder) throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    AtomicInteger held = new AtomicInteger();
    AtomicInteger elsewhere = new AtomicInteger();
    Agent first = new Agent(40);
    try (Peer counter = new Peer();
        AppServer app =
            new AppServer(
                at -> {
                  held.incrementAndGet();
                  try {
                    gate.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
        AppServer other = new AppServer(at -> elsewhere.incrementAndGet())) {
      for (int i = 0; i < SERVERS; i++) {
        first.set(new Agent.Host("s" + i, app.address(), "active", 0));
      }
      int at = Integer.parseInt(first.address().substring(first.address().indexOf(':') + 1));
      Process process = start(folder, limit, first.address(), counter.address());
      try {
        Rig.await("the node serves", this::serves);
        long alone = descriptors(process);
        List<Peer.Line> waiting = new ArrayList<>();
        for (int i = 0; i < Math.min(HELD, limit / 6); i++) {
          Peer.Line line = client();
          ask(line);
          waiting.add(line);
        }
        Rig.await("some are held", () -> held.get() > 0);
        first.close(); // what it held in the node is free now, and the crowd takes what it can
        crowd(2 * limit);
        long most = descriptors(process);
        try (Agent back = new Agent("127.0.0.1", at, 50)) {
          for (int i = 0; i < SERVERS; i++) {
            back.set(new Agent.Host("s" + i, app.address(), "leaving", 0));
          }
          back.set(new Agent.Host("other", other.address(), "active", 0));
          long since = System.nanoTime();
          crowd(limit / 4);
          Rig.await("the list is asked for" + log, () -> back.requests() > 0);
          for (int i = 0; i < 10; i++) {
            assertEquals("ok", asked());
          }
          most = Math.max(most, descriptors(process));
          System.out.printf(
              "limit of %d descriptors: %d at the start, %d at most, list "
                  + "and ten answers after %.0f ms, %d held at app servers%n",
              limit, alone, most, (System.nanoTime() - since) / 1e6, held.get());
          assertTrue(elsewhere.get() >= 10, "the new list's server has them");
          gate.countDown();
          for (Peer.Line line : waiting) { // none is lost that was taken
            assertEquals("ok", line.message().get(0));
          }
          assertTrue(most < limit, most + " of " + limit);
          assertTrue(
              log.stream().noneMatch(l -> l.contains("Too many open files")), log.toString());
        }
      } catch (IOException | AssertionError e) {
        throw new AssertionError(
            "limit " + limit + ", the node " + (process.isAlive() ? "lives " : "has ended ") + log,
            e);
      } finally {
        gate.countDown();
        process.destroyForcibly();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        for (AutoCloseable each : open) {
          each.close();
        }
      }
    }
  }
}
