package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.eventloop.Clock;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.net.downstream.ClientListener;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Calls through the edge node: order, outcomes, lists, counter, its end. */
class EdgeNodeTest extends EdgeNodeFixture {
  /** What the module throws at its start ends the start, and does not leave it waiting. */
  @Test
  void policyFailureAtStartFailsTheStart() throws Exception {
    EdgeNode failing =
        new EdgeNode(
            NodeConfig.parse(JsonValue.parse(config()), java.util.Map.of()),
            (settings, seed, now, actions) -> {
              throw new LinkageError("on purpose");
            });
    IOException failure = assertThrows(IOException.class, failing::start);
    assertTrue(failure.getMessage().contains("on purpose"), failure.getMessage());
    failing.loop().group().shutdownGracefully();
  }

  @Test
  void requestIsForwardedUnchangedExceptRemainingTime() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    client.writeCommand("PING");
    assertEquals(List.of("+PONG"), client.readMessage());
    String body = "x".repeat(64 * 1024);
    client.writeCommand(
        "CALL.POST",
        CUSTOMER,
        "9b1f",
        "c=write,t=p,d=900,k=5c0f,units=2,spread=3,first=1,r=1",
        body);
    expectPolicyEvent("arrived 1 write p " + CUSTOMER + " 2 3 1 true");
    List<String> sent = serverConnection.readMessage();
    assertEquals(List.of("CALL.POST", CUSTOMER, "9b1f"), sent.subList(0, 3));
    assertTrue(
        sent.get(3).matches("c=write,t=p,d=(8[0-9][0-9]),k=5c0f,units=2,spread=3,first=1,r=1"),
        sent.get(3));
    assertEquals(body, sent.get(4));
    String value = "\r\n$5".repeat(13_000);
    serverConnection.writeAppServerValue(value);
    assertEquals(List.of(value), client.readMessage());
    expectPolicyEvent("ended 1 0 OK true");
  }

  /** Answers keep the order of the commands, whichever app server is quicker. */
  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 900);
    assertEquals("01", serverConnection.readMessage().get(2));
    sendGet(client, "02", "refuse", 900);
    sendGet(client, "03", "read", 900);
    FakePeer.Connection second = appServer.accept(); // one request a connection at a time
    assertEquals("03", second.readMessage().get(2));
    second.writeAppServerValue("three");
    serverConnection.writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    assertEquals(List.of("three"), client.readMessage());
  }

  @Test
  void fragmentedCommandsAreHandledOnceComplete() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    String whole =
        "*1\r\n$4\r\nPING\r\n*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    client.socket.setTcpNoDelay(true);
    for (char c : whole.toCharArray()) {
      client.write(String.valueOf(c));
    }
    assertEquals(List.of("+PONG"), client.readMessage());
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
  }

  @Test
  void clientDisconnectIsReportedAndAttemptTimesOut() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 300);
    expectArrival(1, "read");
    serverConnection.readMessage();
    client.close();
    expectPolicyEvent("gone 1");
    expectPolicyEvent("ended 1 0 TIMEOUT true");
    assertTrue(serverConnection.isClosedByPeer());
  }

  /**
   * The protocol's table of outcomes; a break after the last byte may have run, one before has not.
   */
  @Test
  void eachAttemptEndHasItsOutcome() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    String[][] cases = {{"-ERR failed\r\n", "ERROR"}, {"-BUSY\r\n", "FULL"}};
    int id = 0;
    for (String[] each : cases) {
      sendGet(client, "0" + ++id, "read", 900);
      expectArrival(id, "read");
      serverConnection.readMessage();
      serverConnection.write(each[0]);
      expectPolicyEvent("ended " + id + " 0 " + each[1] + " false");
      assertEquals(List.of("-ERR failed"), client.readMessage());
    }
    sendGet(client, "03", "read", 900);
    expectArrival(3, "read");
    serverConnection.readMessage();
    serverConnection.close();
    expectPolicyEvent("ended 3 0 RESET false");
    appServer.close();
    sendGet(client, "04", "read", 900);
    expectArrival(4, "read");
    expectPolicyEvent("ended 4 0 NO_CONNECTION false");
  }

  /** A late answer to an attempt that was given up must not be taken for the next one's. */
  @Test
  void cancelledAttemptClosesItsConnection() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 200);
    expectArrival(1, "read");
    serverConnection.readMessage();
    expectPolicyEvent("ended 1 0 TIMEOUT false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(serverConnection.isClosedByPeer());
    sendGet(client, "02", "cancel", 900);
    expectArrival(2, "cancel");
    FakePeer.Connection second = appServer.accept();
    second.readMessage();
    expectPolicyEvent("ended 2 0 CANCELLED false");
    assertTrue(second.isClosedByPeer());
  }

  /**
   * The last word is the node's where the module has none: each request gets one answer in time.
   */
  @Test
  void requestWithoutDecisionIsAnsweredByTheNode() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "hold", 200);
    expectArrival(1, "hold");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    expectPolicyEvent("gone 1");
    sendGet(client, "02", "throw", 900); // an exception fails one request and nothing else
    expectArrival(2, "throw");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    expectPolicyEvent("gone 2");
    sendGet(client, "03", "fail", 900);
    assertEquals(List.of("-ERR failed"), client.readMessage());
  }

  /**
   * The module arms one timer for all it waits for: an exception there must not be the end of its
   * time.
   */
  @Test
  void failedTimerIsRetried() throws Exception {
    timersToFail = 1;
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "cancel", 2500);
    expectArrival(1, "cancel");
    serverConnection.readMessage();
    expectPolicyEvent("ended 1 0 CANCELLED false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
  }

  @Test
  void idleConnectionIsRetiredBeforeServerKeepAlive() throws Exception {
    keepAliveMs = 1000;
    start();
    assertTrue(serverConnection.isClosedByPeer());
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 900);
    FakePeer.Connection second = appServer.accept();
    second.readMessage();
    second.writeAppServerValue("v");
    assertEquals(List.of("v"), client.readMessage());
  }

  @Test
  void healthChecksReportLoadInSettingsOrder() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "probe", 900);
    expectArrival(1, "probe");
    assertEquals(List.of("INFO", "load"), serverConnection.readMessage());
    serverConnection.write("$26\r\ninflight=7,x=1,util=0.6100\r\n");
    expectPolicyEvent("probed s0 OK [0.61, 7.0]");
  }

  /**
   * Counter calls end in time as 'may have been added', and a late answer must not shift onto the
   * next.
   */
  @Test
  void lateCounterResponsesMatchTheirCalls() throws Exception {
    start();
    FakePeer.Connection[] connections = new FakePeer.Connection[4];
    BlockingQueue<FakePeer.Connection> called = new LinkedBlockingQueue<>();
    for (int i = 0; i < connections.length; i++) {
      FakePeer.Connection connection = counter.accept();
      Thread reading =
          new Thread(
              () -> {
                try {
                  List<String> words = connection.readMessage();
                  while (words.get(0).equals("PING")) {
                    connection.write("+PONG\r\n");
                    words = connection.readMessage();
                  }
                  assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), words);
                  called.add(connection);
                } catch (IOException closed) {
                  // one of those that no call came on
                }
              });
      reading.setDaemon(true);
      reading.start();
    }
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "count", 900);
    expectArrival(1, "count");
    expectPolicyEvent("counted 77 OVERDUE 0.0");
    expectPolicyEvent("counted 77 OVERDUE 0.0");
    FakePeer.Connection connection = called.poll(10, TimeUnit.SECONDS);
    assertNotNull(connection);
    assertEquals(List.of("CNT.ADD", "77", "1", "4000"), connection.readMessage());
    sendGet(client, "02", "count", 900);
    expectArrival(2, "count");
    connection.readMessage();
    connection.readMessage();
    connection.write(
        "$2\r\n-1\r\n$2\r\n-2\r\n$3\r\n1.5\r\n-BUSY\r\n"); // two late ones, then those in time
    expectPolicyEvent("counted 77 OK -1.0");
    expectPolicyEvent("counted 77 OK -2.0");
    expectPolicyEvent("counted 77 OK 1.5");
    expectPolicyEvent("counted 77 FULL 0.0");
    sendGet(client, "03", "count", 900);
    expectArrival(3, "count");
    connection.readMessage();
    connection.close(); // after it was written: it may have been added
    expectPolicyEvent("counted 77 RESET 0.0");
    expectPolicyEvent("counted 77 RESET 0.0");
  }

  @Test
  void watchReportsDrainingMovedAndRemovedEndpoints() throws Exception {
    start();
    pushToWatch(endpointListJson(42, false, endpointJson("s0", appServer.address(), "leaving")));
    expectPolicyEvent("changes s0 DRAINING");
    assertTrue(serverConnection.isClosedByPeer()); // idle connections go with it
    try (FakePeer moved = new FakePeer()) {
      pushToWatch(endpointListJson(43, false, endpointJson("s0", moved.address(), "active")));
      expectPolicyEvent("changes s0 DRAINING"); // it has moved, and comes up a moment later
      expectPolicyEvent("changes s0 UP");
      FakePeer.Connection client = connectClient();
      sendGet(client, "01", "read", 900);
      expectArrival(1, "read");
      FakePeer.Connection connection = moved.accept();
      assertEquals("01", connection.readMessage().get(2));
      connection.writeAppServerValue("v");
      expectPolicyEvent("ended 1 0 OK true");
      pushToWatch(endpointListJson(44, false, endpointJson("s0", moved.address(), "left")));
      expectPolicyEvent("changes s0 REMOVED");
      sendGet(client, "02", "read", 900);
      expectArrival(2, "read");
      expectPolicyEvent("ended 2 0 NO_CONNECTION false");
      pushToWatch(endpointListJson(45, true, endpointJson("s1", appServer.address(), "active")));
      expectPolicyEvent("changes s1 UP");
    }
  }

  /** A watch to a machine that vanished is silent for ever: it is dead once its 2 s lines stop. */
  @Test
  void silentWatchIsRenewedFromItsVersion() throws Exception {
    start();
    assertTrue(watchConnection.isClosedByPeer());
    acceptWatch(discovery, 41);
  }

  /** At SIGTERM connections still come for a while; what is taken is answered, and then it ends. */
  @Test
  void gracefulShutdownAnswersOpenRequests() throws Exception {
    start();
    FakePeer.Connection idle = connectClient();
    idle.writeCommand("PING");
    idle.readMessage();
    FakePeer.Connection busy = connectClient();
    sendGet(busy, "01", "read", 2500);
    expectArrival(1, "read");
    serverConnection.readMessage();
    isShutDown = true;
    Thread draining = new Thread(node::shutdown);
    draining.start();
    FakePeer.Connection late = connectClient();
    sendGet(late, "02", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), late.readMessage());
    assertTrue(idle.isClosedByPeer());
    assertTrue(late.isClosedByPeer());
    idle.close();
    late.close();
    serverConnection.writeAppServerValue("v");
    assertEquals(List.of("v"), busy.readMessage());
    assertTrue(busy.isClosedByPeer());
    busy.close();
    draining.join();
    assertThrows(ConnectException.class, this::connectClient);
  }

  /**
   * A client may come before bind has returned to its caller: the first was then dropped, as the
   * listener was not known yet. Here bind never returns, as its caller is interrupted.
   */
  @Test
  void clientMayConnectBeforeBindReturns() throws Exception {
    start();
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    EventLoopGroup group = Transport.newEventLoopGroup();
    try {
      NettyEdgeEventLoop loop =
          new NettyEdgeEventLoop(group, Transport.SOCKETS, Clock.system(), connection -> {});
      new ClientListener(loop, (slot, command, isOverLimit) -> "not expected", 8, false)
          .bind(address); // not waited for
      group.submit(() -> {}).sync(); // the bind that was left to the loop is done
      group.submit(() -> {}).sync();
      try (FakePeer.Connection connection = FakePeer.Connection.connect(address.getPort())) {
        connection.writeCommand("PING");
        assertEquals(List.of("+PONG"), connection.readMessage());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** What a slow reader has still to get is not cut off when the node ends its connection. */
  @Test
  void slowReaderGetsCompleteResponseAtShutdown() throws Exception {
    maxDescriptors = 512;
    start();
    FakePeer.Connection client = connectClient();
    String value = "v".repeat(64 * 1024);
    int calls = 140; // more than the sockets' buffers hold
    List<FakePeer.Connection> connections = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      sendGet(client, "0" + i, "read", 20_000);
      connections.add(i == 0 ? serverConnection : appServer.accept());
      connections.get(i).readMessage();
    }
    for (FakePeer.Connection connection : connections) {
      connection.writeAppServerValue(value);
    }
    isShutDown = true;
    Thread draining = new Thread(node::shutdown);
    draining.start();
    assertThrows(
        SocketException.class,
        () -> { // refused, or reset in the queue of the listener that closes
          while (draining.isAlive()) {
            connectClient()
                .close(); // until it listens no more: by then the connections have been ended too
          }
        });
    for (int i = 0; i < calls; i++) {
      assertEquals(List.of(value), client.readMessage());
    }
    assertTrue(client.isClosedByPeer());
    client.close();
    draining.join();
  }
}
