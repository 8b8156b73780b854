package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.ThreadedAppServerEmulator;
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
 * An edge node in a process of its own under a limit of file descriptors (RLIMIT_NOFILE of
 * getrlimit(2)), with many idle clients that use what they can: the descriptors for discovery,
 * counter and servers stay free.
 */
@Timeout(90)
class FileDescriptorLimitTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private static final int ANSWERED_REQUESTS = 10;
  private static final String REPORT =
      "limit of %d descriptors: %d at the start, %d at most, list and ten answers after %.0f ms, "
          + "%d held at app servers%n";
  private static final int MAX_WAITING_REQUESTS = 60;

  /** Endpoints at one address: each has connections of its own. */
  private static final int ENDPOINTS = 12;

  private final List<String> log = Collections.synchronizedList(new ArrayList<>());
  private final List<AutoCloseable> resources = new ArrayList<>();
  private int port;
  private int lastRequestId;

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

  private FakePeer.Connection connectClient() throws IOException {
    FakePeer.Connection connection = FakePeer.Connection.connect(port);
    connection.socket.setSoTimeout(40_000);
    resources.add(connection);
    return connection;
  }

  private boolean isServing() {
    try (FakePeer.Connection connection = FakePeer.Connection.connect(port)) {
      connection.writeCommand("PING");
      return connection.readMessage().get(0).equals("+PONG");
    } catch (IOException e) {
      return false;
    }
  }

  private void sendRequest(FakePeer.Connection connection) throws IOException {
    connection.writeCommand(
        "CALL.GET",
        CUSTOMER,
        Integer.toHexString(++lastRequestId),
        "c=read,t=p,d=30000,units=1,spread=1,first=0");
  }

  /** Sends a request, again where its connection was closed unread, as clients do. */
  private String sendUntilAnswered() throws IOException {
    for (int attempt = 0; ; attempt++) {
      FakePeer.Connection connection = connectClient();
      try {
        sendRequest(connection);
        return connection.readMessage().get(0);
      } catch (IOException e) {
        if (attempt == 20) {
          throw e;
        }
      }
    }
  }

  private static long countDescriptors(Process process) throws IOException {
    try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return files.count();
    }
  }

  /** Clients that never close: idle ones after a PING, and silent ones. */
  private void connectCrowd(int clients) throws IOException {
    for (int i = 0; i < clients; i++) {
      FakePeer.Connection connection = connectClient();
      if (i % 2 == 0) {
        try {
          connection.writeCommand("PING");
        } catch (IOException e) {
          continue; // closed unread
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {160, 256, 1024})
  void crowdOfClientsLeavesReservedDescriptorsFree(int limit, @TempDir Path folder)
      throws Exception {
    CountDownLatch releaseResponses = new CountDownLatch(1);
    AtomicInteger heldRequests = new AtomicInteger();
    AtomicInteger requestsAtOtherServer = new AtomicInteger();
    DiscoveryAgentEmulator firstDiscovery = new DiscoveryAgentEmulator(40);
    try (FakePeer counter = new FakePeer();
        ThreadedAppServerEmulator appServer =
            new ThreadedAppServerEmulator(
                at -> {
                  heldRequests.incrementAndGet();
                  awaitRelease(releaseResponses);
                });
        ThreadedAppServerEmulator otherAppServer =
            new ThreadedAppServerEmulator(at -> requestsAtOtherServer.incrementAndGet())) {
      listEndpoints(firstDiscovery, appServer, "active");
      int discoveryPort = portOf(firstDiscovery.address());
      Process process = start(folder, limit, firstDiscovery.address(), counter.address());
      try {
        DiscoveryFixture.await("the node serves", this::isServing);
        long descriptorsAtStart = countDescriptors(process);
        List<FakePeer.Connection> waiting = sendRequests(Math.min(MAX_WAITING_REQUESTS, limit / 6));
        DiscoveryFixture.await("some are held", () -> heldRequests.get() > 0);
        firstDiscovery
            .close(); // its descriptors in the node are free, and the crowd takes what it can
        connectCrowd(2 * limit);
        long maxDescriptors = countDescriptors(process);
        try (DiscoveryAgentEmulator secondDiscovery =
            new DiscoveryAgentEmulator("127.0.0.1", discoveryPort, 50)) {
          listEndpoints(secondDiscovery, appServer, "leaving");
          secondDiscovery.set(
              new DiscoveryAgentEmulator.Host("other", otherAppServer.address(), "active", 0));
          long sinceNanos = System.nanoTime();
          connectCrowd(limit / 4);
          expectAnswers(secondDiscovery);
          maxDescriptors = Math.max(maxDescriptors, countDescriptors(process));
          System.out.printf(
              REPORT,
              limit,
              descriptorsAtStart,
              maxDescriptors,
              (System.nanoTime() - sinceNanos) / 1e6,
              heldRequests.get());
          assertTrue(
              requestsAtOtherServer.get() >= ANSWERED_REQUESTS, "the new list's server has them");
          releaseResponses.countDown();
          expectAllAnswered(waiting);
          assertTrue(maxDescriptors < limit, maxDescriptors + " of " + limit);
          assertTrue(
              log.stream().noneMatch(l -> l.contains("Too many open files")), log.toString());
        }
      } catch (IOException | AssertionError e) {
        throw new AssertionError(
            "limit " + limit + ", the node " + (process.isAlive() ? "lives " : "has ended ") + log,
            e);
      } finally {
        releaseResponses.countDown();
        end(process);
      }
    }
  }

  private static int portOf(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** The node has asked for the list, and forwards requests to the endpoint on it. */
  private void expectAnswers(DiscoveryAgentEmulator discovery) throws Exception {
    DiscoveryFixture.await("the list is asked for" + log, () -> discovery.requestCount() > 0);
    for (int i = 0; i < ANSWERED_REQUESTS; i++) {
      assertEquals("ok", sendUntilAnswered());
    }
  }

  /** No accepted request is lost. */
  private static void expectAllAnswered(List<FakePeer.Connection> waiting) throws IOException {
    for (FakePeer.Connection connection : waiting) {
      assertEquals("ok", connection.readMessage().get(0));
    }
  }

  private void end(Process process) throws Exception {
    process.destroyForcibly();
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    for (AutoCloseable each : resources) {
      each.close();
    }
  }

  private static void awaitRelease(CountDownLatch releaseResponses) {
    try {
      releaseResponses.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<FakePeer.Connection> sendRequests(int count) throws IOException {
    List<FakePeer.Connection> waiting = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FakePeer.Connection connection = connectClient();
      sendRequest(connection);
      waiting.add(connection);
    }
    return waiting;
  }

  private static void listEndpoints(
      DiscoveryAgentEmulator discovery, ThreadedAppServerEmulator appServer, String health)
      throws IOException {
    for (int i = 0; i < ENDPOINTS; i++) {
      discovery.set(new DiscoveryAgentEmulator.Host("s" + i, appServer.address(), health, 0));
    }
  }
}
