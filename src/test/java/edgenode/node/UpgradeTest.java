package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A new version takes over the address of one that serves. */
class UpgradeTest extends NodeFixture {
  /** A node at the address of the first, which counts what comes to it. */
  private Node second(AtomicInteger taken) throws Exception {
    Node next =
        new Node(
            Config.of(Json.read(config()), Map.of()),
            (settings, seed, now, actions) -> new Refusing(actions, taken));
    next.answerOperators();
    Thread starting =
        new Thread(
            () -> {
              try {
                next.start();
              } catch (IOException e) {
                told.add("second: " + e);
              }
            });
    starting.start();
    Peer.Line watched = nextWatch(discovery, 41);
    watched.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n");
    app.accept();
    starting.join();
    return next;
  }

  private void first() throws Exception {
    admin = true;
    start();
    port = ((InetSocketAddress) node.address()).getPort();
  }

  /**
   * One request on a connection of its own; what refuses, resets or ends unread is counted as not
   * taken.
   */
  private boolean ask(int id, Consumer<IOException> missed) {
    try (Peer.Line line = Peer.Line.to(port)) {
      get(line, "a" + id, "refuse", 900);
      return line.message().get(0).startsWith("-BUSY");
    } catch (IOException e) {
      missed.accept(e);
      return false;
    }
  }

  /** Without the program in the kernel half of them would come to the first. */
  @Test
  void fromItsEndOnAllNewConnectionsComeToTheSecond() throws Exception {
    first();
    AtomicInteger taken = new AtomicInteger();
    Node next = second(taken);
    try {
      Thread draining = ending();
      int before = taken.get();
      for (int i = 0; i < 40; i++) {
        assertTrue(ask(i, e -> {}));
      }
      assertEquals(40, taken.get() - before);
      draining.join();
    } finally {
      next.drain();
    }
  }

  /** Clients that connect anew for each request, without a pause, while the first one ends. */
  @Test
  void noConnectionIsLostWhileTheFirstEnds() throws Exception {
    first();
    AtomicInteger taken = new AtomicInteger();
    Node next = second(taken);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    try {
      Thread draining = new Thread(node::drain);
      drained = true;
      draining.start();
      for (int i = 0; draining.isAlive(); i++) {
        if (ask(i, e -> lost.incrementAndGet())) {
          served.incrementAndGet();
        }
      }
      assertTrue(served.get() > 100, served + " served");
      assertEquals(0, lost.get());
      assertTrue(ask(1_000_000, e -> {}));
    } finally {
      next.drain();
    }
  }

  /**
   * One that ends with nobody beside it listens on as ever: the program's choice has nobody behind
   * it.
   */
  @Test
  void aNodeThatEndsAloneKeepsItsNewConnections() throws Exception {
    first();
    Thread draining = ending();
    for (int i = 0; i < 10; i++) {
      assertTrue(ask(i, e -> {}));
    }
    draining.join();
  }

  /** An address is shared only where operators can put a second version beside the first. */
  @Test
  void withoutOperatorsAnAddressInUseIsRefused() throws Exception {
    start();
    port = ((InetSocketAddress) node.address()).getPort();
    Node other =
        new Node(
            Config.of(Json.read(config()), Map.of()),
            (settings, seed, now, actions) -> new Refusing(actions, new AtomicInteger()));
    Thread watching =
        new Thread(
            () -> {
              try {
                nextWatch(discovery, 41)
                    .write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n");
              } catch (Exception e) {
                told.add("watch: " + e);
              }
            });
    watching.start();
    assertThrows(IOException.class, other::start);
    other.loop().group().shutdownGracefully();
    watching.join();
  }

  private static final class Refusing extends QuietEvents {
    private final PolicyActions act;
    private final AtomicInteger taken;

    Refusing(PolicyActions act, AtomicInteger taken) {
      this.act = act;
      this.taken = taken;
    }

    @Override
    public void requestArrived(double now, IncomingRequest r) {
      taken.incrementAndGet();
      act.reject(r.id(), 0);
    }
  }
}
