package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.drain.DrainController;
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

/** The operations of the admin address on a real node. */
class AdminOperationsTest extends EdgeNodeFixture {
  @BeforeEach
  void enableAdmin() {
    hasAdminAddress = true;
  }

  private AdminClient.Response call(String requestLine) throws IOException {
    return AdminClient.call(node.adminAddress(), requestLine);
  }

  private String ping() throws IOException {
    try (FakePeer.Connection connection =
        FakePeer.Connection.connect(((InetSocketAddress) node.address()).getPort())) {
      connection.writeCommand("PING");
      return connection.readMessage().get(0);
    }
  }

  @Test
  void withoutAdminAddressNothingListens() throws Exception {
    hasAdminAddress = false;
    start();
    assertNull(node.adminAddress());
  }

  @Test
  void nodeIsReadyOnlyOnceItAcceptsClients() throws Exception {
    EdgeNode other =
        new EdgeNode(
            NodeConfig.parse(JsonValue.parse(config()), Map.of()),
            (settings, seed, now, actions) -> new ScriptedPolicy());
    try {
      other.startAdmin();
      AdminClient.Response early = AdminClient.call(other.adminAddress(), "GET /api/ready");
      assertEquals(503, early.status());
      assertTrue(early.body().contains("starting"), early.body());
      assertEquals(200, AdminClient.call(other.adminAddress(), "GET /api/telemetry").status());
    } finally {
      other.loop().group().shutdownGracefully();
    }
    start();
    assertEquals(200, call("GET /api/ready").status());
  }

