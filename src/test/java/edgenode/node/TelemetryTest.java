package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The figures are consistent under faults, and the node reports when they are not. */
class TelemetryTest extends EdgeNodeFixture {
  private static final int CLIENTS = 12;
  private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  @BeforeEach
  void enableAdminAndFigures() {
    hasAdminAddress = true;
    maxDescriptors = 512;
    edgeSettingsToml = "[repeats]\nenabled = true\n[figures]\ncampuses = 5\n";
  }

  private Map<String, String> readFigures() throws IOException {
    return AdminClient.call(node.adminAddress(), "GET /api/telemetry").values();
  }

  private static long sum(Map<String, String> values, String suffix) {
    return values.entrySet().stream()
        .filter(e -> e.getKey().endsWith(suffix) && e.getKey().startsWith("/requests"))
        .mapToLong(e -> Long.parseLong(e.getValue()))
        .sum();
  }

  /** At every read: for all classes together, and the node found no violation. */
  private void assertConsistent(Map<String, String> figures) {
    assertEquals(
        sum(figures, "/taken"),
        sum(figures, "/served")
            + sum(figures, "/refused")
            + sum(figures, "/failed")
            + sum(figures, "/abandoned")
            + sum(figures, "/open"),
        figures.toString());
    assertEquals(figures.get("/in_flight"), Long.toString(sum(figures, "/open")));
    assertEquals("true", figures.get("/adds_up"), figures.toString());
    assertEquals("0", figures.get("/breaches"));
  }

