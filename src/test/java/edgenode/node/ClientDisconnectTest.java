package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client counts as disconnected when the kernel has the end of its connection, not when the event
 * loop reads it: no attempt begins for it from then on, however long the loop is busy. Each test
 * blocks the loop until the kernel has the end; what would be sent is then due before or when the
 * loop reads the end.
 */
class ClientDisconnectTest extends EdgeNodeFixture {
  private static final String ESTABLISHED = "01";
  private final DelayedConnectTransport delayedConnects = new DelayedConnectTransport();

  @BeforeEach
  void useDelayedConnects() {
    transport = delayedConnects;
  }

  /** Blocks the event loop from now on. */
  private void blockLoop(int requestId) throws Exception {
    sendGet(connectClient(), "f0", "stall", 9000);
    expectArrival(requestId, "stall");
  }

  /**
   * Whether the kernel has the node's side of a client's connection as established (proc(5),
   * /proc/net/tcp).
   */
  private boolean isEstablished(int clientsPort) {
    String pair =
        String.format(
            Locale.ROOT,
            ":%04X [0-9A-F]+:%04X %s ",
            ((InetSocketAddress) node.address()).getPort(),
            clientsPort,
            ESTABLISHED);
    try {
      List<String> all = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
      if (Files.exists(Path.of("/proc/net/tcp6"))) {
        all.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
      }
      return all.stream().anyMatch(line -> line.matches(".*" + pair + ".*"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes the connection, and waits until the kernel has that at the node's side. */
  private void closeAndAwaitKernel(FakePeer.Connection client, boolean reset) throws Exception {
    int port = client.socket.getLocalPort();
    DiscoveryFixture.await("the connection", () -> isEstablished(port));
    if (reset) {
      client.socket.setSoLinger(true, 0);
    }
    client.close();
    DiscoveryFixture.await("its end", () -> !isEstablished(port));
  }

  /** Expects that the next request is the first that arrives on this connection. */
  private void expectOnlyNextRequestSent(FakePeer.Connection serverSide, String id, int number)
      throws Exception {
    FakePeer.Connection client = connectClient();
    sendGet(client, id, "read", 5000);
    expectArrival(number, "read");
    assertEquals(id, (serverSide == null ? appServer.accept() : serverSide).readMessage().get(2));
  }

  /**
   * All servers' connections break, then all clients disconnect: guards against retries that were
   * sent nevertheless.
   */
  @Test
  void noRetryForClientsThatDisconnectedWhileLoopWasBusy() throws Exception {
    start();
    int clients = 8;
    List<FakePeer.Connection> leaving = new ArrayList<>();
    List<FakePeer.Connection> servers = new ArrayList<>();
    for (int i = 1; i <= clients; i++) {
      FakePeer.Connection client = connectClient();
      client.writeCommand(
          "CALL.POST",
          CUSTOMER,
          "0" + i,
          "c=again,t=p,d=5000,k=" + i + ",units=2,spread=3,first=1");
      expectArrival(i, "again");
      FakePeer.Connection serverSide = i == 1 ? serverConnection : appServer.accept();
      assertEquals("0" + i, serverSide.readMessage().get(2));
      leaving.add(client);
      servers.add(serverSide);
    }
    blockLoop(clients + 1);
    for (FakePeer.Connection serverSide : servers) {
      serverSide.close();
    }
    for (FakePeer.Connection client : leaving) {
      closeAndAwaitKernel(client, false);
    }
    stallLatch.countDown();
    int ended = 0;
    while (ended < 2 * clients) { // the first attempt of each, and the retry that was not sent
      String event = policyEvents.poll(10, java.util.concurrent.TimeUnit.SECONDS);
      ended += event.startsWith("ended") ? 1 : 0;
      assertEquals(event.matches("ended \\d+ 1 .*"), event.endsWith("NOT_SENT true"), event);
    }
    expectOnlyNextRequestSent(null, "0f", clients + 2);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void commandReadTogetherWithDisconnectIsNotSent(boolean reset) throws Exception {
    start();
    blockLoop(1);
    FakePeer.Connection client = connectClient();
    sendGet(client, "02", "read", 5000);
    closeAndAwaitKernel(client, reset);
    stallLatch.countDown();
    expectArrival(2, "read");
    expectPolicyEvent("gone 2");
    expectPolicyEvent("ended 2 0 NOT_SENT true");
    expectOnlyNextRequestSent(serverConnection, "03", 3);
  }

  @Test
  void attemptIsNotSentWhenClientDisconnectsDuringConnect() throws Exception {
    start();
    delayedConnects.heldPort = appServer.port();
    FakePeer.Connection first = connectClient();
    sendGet(first, "01", "read", 5000);
    expectArrival(1, "read");
    assertEquals("01", serverConnection.readMessage().get(2)); // the only connection is in use
    FakePeer.Connection client = connectClient();
    sendGet(client, "02", "read", 5000);
    expectArrival(2, "read");
    delayedConnects.awaitHeldConnect();
    CountDownLatch connecting = new CountDownLatch(1);
    delayedConnects.releaseAndThen(
        () -> {
          connecting.countDown();
          await(stallLatch);
        });
    await(connecting);
    closeAndAwaitKernel(client, false);
    stallLatch.countDown();
    expectPolicyEvent("gone 2");
    expectPolicyEvent("ended 2 0 NOT_SENT true");
    expectOnlyNextRequestSent(null, "03", 3);
  }

  /**
   * What the policy sends by its timer, such as a retry without an endpoint: timers run before what
   * is read.
   */
  @Test
  void timerTriggeredAttemptIsNotSentAfterDisconnect() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "later", 5000);
    expectArrival(1, "later");
    blockLoop(2);
    closeAndAwaitKernel(client, false);
    Thread.sleep(150); // the delay is what is tested: the timer is due when the loop goes on
    stallLatch.countDown();
    expectPolicyEvent("timer 1");
    expectPolicyEvent("gone 1");
    expectPolicyEvent("ended 1 0 NOT_SENT true");
    expectOnlyNextRequestSent(serverConnection, "03", 3);
  }

  /**
   * Guards against not reading above the memory limit: disconnects were hidden behind unread
   * commands.
   */
  @Test
  void requestsBeyondTheMemoryLimitAreRejectedAndDisconnectsSeen() throws Exception {
    start();
    String body = "b".repeat(60_000);
    FakePeer.Connection heavyClient = connectClient();
    int requests = 145; // 8.3 MiB
    for (int i = 0; i < requests; i++) {
      heavyClient.writeCommand(
          "CALL.POST",
          CUSTOMER,
          Integer.toHexString(0x1000 + i),
          "c=hold,t=p,d=9000,spread=3",
          body);
    }
    int arrived = 0;
    while (arrived * 60_100L < 8 << 20) {
      assertEquals(
          "arrived", policyEvents.poll(10, java.util.concurrent.TimeUnit.SECONDS).split(" ")[0]);
      arrived++;
    }
    FakePeer.Connection other = connectClient();
    sendGet(other, "02", "hold", 5000);
    assertEquals(List.of("-BUSY"), other.readMessage());
    closeAndAwaitKernel(heavyClient, false);
    for (int gone = 0; gone < arrived; gone++) {
      String event = policyEvents.poll(10, java.util.concurrent.TimeUnit.SECONDS);
      assertEquals("gone", event.split(" ")[0]);
    }
    assertNull(policyEvents.poll());
    sendGet(other, "03", "refuse", 900); // memory is free again
    assertEquals(List.of("-BUSY 1500"), other.readMessage());
  }

  private static void sendPost(FakePeer.Connection client, String id) throws IOException {
    client.writeCommand(
        "CALL.POST", CUSTOMER, id, "c=write,t=p,d=5000,k=1,units=2,spread=3,first=1");
  }

  /**
   * Guards against a request that ran twice: its client left before the response, and sent it once
   * more on another connection, where it was forwarded as a new one. A read may run again.
   */
  @Test
  void requestThatMayHaveRunIsNotRunAgainWhenItComesAgain() throws Exception {
    start();
    FakePeer.Connection leaving = connectClient();
    sendPost(leaving, "01");
    expectArrival(1, "write");
    assertEquals("01", serverConnection.readMessage().get(2));
    closeAndAwaitKernel(leaving, false);
    expectPolicyEvent("gone 1");
    serverConnection.writeAppServerValue("done");
    expectPolicyEvent("ended 1 0 OK true");
    FakePeer.Connection again = connectClient();
    sendPost(again, "01");
    assertEquals(List.of("-ERR a request of this id may have run"), again.readMessage());
    sendGet(again, "02", "read", 5000);
    expectArrival(2, "read");
    assertEquals("02", serverConnection.readMessage().get(2));
    closeAndAwaitKernel(again, true);
    expectPolicyEvent("gone 2");
    serverConnection.writeAppServerValue("read");
    expectPolicyEvent("ended 2 0 OK true");
    FakePeer.Connection reader = connectClient();
    sendGet(reader, "02", "read", 5000);
    expectArrival(3, "read");
    assertEquals("02", serverConnection.readMessage().get(2));
    serverConnection.writeAppServerValue("read again");
    assertEquals(List.of("read again"), reader.readMessage());
  }
}
