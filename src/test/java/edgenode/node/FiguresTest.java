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

/** The figures add up while everything goes wrong, and the node itself says when they do not. */
class FiguresTest extends NodeFixture {
  private static final int CLIENTS = 12;
  private static final long FOR = TimeUnit.SECONDS.toNanos(6);

  @BeforeEach
  void called() {
    admin = true;
    sockets = 512;
    own = "[repeats]\nenabled = true\n[figures]\ncampuses = 5\n";
  }

  private Map<String, String> figures() throws IOException {
    return Calls.call(node.adminAddress(), "GET /api/telemetry").values();
  }

  private static long sum(Map<String, String> values, String end) {
    return values.entrySet().stream()
        .filter(e -> e.getKey().endsWith(end) && e.getKey().startsWith("/requests"))
        .mapToLong(e -> Long.parseLong(e.getValue()))
        .sum();
  }

  /** At every look: for all classes together, and the node has found nothing itself. */
  private void addsUp(Map<String, String> v) {
    assertEquals(
        sum(v, "/taken"),
        sum(v, "/served")
            + sum(v, "/refused")
            + sum(v, "/failed")
            + sum(v, "/abandoned")
            + sum(v, "/open"),
        v.toString());
    assertEquals(v.get("/in_flight"), Long.toString(sum(v, "/open")));
    assertEquals("true", v.get("/adds_up"), v.toString());
    assertEquals("0", v.get("/breaches"));
  }

