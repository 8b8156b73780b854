package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Responses of servers and counter that are malformed, or followed by more bytes. */
class MalformedResponseTest extends EdgeNodeFixture {
  private FakePeer.Connection sendAndAcceptNext(FakePeer.Connection client, int id)
      throws Exception {
    sendGet(client, "0" + id, "read", 5000);
    expectArrival(id, "read");
    FakePeer.Connection connection = appServer.accept();
    assertEquals("0" + id, connection.readMessage().get(2));
    return connection;
  }

  /** A second response, or part of one, right after a response is not the next request's value. */
  @Test
  void trailingBytesCloseTheConnection() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    expectArrival(1, "read");
    serverConnection.readMessage();
    String[] trailers = {"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3", "noise"};
    FakePeer.Connection connection = serverConnection;
    for (int i = 1; i <= trailers.length; i++) {
      connection.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n" + trailers[i - 1]);
      assertEquals(List.of("one"), client.readMessage());
      expectPolicyEvent("ended " + i + " 0 OK true");
      assertTrue(connection.isClosedByPeer(), trailers[i - 1]);
      connection = sendAndAcceptNext(client, i + 1);
    }
    connection.writeAppServerValue("own");
    assertEquals(List.of("own"), client.readMessage());
  }

  /**
   * Guards against a second response that was taken for that of the next request, which was sent on
   * the connection 2 ms after the first. A round counts in which this machine sent it within 8 ms.
   */
  @Test
  void lateDuplicateResponseIsNotUsedForNextRequest() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    FakePeer.Connection connection = serverConnection;
    sendGet(client, "01", "read", 5000);
    connection.readMessage();
    int counted = 0;
    for (int id = 2; counted < 3 && id < 100; id++) {
      long from = System.nanoTime();
      connection.writeAppServerValue("one");
      assertEquals(List.of("one"), client.readMessage());
      sendGet(client, "0" + id, "read", 5000);
      Thread.sleep(5); // this delay is what is tested
      connection.writeAppServerValue("one");
      if (System.nanoTime() - from >= 8_000_000) { // the next may have been sent on it: start again
        connection.close();
        client = connectClient();
        sendGet(client, "x" + id, "read", 5000);
        connection = connectionCarrying("x" + id);
        continue;
      }
      counted++;
      connection = connectionCarrying("0" + id);
    }
    connection.writeAppServerValue("own");
    assertEquals(List.of("own"), client.readMessage());
    assertEquals(3, counted, "this machine is too slow to tell");
  }

  /**
   * Guards against a value made for another request: while the event loop was held up, a second
   * response came within the delay before reuse, and lay unread when the connection was used again.
   */
  @Test
  void responseThatLiesUnreadIsNotTheNextRequests() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    final FakePeer.Connection next = connectClient();
    next.writeCommand("PING");
    assertEquals(List.of("+PONG"), next.readMessage());
    FakePeer.Connection stalling = connectClient();
    sendGet(client, "01", "read", 9000);
    expectArrival(1, "read");
    serverConnection.readMessage();
    serverConnection.writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    expectPolicyEvent("ended 1 0 OK true");
    sendGet(stalling, "02", "stall", 9000);
    expectArrival(2, "stall"); // the loop is held up
    sendGet(next, "03", "read", 9000); // the loop finds this first, then the second response
    Thread.sleep(20); // longer than the delay before reuse
    serverConnection.writeAppServerValue("one");
    Thread.sleep(20);
    stallLatch.countDown();
    FakePeer.Connection other = connectionCarrying("03");
    other.writeAppServerValue("own");
    assertEquals(List.of("own"), next.readMessage());
  }

  /** Returns the connection on which this request arrives. */
  private FakePeer.Connection connectionCarrying(String id) throws Exception {
    while (true) {
      FakePeer.Connection connection = appServer.accept();
      if (id.equals(connection.readMessage().get(2))) {
        return connection;
      }
    }
  }

  /** Also without a request on the connection: the decoder buffers part of a message. */
  @Test
  void bytesOnIdleConnectionCloseIt() throws Exception {
    start();
    serverConnection.write("*3\r\n$5\r\nst");
    assertTrue(serverConnection.isClosedByPeer());
    FakePeer.Connection connection = sendAndAcceptNext(connectClient(), 1);
    connection.writeAppServerValue("v");
    expectPolicyEvent("ended 1 0 OK true");
  }

  /** The request may have run, and the next bytes of the connection belong to no request. */
  @Test
  void malformedResponseIsAnErrorAndClosesConnection() throws Exception {
    start();
    serverConnection.close();
    FakePeer.Connection client = connectClient();
    String[] forms = {
      "*-1\r\n",
      "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
      "+OK\r\n",
      ":1\r\n",
      "$3\r\nabc\r\n",
      "*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n",
      "*2\r\n$1\r\na\r\n$-1\r\n",
      "-BUSYNESS\r\n",
      "noise\r\n",
      "*3\r\n$3\r\nabcde\r\n$-1\r\n$-1\r\n",
      "*3\r\n$3000000000\r\nabc",
      "*3\r\n$-7\r\n"
    };
    for (int i = 1; i <= forms.length; i++) {
      FakePeer.Connection connection = sendAndAcceptNext(client, i);
      connection.write(forms[i - 1]);
      expectPolicyEvent("ended " + i + " 0 ERROR false");
      assertEquals(List.of("-ERR failed"), client.readMessage());
      assertTrue(connection.isClosedByPeer(), forms[i - 1]);
    }
  }

  /** Guards against a value longer than announced, which blocked its request until the deadline. */
  @Test
  void invalidResponseLengthFailsAtOnce() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 60_000);
    expectArrival(1, "read");
    serverConnection.readMessage();
    serverConnection.write("*3\r\n$50\r\nabc\r\n$-1\r\n$-1\r\n");
    expectPolicyEvent("ended 1 0 ERROR false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(serverConnection.isClosedByPeer());
  }

  /** A malformed load report affects neither value nor connection. */
  @Test
  void malformedLoadReportDoesNotAffectValue() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    for (int i = 1; i <= 2; i++) {
      sendGet(client, "0" + i, "read", 5000);
      expectArrival(i, "read");
      serverConnection.readMessage();
      serverConnection.write("*3\r\n$1\r\nv\r\n$2\r\n?%\r\n$12\r\nutil=x,=,,ab\r\n");
      expectPolicyEvent("ended " + i + " 0 OK true");
      assertEquals(List.of("v"), client.readMessage());
    }
  }

  /**
   * Not a number: the amount was added; the connection is unusable, and NaN would stay in all sums.
   */
  @Test
  void nonNumericCounterResponseClosesConnection() throws Exception {
    start();
    List<FakePeer.Connection> connections = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      connections.add(counter.accept());
    }
    FakePeer.Connection client = connectClient();
    FakePeer.Connection connection = connections.get((int) Math.floorMod(77L, 4L));
    String[] malformed = {
      "$3\r\nNaN\r\n",
      "$8\r\nInfinity\r\n",
      "$3\r\n3x4\r\n",
      "$-1\r\n",
      ":5\r\n",
      "+OK\r\n",
      "noise\r\n",
      "$4\r\n0x1p\r\n",
      "$9\r\n12"
    };
    for (int i = 1; i <= malformed.length; i++) {
      sendGet(client, "0" + i, "count", 5000);
      expectArrival(i, "count");
      for (List<String> words = connection.readMessage();
          words.get(0).equals("PING");
          words = connection.readMessage()) {
        connection.write("+PONG\r\n");
      }
      connection.write(malformed[i - 1]);
      expectPolicyEvent("counted 77 ERROR 0.0");
      expectPolicyEvent("counted 77 RESET 0.0"); // the second call was queued behind it
      connection = counter.accept();
    }
  }

  /**
   * The codec reports a partial array at the end of a connection: no exception may leave the
   * handler.
   */
  @Test
  void partialArrayAtConnectionEndIsHarmless() throws Exception {
    List<String> warned = new java.util.concurrent.CopyOnWriteArrayList<>();
    java.util.logging.Logger library = java.util.logging.Logger.getLogger("io.netty");
    java.util.logging.Handler noting =
        new java.util.logging.Handler() {
          @Override
          public void publish(java.util.logging.LogRecord record) {
            warned.add(record.getMessage());
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    library.addHandler(noting);
    try {
      start();
      List<FakePeer.Connection> connections = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        connections.add(counter.accept());
      }
      FakePeer.Connection client = connectClient();
      sendGet(client, "01", "count", 5000);
      expectArrival(1, "count");
      FakePeer.Connection connection = connections.get((int) Math.floorMod(77L, 4L));
      connection.readMessage();
      connection.readMessage();
      connection.write("*2\r\n$1\r\n5\r\n");
      connection.close();
      expectPolicyEvent("counted 77 RESET 0.0");
      expectPolicyEvent("counted 77 RESET 0.0");
      sendGet(client, "02", "count", 5000);
      expectArrival(2, "count");
      connection = counter.accept();
      assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), connection.readMessage());
      connection.readMessage();
      connection.write("$1\r\n5\r\n$1\r\n6\r\n");
      expectPolicyEvent("counted 77 OK 5.0");
      expectPolicyEvent("counted 77 OK 6.0");
      assertEquals(List.of(), warned);
    } finally {
      library.removeHandler(noting);
    }
  }

  /** Guards against 100 ms without a connection after a reset, in which all calls were lost. */
  @Test
  void brokenCounterConnectionReconnectsAtOnce() throws Exception {
    start();
    List<FakePeer.Connection> connections = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      connections.add(counter.accept());
    }
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "count", 5000);
    expectArrival(1, "count");
    connections.get((int) Math.floorMod(77L, 4L)).close();
    expectPolicyEvent("counted 77 RESET 0.0");
    expectPolicyEvent("counted 77 RESET 0.0");
    sendGet(client, "02", "count", 5000);
    expectArrival(2, "count");
    FakePeer.Connection connection = counter.accept();
    assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), connection.readMessage());
    connection.readMessage();
    connection.write("$1\r\n5\r\n$1\r\n6\r\n");
    expectPolicyEvent("counted 77 OK 5.0");
    expectPolicyEvent("counted 77 OK 6.0");
  }
}
