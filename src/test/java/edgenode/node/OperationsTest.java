package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.drain.Drain;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What operators ask and tell, at a real node's second address. */
class OperationsTest extends NodeFixture {
  @BeforeEach
  void called() {
    admin = true;
  }

  private Calls.Answer call(String what) throws IOException {
    return Calls.call(node.adminAddress(), what);
  }

  private String ping() throws IOException {
    try (Peer.Line line = Peer.Line.to(((InetSocketAddress) node.address()).getPort())) {
      line.command("PING");
      return line.message().get(0);
    }
  }

  @Test
  void withoutAnAddressNobodyListens() throws Exception {
    admin = false;
    start();
    assertNull(node.adminAddress());
  }

  @Test
  void aNodeIsReadyOnceItTakesClientsAndNotBefore() throws Exception {
    Node other =
        new Node(
            Config.of(Json.read(config()), Map.of()),
            (settings, seed, now, actions) -> new Script());
    try {
      other.answerOperators();
      Calls.Answer early = Calls.call(other.adminAddress(), "GET /api/ready");
      assertEquals(503, early.status());
      assertTrue(early.body().contains("starting"), early.body());
      assertEquals(200, Calls.call(other.adminAddress(), "GET /api/telemetry").status());
    } finally {
      other.loop().group().shutdownGracefully();
    }
    start();
    assertEquals(200, call("GET /api/ready").status());
  }