  /**
   * Servers that fail, break off, answer noise, long values and nothing; clients that go away at
   * any moment, send half, pipeline and repeat themselves: looked at all the while.
   */
  @Test
  void theFiguresAddUpAtEveryMomentOfABadDay() throws Exception {
    start();
    serve(server, 0);
    AtomicBoolean over = new AtomicBoolean();
    Thread accepting =
        new Thread(
            () -> {
              try {
                for (int i = 1; !over.get(); i++) {
                  Peer.Line line = app.poll(100);
                  if (line != null) {
                    serve(line, i);
                  }
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            });
    accepting.setDaemon(true);
    accepting.start();
    AtomicLong asked = new AtomicLong();
    int port = ((InetSocketAddress) node.address()).getPort();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      Random random = new Random(c);
      Thread thread =
          new Thread(
              () -> {
                while (!over.get()) {
                  misbehave(port, random, asked);
                }
              });
      thread.start();
      clients.add(thread);
    }
    long until = System.nanoTime() + FOR;
    int looks = 0;
    while (System.nanoTime() < until) {
      addsUp(figures());
      assertTrue(told.stream().noneMatch(line -> line.startsWith("campus")), told.toString());
      told.clear();
      node.loop().later(() -> node.ledger().checkCampuses().forEach(told::add));
      looks++;
    }
    over.set(true);
    for (Thread thread : clients) {
      thread.join();
    }
    Rig.await(
        "all have ended",
        () -> {
          try {
            return figures().get("/in_flight").equals("0");
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    Map<String, String> v = figures();
    addsUp(v);
    assertTrue(looks > 50, looks + " looks");
    for (String end : List.of("served", "refused", "failed", "abandoned")) {
      assertTrue(sum(v, "/" + end) > 20, end + ": " + v);
    }
    assertTrue(sum(v, "/taken") <= asked.get(), "taken and never asked: " + asked + " " + v);
    Calls.Answer campuses = Calls.call(node.adminAddress(), "GET /api/campuses");
    long taken =
        campuses.values().entrySet().stream()
            .filter(e -> e.getKey().endsWith("/taken"))
            .mapToLong(e -> Long.parseLong(e.getValue()))
            .sum();
    assertEquals(sum(v, "/taken"), taken);
  }

  private void misbehave(int port, Random random, AtomicLong asked) {
    try (Peer.Line line = Peer.Line.to(port)) {
      line.socket.setSoTimeout(1500);
      int calls = 1 + random.nextInt(3);
      for (int i = 0; i < calls; i++) {
        String type =
            List.of("read", "read", "write", "refuse", "fail", "throw").get(random.nextInt(6));
        asked.incrementAndGet();
        line.command(
            type.equals("write") ? "CALL.POST" : "CALL.GET",
            "000000000000000" + random.nextInt(8),
            Long.toHexString(random.nextLong()),
            "c="
                + type
                + ",t=p,d="
                + (100 + random.nextInt(400))
                + ",k="
                + random.nextInt(40)
                + ",units=1,spread=1,first=0");
      }
      switch (random.nextInt(6)) {
        case 0 -> line.socket.setSoLinger(true, 0);
        case 1 -> line.write("*4\r\n$8\r\nCALL.G");
        case 2 -> line.write("noise\r\n");
        case 3 -> {
          line.line(); // within the answer, where it is a long one
          line.socket.setSoLinger(true, 0);
        }
        default -> {
          for (int i = 0; i < calls; i++) {
            line.message();
          }
        }
      }
    } catch (IOException e) {
      // as is to be expected
    }
  }

  private static void serve(Peer.Line line, int seed) {
    Random random = new Random(seed);
    Thread thread =
        new Thread(
            () -> {
              try (line) {
                while (true) {
                  line.message();
                  switch (random.nextInt(14)) {
                    case 0 -> line.write("-ERR failed\r\n");
                    case 1 -> line.write("-BUSY\r\n");
                    case 2 -> line.write("noise\r\n");
                    case 3 -> line.write("*3\r\n$100\r\nhalf");
                    case 4 -> {
                      return;
                    }
                    case 5 -> line.value("v".repeat(200_000));
                    case 6 -> {
                      line.write("*3\r\n$200000\r\n" + "v".repeat(5000));
                      return;
                    }
                    case 8, 9 -> {
                      line.write("*3\r\n$200000\r\n" + "v".repeat(5000));
                      TimeUnit.MILLISECONDS.sleep(100);
                      line.write("v".repeat(195_000) + "\r\n$-1\r\n$-1\r\n");
                    }
                    case 7 -> TimeUnit.MILLISECONDS.sleep(600);
                    default -> line.value("value");
                  }
                }
              } catch (IOException | InterruptedException e) {
                // the node has ended it
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Nobody asks for the figures, and the log has it within two audits. */
  @Test
  void aBreachIsToldByTheNodeItself() throws Exception {
    PrintStream before = System.err;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      start(); // its log is the standard error of that moment
      node.loop()
          .later(() -> node.ledger().row("read", CUSTOMER).taken()); // counted, and in no table
      Rig.await(
          "it is told",
          () -> log.toString(StandardCharsets.UTF_8).contains("figures do not add up: table"));
    } finally {
      System.setErr(before);
    }
    assertTrue(
        log.toString(StandardCharsets.UTF_8).contains("figures do not add up: clients"),
        log.toString());
    Map<String, String> v = figures();
    assertEquals("false", v.get("/adds_up"));
    assertTrue(Long.parseLong(v.get("/breaches")) >= 2);
  }

  @Test
  void campusesComeInPagesAndOnlyWhereTheyAreKept() throws Exception {
    start();
    Peer.Line client = client();
    for (int i = 1; i <= 7; i++) {
      client.command("CALL.GET", "000000000000000" + i, "i" + i, "c=refuse,t=p,d=900");
      client.message();
    }
    Map<String, String> first =
        Calls.call(node.adminAddress(), "GET /api/campuses?limit=3").values();
    assertEquals("0000000000000005", first.get("/next")); // 1 and 2 made room
    assertEquals("1", first.get("/campuses/0000000000000004//refused"));
    assertEquals("2", first.get("/others//refused"));
    Map<String, String> second =
        Calls.call(node.adminAddress(), "GET /api/campuses?limit=3&after=" + first.get("/next"))
            .values();
    assertEquals("1", second.get("/campuses/0000000000000007//refused"));
    assertNull(second.get("/next"));
    assertEquals(400, Calls.call(node.adminAddress(), "GET /api/campuses?limit=0").status());
    assertEquals(400, Calls.call(node.adminAddress(), "GET /api/campuses?limit=all").status());
  }

  @Test
  void withoutTheSettingThereAreNoCampuses() throws Exception {
    own = null;
    start();
    assertEquals(404, Calls.call(node.adminAddress(), "GET /api/campuses").status());
  }
}