  @Test
  void invalidCallsAreRejected() throws Exception {
    start();
    assertEquals(404, call("GET /api/nothing").status());
    AdminClient.Response wrong = call("POST /api/evacuate");
    assertEquals(405, wrong.status());
    assertTrue(wrong.headers().toLowerCase().contains("allow: put"), wrong.headers());
    assertEquals(405, call("PUT /api/ready").status());
    assertEquals(400, AdminClient.sendRaw(node.adminAddress(), "nonsense\r\n\r\n").status());
    assertEquals(
        400,
        AdminClient.sendRaw(node.adminAddress(), "GET /" + "x".repeat(2000) + " HTTP/1.1\r\n\r\n")
            .status());
    assertEquals(
        413,
        AdminClient.sendRaw(
                node.adminAddress(),
                "PUT /api/evacuate HTTP/1.1\r\nHost: x\r\n"
                    + "Content-Length: 100000\r\n\r\n"
                    + "x".repeat(100_000))
            .status());
    assertEquals("+PONG", ping()); // none of them started draining
    AdminClient.Response two =
        AdminClient.sendRaw(
            node.adminAddress(),
            "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                + "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assertEquals(1, two.headers().split("HTTP/1.1 200").length - 1);
    assertFalse(two.body().contains("HTTP"), two.body());
  }

  /**
   * Callers that do not finish their call use all connections; the next one is answered at once
   * nevertheless.
   */
  @Test
  void stalledCallersDoNotBlockOthers() throws Exception {
    start();
    List<Socket> stalled = new ArrayList<>();
    try {
      for (int i = 0; i < 100; i++) {
        Socket socket = AdminClient.connect(node.adminAddress());
        stalled.add(socket);
        socket.getOutputStream().write("GET /api/re".getBytes(StandardCharsets.US_ASCII));
      }
      long before = System.nanoTime();
      assertEquals(200, call("GET /api/ready").status());
      assertTrue(System.nanoTime() - before < 1_000_000_000L);
      // a slow caller that is not the oldest is answered
      Socket last = stalled.get(99);
      last.getOutputStream()
          .write("ady HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(200, AdminClient.readResponse(last).status());
      assertTrue(AdminClient.isClosedByNode(stalled.get(0)), "the oldest keeps its place");
    } finally {
      for (Socket socket : stalled) {
        socket.close();
      }
    }
  }

  /**
   * Guards against a backlog of 64: a burst of callers filled it while the event loop was busy, and
   * the next connection attempt was lost and repeated only after a second.
   */
  @Test
  void burstOfCallersFitsInTheBacklog() throws Exception {
    start();
    CountDownLatch busy = new CountDownLatch(1);
    node.loop()
        .execute(
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
  void eachRequestIsCountedOnceByOutcome() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 900);
    serverConnection.readMessage();
    figure("/in_flight", "1");
    serverConnection.writeAppServerValue("one");
    client.readMessage();
    sendGet(client, "02", "refuse", 900);
    client.readMessage();
    sendGet(client, "03", "fail", 900);
    client.readMessage();
    sendGet(client, "04", "read", 900);
    serverConnection.readMessage();
    serverConnection.write("-ERR failed\r\n");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    sendGet(client, "05", "hold", 60_000);
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
    pushToWatch(endpointListJson(42, false, endpointJson("s0", appServer.address(), "leaving")));
    figure("/app_servers_excluded", "1");
    figure("/app_servers_known", "1");
    pushToWatch(endpointListJson(43, false, endpointJson("s0", appServer.address(), "left")));
    figure("/app_servers_known", "0");
  }

  /**
   * PING fails at once; connections are closed once the load balancer can have acted on it, and
   * after the responses they owe.
   */
  @Test
  void evacuationClosesConnectionsInPhases() throws Exception {
    start();
    FakePeer.Connection idle = connectClient();
    idle.writeCommand("PING");
    assertEquals(List.of("+PONG"), idle.readMessage());
    FakePeer.Connection busy = connectClient();
    sendGet(busy, "01", "read", 20_000);
    serverConnection.readMessage();
    assertEquals(200, call("PUT /api/evacuate").status());
    long evacuatedAtNanos = System.nanoTime();
    assertEquals("-ERR draining", ping());
    assertEquals(503, call("GET /api/ready").status());
    sendGet(idle, "02", "refuse", 900); // for a while connections stay open
    assertEquals(List.of("-BUSY 1500"), idle.readMessage());
    assertTrue(idle.isClosedByPeer());
    long elapsedMs = (System.nanoTime() - evacuatedAtNanos) / 1_000_000;
    assertTrue(
        elapsedMs >= DrainController.NOT_READY_MS - 50 && elapsedMs < 3000, elapsedMs + " ms");
    try (FakePeer.Connection late =
        FakePeer.Connection.connect(((InetSocketAddress) node.address()).getPort())) {
      sendGet(late, "03", "refuse", 900); // served nevertheless, and its connection is closed
      assertEquals(List.of("-BUSY 1500"), late.readMessage());
      assertTrue(late.isClosedByPeer());
    }
    try (FakePeer.Connection silent =
        FakePeer.Connection.connect(((InetSocketAddress) node.address()).getPort())) {
      long connectedAtNanos = System.nanoTime();
      assertTrue(silent.isClosedByPeer());
      assertTrue(System.nanoTime() - connectedAtNanos < 2_000_000_000L); // idle: it may not stay
    }
    serverConnection.writeAppServerValue("whole");
    assertEquals(List.of("whole"), busy.readMessage());
    assertTrue(busy.isClosedByPeer());
    assertEquals(200, call("PUT /api/rejoin").status());
    assertEquals("+PONG", ping());
    assertEquals(200, call("GET /api/ready").status());
    FakePeer.Connection afterRejoin = connectClient();
    sendGet(afterRejoin, "04", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), afterRejoin.readMessage());
    afterRejoin.writeCommand("PING"); // it stays open
    assertEquals(List.of("+PONG"), afterRejoin.readMessage());
  }

  /**
   * A partially sent command may be completed in each phase; only then is its connection closed.
   */
  @Test
  void partialCommandIsCompletedDuringEvacuation() throws Exception {
    start();
    FakePeer.Connection slow = connectClient();
    slow.socket.setTcpNoDelay(true);
    String call =
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    slow.write(call.substring(0, 20));
    FakePeer.Connection other = connectClient();
    other.writeCommand("PING"); // the partial command before it has been read
    assertEquals(List.of("+PONG"), other.readMessage());
    call("PUT /api/evacuate");
    Thread.sleep(
        (long) DrainController.STOP_READING_AFTER_MS
            + 150); // the delay is what is tested; a head may take 2 s
    slow.write(call.substring(20));
    assertEquals(List.of("-BUSY 1500"), slow.readMessage());
    assertTrue(slow.isClosedByPeer());
    assertTrue(other.isClosedByPeer());
  }

  /**
   * After the last phase has begun a connection with an open request is not read; after a rejoin it
   * is.
   */
  @Test
  void rejoinAfterCutResumesReading() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 20_000);
    serverConnection.readMessage();
    expectArrival(1, "read");
    call("PUT /api/evacuate");
    Thread.sleep((long) DrainController.STOP_READING_AFTER_MS + 200); // the delay is what is tested
    sendGet(client, "02", "refuse", 900);
    Thread.sleep(100);
    assertNull(policyEvents.peek(), "it was read");
    call("PUT /api/rejoin");
    expectArrival(2, "refuse");
    serverConnection.writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    client.writeCommand("PING");
    assertEquals(List.of("+PONG"), client.readMessage());
  }

  @Test
  void shutdownCannotBeCancelled() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 20_000);
    serverConnection.readMessage();
    Thread draining = beginShutdown();
    assertEquals(409, call("PUT /api/rejoin").status());
    assertEquals("-ERR draining", ping());
    serverConnection.writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    draining.join();
    assertThrows(IOException.class, () -> call("GET /api/ready"));
  }
}
