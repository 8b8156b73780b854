package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.drain.DrainController;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Events that coincide; the cases are described in docs/design/moments.md. */
class RaceConditionTest extends EdgeNodeFixture {
  private final DelayedConnectTransport delayedConnects = new DelayedConnectTransport();

  @BeforeEach
  void useDelayedConnects() {
    transport = delayedConnects;
  }

  /**
   * The node's only connection carries request 01; the next attempt waits for a delayed connection.
   */
  private FakePeer.Connection occupyOnlyConnection() throws Exception {
    start();
    delayedConnects.heldPort = appServer.port();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    expectArrival(1, "read");
    assertEquals("01", serverConnection.readMessage().get(2));
    return client;
  }

  /** The connection is established and carries the next request, and nothing before it. */
  private void expectOnlyNextRequestSent(String id) throws Exception {
    delayedConnects.releaseNext();
    FakePeer.Connection connection = appServer.accept();
    FakePeer.Connection client = connectClient();
    sendGet(client, id, "read", 5000);
    expectArrival(3, "read");
    assertEquals(id, connection.readMessage().get(2));
    connection.writeAppServerValue("v");
    assertEquals(List.of("v"), client.readMessage());
    expectPolicyEvent("ended 3 0 OK true");
  }

  @Test
  void requestIsNotSentWhenClientDisconnectsWhileAwaitingConnection() throws Exception {
    occupyOnlyConnection();
    FakePeer.Connection leaves = connectClient();
    sendGet(leaves, "02", "read", 5000);
    expectArrival(2, "read");
    delayedConnects.awaitHeldConnect();
    leaves.close();
    expectPolicyEvent("gone 2");
    expectPolicyEvent("ended 2 0 NOT_SENT true");
    expectOnlyNextRequestSent("03");
  }

  @Test
  void finishedRequestIsNotSentOnceConnectionIsUp() throws Exception {
    occupyOnlyConnection();
    FakePeer.Connection client = connectClient();
    sendGet(client, "02", "drop", 5000);
    expectArrival(2, "drop");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    expectPolicyEvent("ended 2 0 NOT_SENT true");
    expectOnlyNextRequestSent("03");
  }

  private static String heldRequest(int id) {
    String list = "c=hold,t=p,d=9000,spread=3";
    return String.format(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n%s\r\n$6\r\n%06x\r\n$%d\r\n%s\r\n",
        CUSTOMER, id, list.length(), list);
  }

