package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.drain.DrainController;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a node still owes when it ends a client's connection: each command, each written byte. */
class ConnectionEndTest extends EdgeNodeFixture {
  private static final int LONG_VALUE_BYTES = 600_000;

  /** Small: else the kernel takes the whole value. */
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  @BeforeEach
  void enableAdmin() {
    hasAdminAddress = true;
  }

  private static String refusedRequest(String id) {
    String list = "c=refuse,t=p,d=4000,units=1,spread=3,first=1";
    return String.format(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
        CUSTOMER, id.length(), id, list.length(), list);
  }

  /** Drains the node, and waits until connections are closed after their last response. */
  private void drainUntilConnectionsAreClosed() throws Exception {
    FakePeer.Connection idle = connectClient();
    idle.writeCommand("PING");
    assertEquals(List.of("+PONG"), idle.readMessage());
    AdminClient.call(node.adminAddress(), "PUT /api/evacuate");
    assertTrue(idle.isClosedByPeer());
  }

  /**
   * Guards against a command that was read and dropped: the event loop found the last response of a
   * connection and the client's next command in one pass, ended the connection after the response,
   * and read the command all the same.
   */
  @Test
  void commandReadInThePassThatEndsItsConnectionIsAnswered() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 4000);
    expectArrival(1, "read");
    assertEquals("01", serverConnection.readMessage().get(2));
    drainUntilConnectionsAreClosed();
    FakePeer.Connection stalling = connectClient();
    sendGet(stalling, "02", "stall", 4000);
    expectArrival(2, "stall"); // the loop is busy: what comes now is found in one pass
    serverConnection.writeAppServerValue("v");
    client.write(refusedRequest("03"));
    stallLatch.countDown();
    assertEquals(List.of("v"), client.readMessage());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  /** The same with a first command that is answered at once, both in one read. */
  @Test
  void commandBehindOneAnsweredAtOnceIsAnswered() throws Exception {
    start();
    drainUntilConnectionsAreClosed();
    FakePeer.Connection client = connectClient();
    client.write("*1\r\n$4\r\nPING\r\n" + refusedRequest("02"));
    assertEquals(List.of("-ERR draining"), client.readMessage());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  /** Half a command behind one that is answered at once is completed and answered, too. */
  @Test
  void partialCommandBehindTheLastResponseIsAnswered() throws Exception {
    start();
    drainUntilConnectionsAreClosed();
    FakePeer.Connection client = connectClient();
    String request = refusedRequest("02");
    client.write("*1\r\n$4\r\nPING\r\n" + request.substring(0, 20));
    assertEquals(List.of("-ERR draining"), client.readMessage());
    client.write(request.substring(20));
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  /**
   * Guards against taking a client for one that has stopped reading, as its response waits behind
   * an unanswered command: its connection was closed 5 s after the drain had begun.
   */
  @Test
  void responseThatWaitsBehindAnUnansweredCommandIsNotAStall() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "hold", 8000);
    expectArrival(1, "hold");
    sendGet(client, "02", "read", 8000);
    assertEquals("02", serverConnection.readMessage().get(2));
    serverConnection.writeAppServerValue("v");
    drainUntilConnectionsAreClosed();
    assertEquals(List.of("-ERR failed"), client.readMessage()); // at its deadline
    assertEquals(List.of("v"), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  private void serveLongValue(FakePeer.Connection client) throws Exception {
    sendGet(client, "01", "read", 4000);
    assertEquals("01", serverConnection.readMessage().get(2));
    serverConnection.writeAppServerValue("x".repeat(LONG_VALUE_BYTES));
    figure("/requests/read/served", "1");
  }

  /**
   * Guards against a value that was cut off in a drain: the connection was closed 200 ms after its
   * last write, and the reset over an unread command dropped what the kernel still held.
   */
  @Test
  void valueIsCompleteWhereItsClientReadsSlowlyInADrain() throws Exception {
    start();
    drainUntilConnectionsAreClosed();
    FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
    serveLongValue(client);
    Thread.sleep(100);
    client.write(refusedRequest("02"));
    Thread.sleep(1000); // the delay is what is tested
    assertEquals(LONG_VALUE_BYTES, client.readMessage().get(0).length());
    assertTrue(client.isClosedByPeer());
  }

  /**
   * Guards against a value that was cut off in a drain for a client that read slowly: 5 s without
   * an acknowledgement were taken for a client that had stopped, but its system acknowledges a
   * whole segment at a time, which took it longer.
   */
  @Test
  void valueIsCompleteWhereItsClientReadsVerySlowlyInADrain() throws Exception {
    start();
    drainUntilConnectionsAreClosed();
    FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
    serveLongValue(client);
    Thread.sleep(100);
    client.write(refusedRequest("02")); // unread: a close resets the connection
    Thread.sleep(7000); // the delay is what is tested
    assertEquals(LONG_VALUE_BYTES, client.readMessage().get(0).length());
    assertTrue(client.isClosedByPeer());
  }

  /**
   * Guards against a value that was cut off by an eviction: a client that had been sent its value a
   * while ago was closed at once, over its next command, though its system had not received all.
   */
  @Test
  void valueAndNextCommandAreCompleteWhereTheClientIsEvicted() throws Exception {
    maxDescriptors = 80; // 22 connections: half of the 55 % share at such a low limit
    start();
    FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
    serveLongValue(client);
    for (int i = 0; i < 20; i++) {
      FakePeer.Connection other = connectClient();
      other.writeCommand("PING");
      assertEquals(List.of("+PONG"), other.readMessage());
    }
    Thread.sleep(500); // the value was written a while ago
    FakePeer.Connection stalling = connectClient();
    sendGet(stalling, "02", "stall", 4000);
    expectArrival(1, "read");
    expectPolicyEvent("ended 1 0 OK true");
    expectArrival(2, "stall"); // the loop is busy: what comes now is found in one pass
    FakePeer.Connection overLimit = connectClient();
    client.write(refusedRequest("03"));
    stallLatch.countDown();
    overLimit.writeCommand("PING");
    assertEquals(List.of("+PONG"), overLimit.readMessage());
    Thread.sleep(500); // the delay is what is tested
    assertEquals(LONG_VALUE_BYTES, client.readMessage().get(0).length());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  /**
   * Guards against whole responses that were cut off where the value behind them broke off: the
   * connection was closed at once, over an unread command.
   */
  @Test
  void responseBeforeABrokenValueIsComplete() throws Exception {
    start();
    drainUntilConnectionsAreClosed();
    FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
    sendGet(client, "01", "read", 4000);
    sendGet(client, "02", "read", 4000);
    FakePeer.Connection second = appServer.accept();
    List<FakePeer.Connection> byNumber =
        serverConnection.readMessage().get(2).equals("01")
            ? List.of(serverConnection, second)
            : List.of(second, serverConnection);
    second.readMessage(); // a response before its request would close the connection
    byNumber.get(0).writeAppServerValue("x".repeat(LONG_VALUE_BYTES));
    byNumber.get(1).write("*3\r\n$200000\r\n" + "y".repeat(1000));
    figure("/requests/read/served", "1");
    Thread.sleep(
        (long) (DrainController.STOP_READING_AFTER_MS - DrainController.NOT_READY_MS) + 200);
    client.write(refusedRequest("03")); // unread, as a request before it is open
    byNumber.get(1).close();
    figure("/requests/read/failed", "1");
    Thread.sleep(500); // the delay is what is tested
    assertEquals(LONG_VALUE_BYTES, client.readMessage().get(0).length());
    assertEquals("$200000", client.readLine());
    assertTrue(client.input.readAllBytes().length <= 1000);
  }
}