  /**
   * Servers that fail, disconnect, send malformed, long or no responses; clients that disconnect at
   * any moment, send partial commands, pipeline and submit duplicates: read all the while.
   */
  @Test
  void figuresStayConsistentUnderFaults() throws Exception {
    start();
    answerWithFaults(serverConnection, 0);
    AtomicBoolean isFinished = new AtomicBoolean();
    acceptUntil(isFinished);
    AtomicLong sentRequests = new AtomicLong();
    int port = ((InetSocketAddress) node.address()).getPort();
    List<Thread> clients = new ArrayList<>();
    for (int seed = 0; seed < CLIENTS; seed++) {
      Random random = new Random(seed);
      clients.add(new Thread(() -> misbehaveUntil(isFinished, port, random, sentRequests)));
    }
    clients.forEach(Thread::start);
    long untilNanos = System.nanoTime() + DURATION_NANOS;
    int reads = 0;
    while (System.nanoTime() < untilNanos) {
      assertConsistent(readFigures());
      assertTrue(
          policyEvents.stream().noneMatch(line -> line.startsWith("campus")),
          policyEvents.toString());
      policyEvents.clear();
      node.loop().execute(() -> node.ledger().auditCustomers().forEach(policyEvents::add));
      reads++;
    }
    isFinished.set(true);
    for (Thread thread : clients) {
      thread.join();
    }
    DiscoveryFixture.await(
        "all have ended",
        () -> {
          try {
            return readFigures().get("/in_flight").equals("0");
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    Map<String, String> figures = readFigures();
    assertConsistent(figures);
    assertTrue(reads > 50, reads + " looks");
    for (String end : List.of("served", "refused", "failed", "abandoned")) {
      assertTrue(sum(figures, "/" + end) > 20, end + ": " + figures);
    }
    assertTrue(
        sum(figures, "/taken") <= sentRequests.get(),
        "taken and never asked: " + sentRequests + " " + figures);
    AdminClient.Response customers = AdminClient.call(node.adminAddress(), "GET /api/campuses");
    long taken =
        customers.values().entrySet().stream()
            .filter(e -> e.getKey().endsWith("/taken"))
            .mapToLong(e -> Long.parseLong(e.getValue()))
            .sum();
    assertEquals(sum(figures, "/taken"), taken);
  }

  private void acceptUntil(AtomicBoolean isFinished) {
    Thread accepting =
        new Thread(
            () -> {
              try {
                for (int seed = 1; !isFinished.get(); seed++) {
                  FakePeer.Connection connection = appServer.poll(100);
                  if (connection != null) {
                    answerWithFaults(connection, seed);
                  }
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  private void misbehaveUntil(
      AtomicBoolean isFinished, int port, Random random, AtomicLong sentRequests) {
    while (!isFinished.get()) {
      misbehave(port, random, sentRequests);
    }
  }

  private void misbehave(int port, Random random, AtomicLong sentRequests) {
    try (FakePeer.Connection connection = FakePeer.Connection.connect(port)) {
      connection.socket.setSoTimeout(1500);
      int requests = 1 + random.nextInt(3);
      for (int i = 0; i < requests; i++) {
        String className =
            List.of("read", "read", "write", "refuse", "fail", "throw").get(random.nextInt(6));
        sentRequests.incrementAndGet();
        connection.writeCommand(
            className.equals("write") ? "CALL.POST" : "CALL.GET",
            "000000000000000" + random.nextInt(8),
            Long.toHexString(random.nextLong()),
            "c="
                + className
                + ",t=p,d="
                + (100 + random.nextInt(400))
                + ",k="
                + random.nextInt(40)
                + ",units=1,spread=1,first=0");
      }
      switch (random.nextInt(6)) {
        case 0 -> connection.socket.setSoLinger(true, 0);
        case 1 -> connection.write("*4\r\n$8\r\nCALL.G");
        case 2 -> connection.write("noise\r\n");
        case 3 -> {
          connection.readLine(); // within the response, where it is a long one
          connection.socket.setSoLinger(true, 0);
        }
        default -> {
          for (int i = 0; i < requests; i++) {
            connection.readMessage();
          }
        }
      }
    } catch (IOException e) {
      // expected
    }
  }

  private static void answerWithFaults(FakePeer.Connection connection, int seed) {
    Random random = new Random(seed);
    Thread thread =
        new Thread(
            () -> {
              try (connection) {
                while (true) {
                  connection.readMessage();
                  switch (random.nextInt(14)) {
                    case 0 -> connection.write("-ERR failed\r\n");
                    case 1 -> connection.write("-BUSY\r\n");
                    case 2 -> connection.write("noise\r\n");
                    case 3 -> connection.write("*3\r\n$100\r\nhalf");
                    case 4 -> {
                      return;
                    }
                    case 5 -> connection.writeAppServerValue("v".repeat(200_000));
                    case 6 -> {
                      connection.write("*3\r\n$200000\r\n" + "v".repeat(5000));
                      return;
                    }
                    case 8, 9 -> {
                      connection.write("*3\r\n$200000\r\n" + "v".repeat(5000));
                      TimeUnit.MILLISECONDS.sleep(100);
                      connection.write("v".repeat(195_000) + "\r\n$-1\r\n$-1\r\n");
                    }
                    case 7 -> TimeUnit.MILLISECONDS.sleep(600);
                    default -> connection.writeAppServerValue("value");
                  }
                }
              } catch (IOException | InterruptedException e) {
                // the node has closed it
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Without a read of the figures the log has the violation within two checks. */
  @Test
  void inconsistentFiguresAreLoggedByTheNode() throws Exception {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      start(); // its log is the standard error of that moment
      node.loop()
          .execute(
              () ->
                  node.ledger()
                      .countersFor("read", CUSTOMER)
                      .requestAccepted()); // counted, but in no table
      DiscoveryFixture.await(
          "it is told",
          () -> log.toString(StandardCharsets.UTF_8).contains("figures do not add up: table"));
    } finally {
      System.setErr(originalErr);
    }
    assertTrue(
        log.toString(StandardCharsets.UTF_8).contains("figures do not add up: clients"),
        log.toString());
    Map<String, String> figures = readFigures();
    assertEquals("false", figures.get("/adds_up"));
    assertTrue(Long.parseLong(figures.get("/breaches")) >= 2);
  }

  @Test
  void customersAreReportedInPages() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    for (int i = 1; i <= 7; i++) {
      client.writeCommand("CALL.GET", "000000000000000" + i, "i" + i, "c=refuse,t=p,d=900");
      client.readMessage();
    }
    Map<String, String> firstPage =
        AdminClient.call(node.adminAddress(), "GET /api/campuses?limit=3").values();
    assertEquals("0000000000000005", firstPage.get("/next")); // 1 and 2 were evicted
    assertEquals("1", firstPage.get("/campuses/0000000000000004//refused"));
    assertEquals("2", firstPage.get("/others//refused"));
    Map<String, String> secondPage =
        AdminClient.call(
                node.adminAddress(), "GET /api/campuses?limit=3&after=" + firstPage.get("/next"))
            .values();
    assertEquals("1", secondPage.get("/campuses/0000000000000007//refused"));
    assertNull(secondPage.get("/next"));
    assertEquals(400, AdminClient.call(node.adminAddress(), "GET /api/campuses?limit=0").status());
    assertEquals(
        400, AdminClient.call(node.adminAddress(), "GET /api/campuses?limit=all").status());
  }

  @Test
  void withoutTheSettingCustomersAreNotReported() throws Exception {
    edgeSettingsToml = null;
    start();
    assertEquals(404, AdminClient.call(node.adminAddress(), "GET /api/campuses").status());
  }
}