  private static void sendPipelined(FakePeer.Connection client, int commands) throws Exception {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < commands; i++) {
      text.append(heldRequest(i));
    }
    client.write(text.toString());
  }

  /** Expects a disconnect for each request that arrived at the policy. */
  private void expectAllDisconnected(int requests) throws Exception {
    int arrived = 0;
    for (int disconnected = 0; disconnected < requests; ) {
      String event = policyEvents.poll(5, TimeUnit.SECONDS);
      assertNotNull(event, "arrived " + arrived + ", gone " + disconnected);
      arrived += event.startsWith("arrived") ? 1 : 0;
      disconnected += event.startsWith("gone") ? 1 : 0;
    }
    assertEquals(requests, arrived);
  }

  /**
   * Guards against unread commands that hid the end of the connection: the requests before them
   * stayed until their deadlines.
   */
  @Test
  void disconnectAfterDeepPipelineAbandonsAllRequests() throws Exception {
    hasAdminAddress = true;
    start();
    FakePeer.Connection client = connectClient();
    sendPipelined(client, 3000);
    figure("/requests_of_unknown_class/refused", "2744"); // all are read
    client.close();
    expectAllDisconnected(256);
  }

  /**
   * A flood of commands: accepted requests fail, the connection is closed, other clients are
   * served.
   */
  @Test
  void commandFloodIsRejectedAndConnectionClosed() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendPipelined(client, 5000);
    int failed = 0;
    int refused = 0;
    String response = client.readMessage().get(0);
    for (;
        response.equals("-ERR failed") || response.equals("-BUSY");
        response = client.readMessage().get(0)) {
      failed += response.equals("-ERR failed") ? 1 : 0;
      refused += response.equals("-BUSY") ? 1 : 0;
    }
    assertEquals("-ERR too many commands unanswered", response);
    assertEquals(256, failed);
    assertEquals(4096 - 256, refused);
    FakePeer.Connection other = connectClient();
    sendGet(other, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), other.readMessage());
  }

  /**
   * In the last phase of draining a connection with an open request is not read; its end is
   * detected nevertheless.
   */
  @Test
  void disconnectBehindUnreadCommandsIsDetected() throws Exception {
    hasAdminAddress = true;
    start();
    FakePeer.Connection client = connectClient();
    client.write(heldRequest(1));
    expectPolicyEvent("arrived 1 hold p " + CUSTOMER + " 1 3 0 false");
    AdminClient.call(node.adminAddress(), "PUT /api/evacuate");
    Thread.sleep((long) DrainController.STOP_READING_AFTER_MS + 200); // the delay is what is tested
    client.write(
        heldRequest(2)
            + heldRequest(3)
            + heldRequest(4)); // several: they are read together with the end
    Thread.sleep(100); // they stay unread
    client.close();
    expectPolicyEvent("gone 1");
    figure("/in_flight", "0");
    assertEquals(List.of(), List.copyOf(policyEvents));
  }

  /**
   * Guards against a retry whose connection was established after the servers forgot the first
   * attempt: it would run twice.
   */
  @Test
  void retryIsNotWrittenAfterIdempotencyWindow() throws Exception {
    start();
    delayedConnects.heldPort = appServer.port();
    FakePeer.Connection client = connectClient();
    client.writeCommand(
        "CALL.POST", CUSTOMER, "02", "c=again,t=p,d=5000,k=5c0f,units=2,spread=3,first=1");
    expectArrival(1, "again");
    assertEquals("02", serverConnection.readMessage().get(2));
    serverConnection.close();
    expectPolicyEvent("ended 1 0 RESET false");
    delayedConnects.awaitHeldConnect();
    Thread.sleep(400); // the delay is what is tested: the servers remember for 300 ms
    delayedConnects.releaseNext();
    expectPolicyEvent("ended 1 1 NO_CONNECTION false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    FakePeer.Connection connection = appServer.accept();
    sendGet(client, "03", "read", 5000);
    expectArrival(2, "read");
    assertEquals("03", connection.readMessage().get(2));
  }

  /**
   * Guards against the end of the process with requests open that arrived on a connection after
   * SIGTERM.
   */
  @Test
  void requestsArrivingDuringShutdownAreAnswered() throws Exception {
    hasAdminAddress = true;
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "hold", 2000);
    expectArrival(1, "hold");
    Thread draining = beginShutdown();
    Thread.sleep(1500); // the delay is what is tested
    sendGet(client, "02", "hold", 2000);
    expectArrival(2, "hold");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(client.isClosedByPeer());
    draining.join();
  }

  /** Guards against requests with a deadline after the kill that were unanswered by then. */
  @Test
  void requestsWithDeadlinePastTheKillAreAnsweredBeforeIt() throws Exception {
    hasAdminAddress = true;
    start();
    FakePeer.Connection sent = connectClient();
    sendGet(sent, "01", "read", 30_000);
    expectArrival(1, "read");
    assertEquals("01", serverConnection.readMessage().get(2)); // it never answers
    FakePeer.Connection waits = connectClient();
    sendGet(waits, "02", "hold", 30_000);
    expectArrival(2, "hold");
    Thread draining = beginShutdown();
    assertEquals(
        List.of("-ERR failed"),
        sent.readMessage()); // the kill may come after 2.7 s; the read ends after 10
    assertEquals(List.of("-ERR failed"), waits.readMessage());
    draining.join();
  }

  /**
   * A client's wait counts from the last byte of its request. Guards against counting from when a
   * busy loop read it: the response was late by as much.
   */
  private void assertTimeBudgetExcludesUnreadTime(boolean onNewConnection) throws Exception {
    start();
    FakePeer.Connection openClient = connectClient();
    openClient.writeCommand("PING");
    assertEquals(List.of("+PONG"), openClient.readMessage());
    sendGet(connectClient(), "f0", "stall", 9000);
    expectArrival(1, "stall");
    sendGet(onNewConnection ? connectClient() : openClient, "02", "hold", 9000);
    long unreadMs = 500;
    Thread.sleep(unreadMs); // the delay is what is tested: the loop is busy for so long
    stallLatch.countDown();
    expectArrival(2, "hold");
    assertTrue(
        lastTimeBudgetMs < 9000 - unreadMs,
        "of 9000 ms " + lastTimeBudgetMs + " after " + unreadMs);
  }

  @Test
  void timeBudgetExcludesUnreadTimeOnOpenConnection() throws Exception {
    assertTimeBudgetExcludesUnreadTime(false);
  }

  @Test
  void timeBudgetExcludesUnreadTimeOnNewConnection() throws Exception {
    assertTimeBudgetExcludesUnreadTime(true);
  }

  /**
   * Guards against closing the counter's connection after a busy period: its response was unread,
   * not missing.
   */
  @Test
  void counterResponseUnreadDuringBusyLoopIsNotATimeout() throws Exception {
    start();
    for (int i = 0; i < 4; i++) {
      FakePeer.Connection connection = counter.accept();
      Thread answering =
          new Thread(
              () -> {
                try {
                  while (true) {
                    connection.write(
                        connection.readMessage().get(0).equals("PING")
                            ? "+PONG\r\n"
                            : "$1\r\n1\r\n");
                  }
                } catch (IOException closed) {
                  // the test is over
                }
              });
      answering.setDaemon(true);
      answering.start();
    }
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "count", 9000);
    sendGet(client, "f0", "stall", 9000);
    Thread.sleep(700); // the delay is what is tested: a line is dead after 400 ms
    stallLatch.countDown();
    for (String connection = policyEvents.take();
        !connection.startsWith("counted 77 OK");
        connection = policyEvents.take()) {
      assertTrue(
          connection.startsWith("arrived") || connection.startsWith("counted 77 OVERDUE"),
          connection);
    }
  }

  /**
   * A request that crosses the close of its connection: read and dropped, its client could not know
   * that it was not accepted.
   */
  @Test
  void requestCrossingConnectionCloseIsResetUnread() throws Exception {
    hasAdminAddress = true;
    start();
    try (SocketChannel idleClient = SocketChannel.open(node.address())) {
      idleClient.write(ascii("*1\r\n$4\r\nPING\r\n"));
      ByteBuffer read = ByteBuffer.allocate(64);
      while (read.position() < "+PONG\r\n".length()) {
        assertTrue(idleClient.read(read) > 0);
      }
      Thread draining = beginShutdown();
      read.clear();
      assertEquals(-1, idleClient.read(read));
      idleClient.write(ascii(heldRequest(1)));
      draining.join(); // everything is closed by now
      assertThrows(
          IOException.class,
          () -> idleClient.write(ascii(heldRequest(2)))); // reset, else this write would succeed
      assertTrue(policyEvents.stream().noneMatch(line -> line.startsWith("arrived")));
    }
  }

  private static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Guards against closing a connection within a command after SIGTERM: it is completed and
   * answered.
   */
  @Test
  void partiallyReadCommandAtShutdownIsAnswered() throws Exception {
    hasAdminAddress = true;
    start();
    FakePeer.Connection slow = connectClient();
    slow.socket.setTcpNoDelay(true);
    String call = heldRequest(1);
    slow.write(call.substring(0, 20));
    FakePeer.Connection idle = connectClient();
    idle.writeCommand("PING"); // the partial command before it has been read
    assertEquals(List.of("+PONG"), idle.readMessage());
    Thread draining = beginShutdown();
    assertTrue(idle.isClosedByPeer()); // idle connections have been closed
    slow.write(call.substring(20));
    assertEquals(List.of("-ERR failed"), slow.readMessage());
    assertTrue(slow.isClosedByPeer());
    draining.join();
  }
}
