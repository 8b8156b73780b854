package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A new version takes over the address of a running node. */
class RollingUpgradeTest extends EdgeNodeFixture {
  /** Starts a node at the address of the first, which counts its requests. */
  private EdgeNode startSecondNode(AtomicInteger arrivedCount) throws Exception {
    EdgeNode next =
        new EdgeNode(
            NodeConfig.parse(JsonValue.parse(config()), Map.of()),
            (settings, seed, now, actions) -> new RejectingPolicy(actions, arrivedCount));
    next.startAdmin();
    Thread starting =
        new Thread(
            () -> {
              try {
                next.start();
              } catch (IOException e) {
                policyEvents.add("second: " + e);
              }
            });
    starting.start();
    FakePeer.Connection watch = acceptWatch(discovery, 41);
    watch.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n");
    appServer.accept();
    starting.join();
    return next;
  }

  private void startFirstNode() throws Exception {
    hasAdminAddress = true;
    start();
    listenPort = ((InetSocketAddress) node.address()).getPort();
  }

  /**
   * Sends one request on a connection of its own; a refused, reset or unread one counts as not
   * accepted.
   */
  private boolean sendRequest(int id, Consumer<IOException> onFailure) {
    try (FakePeer.Connection connection = FakePeer.Connection.connect(listenPort)) {
      sendGet(connection, "a" + id, "refuse", 900);
      return connection.readMessage().get(0).startsWith("-BUSY");
    } catch (IOException e) {
      onFailure.accept(e);
      return false;
    }
  }

  /** Without the kernel's program half of the connections would go to the first node. */
  @Test
  void newConnectionsGoToSecondNodeOnceFirstShutsDown() throws Exception {
    startFirstNode();
    AtomicInteger arrivedCount = new AtomicInteger();
    EdgeNode next = startSecondNode(arrivedCount);
    try {
      Thread draining = beginShutdown();
      int before = arrivedCount.get();
      for (int i = 0; i < 40; i++) {
        assertTrue(sendRequest(i, e -> {}));
      }
      assertEquals(40, arrivedCount.get() - before);
      draining.join();
    } finally {
      next.shutdown();
    }
  }

  /** Clients connect for each request, without a pause, while the first node shuts down. */
  @Test
  void noConnectionIsLostDuringHandover() throws Exception {
    startFirstNode();
    AtomicInteger arrivedCount = new AtomicInteger();
    EdgeNode next = startSecondNode(arrivedCount);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    try {
      Thread draining = new Thread(node::shutdown);
      isShutDown = true;
      draining.start();
      for (int i = 0; draining.isAlive(); i++) {
        if (sendRequest(i, e -> lost.incrementAndGet())) {
          served.incrementAndGet();
        }
      }
      assertTrue(served.get() > 100, served + " served");
      assertEquals(0, lost.get());
      assertTrue(sendRequest(1_000_000, e -> {}));
    } finally {
      next.shutdown();
    }
  }

  /**
   * Guards against a request that runs twice in an upgrade: its client leaves the first node before
   * the response, and sends it once more to the second one.
   */
  @Test
  void requestThatMayHaveRunIsNotTakenBySecondNode() throws Exception {
    startFirstNode();
    AtomicInteger arrivedCount = new AtomicInteger();
    EdgeNode next = startSecondNode(arrivedCount);
    try {
      FakePeer.Connection leaving = connectToFirstNode();
      sendPost(leaving, "01");
      assertEquals("01", serverConnection.readMessage().get(2)); // it runs from here on
      Thread draining = beginShutdown();
      int before = arrivedCount.get();
      leaving.close();
      try (FakePeer.Connection again = FakePeer.Connection.connect(listenPort)) {
        sendPost(again, "01");
        assertEquals(List.of("-ERR a request of this id may have run"), again.readMessage());
      }
      assertEquals(before, arrivedCount.get());
      draining.join();
    } finally {
      next.shutdown();
    }
  }

  /** New connections go to either node: has the first one answer for a class that it knows. */
  private FakePeer.Connection connectToFirstNode() throws Exception {
    while (true) {
      FakePeer.Connection connection = FakePeer.Connection.connect(listenPort);
      resources.add(connection);
      sendGet(connection, "x" + connection.socket.getLocalPort(), "fail", 900);
      if (connection.readMessage().equals(List.of("-ERR failed"))) { // the second one rejects all
        return connection;
      }
    }
  }

  private static void sendPost(FakePeer.Connection client, String id) throws IOException {
    client.writeCommand(
        "CALL.POST", CUSTOMER, id, "c=write,t=p,d=5000,k=1,units=2,spread=3,first=1");
  }

  /** A node that shuts down alone accepts to the end: there is no other socket at the address. */
  @Test
  void singleNodeKeepsAcceptingDuringShutdown() throws Exception {
    startFirstNode();
    Thread draining = beginShutdown();
    for (int i = 0; i < 10; i++) {
      assertTrue(sendRequest(i, e -> {}));
    }
    draining.join();
  }

  /** An address is shared only where operators can start a second version beside the first. */
  @Test
  void withoutAdminAddressAnAddressInUseIsRejected() throws Exception {
    start();
    listenPort = ((InetSocketAddress) node.address()).getPort();
    EdgeNode other =
        new EdgeNode(
            NodeConfig.parse(JsonValue.parse(config()), Map.of()),
            (settings, seed, now, actions) -> new RejectingPolicy(actions, new AtomicInteger()));
    Thread watching =
        new Thread(
            () -> {
              try {
                acceptWatch(discovery, 41)
                    .write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n");
              } catch (Exception e) {
                policyEvents.add("watch: " + e);
              }
            });
    watching.start();
    assertThrows(IOException.class, other::start);
    other.loop().group().shutdownGracefully();
    watching.join();
  }

  private static final class RejectingPolicy extends NoOpPolicyEvents {
    private final PolicyActions actions;
    private final AtomicInteger arrivedCount;

    RejectingPolicy(PolicyActions actions, AtomicInteger arrivedCount) {
      this.actions = actions;
      this.arrivedCount = arrivedCount;
    }

    @Override
    public void requestArrived(double now, IncomingRequest request) {
      arrivedCount.incrementAndGet();
      actions.reject(request.id(), 0);
    }
  }
}