  @Test
  void whatIsNoCallIsToldSo() throws Exception {
    start();
    assertEquals(404, call("GET /api/nothing").status());
    Calls.Answer wrong = call("POST /api/evacuate");
    assertEquals(405, wrong.status());
    assertTrue(wrong.head().toLowerCase().contains("allow: put"), wrong.head());
    assertEquals(405, call("PUT /api/ready").status());
    assertEquals(400, Calls.raw(node.adminAddress(), "nonsense\r\n\r\n").status());
    assertEquals(
        400,
        Calls.raw(node.adminAddress(), "GET /" + "x".repeat(2000) + " HTTP/1.1\r\n\r\n").status());
    assertEquals(
        413,
        Calls.raw(
                node.adminAddress(),
                "PUT /api/evacuate HTTP/1.1\r\nHost: x\r\n"
                    + "Content-Length: 100000\r\n\r\n"
                    + "x".repeat(100_000))
            .status());
    assertEquals("+PONG", ping()); // none of them evacuated
    Calls.Answer two =
        Calls.raw(
            node.adminAddress(),
            "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                + "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assertEquals(1, two.head().split("HTTP/1.1 200").length - 1);
    assertFalse(two.body().contains("HTTP"), two.body());
  }

  /**
   * Callers that do not finish their call fill all places, and the next one is answered at once all
   * the same.
   */
  @Test
  void callersThatStallKeepNobodyWaiting() throws Exception {
    start();
    List<Socket> stalled = new ArrayList<>();
    try {
      for (int i = 0; i < 100; i++) {
        Socket socket = Calls.to(node.adminAddress());
        stalled.add(socket);
        socket.getOutputStream().write("GET /api/re".getBytes(StandardCharsets.US_ASCII));
      }
      long before = System.nanoTime();
      assertEquals(200, call("GET /api/ready").status());
      assertTrue(System.nanoTime() - before < 1_000_000_000L);
      // and one that is slow, but not the oldest, still gets its answer
      Socket last = stalled.get(99);
      last.getOutputStream()
          .write("ady HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(200, Calls.read(last).status());
      assertTrue(Calls.ended(stalled.get(0)), "the oldest keeps its place");
    } finally {
      for (Socket socket : stalled) {
        socket.close();
      }
    }
  }

  /**
   * A queue of 64 was filled by a burst of callers while the loop was busy: the next one's connect
   * was lost, and came again after a second, which is all the time an answer has.
   */
  @Test
  void aBurstOfCallersFindsRoomInTheQueue() throws Exception {
    start();
    CountDownLatch busy = new CountDownLatch(1);
    node.loop()
        .later(
            () -> {
              try {
                busy.await(10, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    List<Socket> callers = new ArrayList<>();
    try {
      for (int i = 0; i < 200; i++) {
        Socket caller = new Socket();
        callers.add(caller);
        caller.connect(node.adminAddress(), 900); // or a timeout: the queue is full
      }
      busy.countDown();
      assertEquals(200, call("GET /api/ready").status());
    } finally {
      busy.countDown();
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  @Test
  void eachRequestIsCountedOnceByWhatBecameOfIt() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 900);
    server.message();
    figure("/in_flight", "1");
    server.value("one");
    client.message();
    get(client, "02", "refuse", 900);
    client.message();
    get(client, "03", "fail", 900);
    client.message();
    get(client, "04", "read", 900);
    server.message();
    server.write("-ERR failed\r\n");
    assertEquals(List.of("-ERR failed"), client.message());
    get(client, "05", "hold", 60_000);
    figure("/in_flight", "1");
    client.close();
    figure("/in_flight", "0");
    Map<String, String> values = call("GET /api/telemetry").values();
    assertEquals("1", values.get("/requests/read/served"));
    assertEquals("0", values.get("/requests/read/refused"));
    assertEquals("1", values.get("/requests/read/failed"));
    assertEquals("2", values.get("/requests/read/attempts"));
    assertEquals("2", values.get("/attempts"));
    assertEquals("0", values.get("/requests/write/taken"));
    assertEquals("1", values.get("/requests_of_unknown_class/refused"));
    assertEquals("1", values.get("/requests_of_unknown_class/failed"));
    assertEquals("1", values.get("/requests_of_unknown_class/abandoned"));
    assertEquals("1", values.get("/app_servers_known"));
    assertEquals("0", values.get("/app_servers_excluded"));
    assertEquals("true", values.get("/adds_up"));
    push(list(42, false, entry("s0", app.address(), "leaving")));
    figure("/app_servers_excluded", "1");
    figure("/app_servers_known", "1");
    push(list(43, false, entry("s0", app.address(), "left")));
    figure("/app_servers_known", "0");
  }

  /**
   * The no comes at once, the ends once the front can have acted on it, and the answer that is owed
   * comes first.
   */
  @Test
  void aDrainSendsClientsAwayInSteps() throws Exception {
    start();
    Peer.Line idle = client();
    idle.command("PING");
    assertEquals(List.of("+PONG"), idle.message());
    Peer.Line busy = client();
    get(busy, "01", "read", 20_000);
    server.message();
    assertEquals(200, call("PUT /api/evacuate").status());
    long told = System.nanoTime();
    assertEquals("-ERR draining", ping());
    assertEquals(503, call("GET /api/ready").status());
    get(idle, "02", "refuse", 900); // for a while connections go on as ever
    assertEquals(List.of("-BUSY 1500"), idle.message());
    assertTrue(idle.ended());
    long after = (System.nanoTime() - told) / 1_000_000;
    assertTrue(after >= Drain.NOTICE - 50 && after < 3000, after + " ms");
    try (Peer.Line late = Peer.Line.to(((InetSocketAddress) node.address()).getPort())) {
      get(late, "03", "refuse", 900); // what comes all the same is served, and its connection ends
      assertEquals(List.of("-BUSY 1500"), late.message());
      assertTrue(late.ended());
    }
    try (Peer.Line silent = Peer.Line.to(((InetSocketAddress) node.address()).getPort())) {
      long from = System.nanoTime();
      assertTrue(silent.ended());
      assertTrue(System.nanoTime() - from < 2_000_000_000L); // idle: it may not stay
    }
    server.value("whole");
    assertEquals(List.of("whole"), busy.message());
    assertTrue(busy.ended());
    assertEquals(200, call("PUT /api/rejoin").status());
    assertEquals("+PONG", ping());
    assertEquals(200, call("GET /api/ready").status());
    Peer.Line again = client();
    get(again, "04", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), again.message());
    again.command("PING"); // it stays open
    assertEquals(List.of("+PONG"), again.message());
  }

  /**
   * What a client has begun to send it may finish, through the ends and the cut: only then its
   * connection ends.
   */
  @Test
  void aCommandHalfSentIsTakenThroughADrain() throws Exception {
    start();
    Peer.Line slow = client();
    slow.socket.setTcpNoDelay(true);
    String call =
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    slow.write(call.substring(0, 20));
    Peer.Line other = client();
    other.command("PING"); // the half before it has been read
    assertEquals(List.of("+PONG"), other.message());
    call("PUT /api/evacuate");
    Thread.sleep(
        (long) Drain.CUT_AFTER + 150); // the time itself is what is tested; a head may take 2 s
    slow.write(call.substring(20));
    assertEquals(List.of("-BUSY 1500"), slow.message());
    assertTrue(slow.ended());
    assertTrue(other.ended());
  }

  /**
   * Behind a request that is open, a connection brings no more after the cut; taken back, what
   * waits is read.
   */
  @Test
  void aDrainThatIsTakenBackAfterTheCutReadsOn() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 20_000);
    server.message();
    arrived(1, "read");
    call("PUT /api/evacuate");
    Thread.sleep((long) Drain.CUT_AFTER + 200); // the time itself is what is tested
    get(client, "02", "refuse", 900);
    Thread.sleep(100);
    assertNull(told.peek(), "it was read");
    call("PUT /api/rejoin");
    arrived(2, "refuse");
    server.value("one");
    assertEquals(List.of("one"), client.message());
    assertEquals(List.of("-BUSY 1500"), client.message());
    client.command("PING");
    assertEquals(List.of("+PONG"), client.message());
  }

  @Test
  void anEndCannotBeTakenBack() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 20_000);
    server.message();
    Thread draining = ending();
    assertEquals(409, call("PUT /api/rejoin").status());
    assertEquals("-ERR draining", ping());
    server.value("one");
    assertEquals(List.of("one"), client.message());
    draining.join();
    assertThrows(IOException.class, () -> call("GET /api/ready"));
  }
}
