package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.eventloop.Clock;
import edgenode.eventloop.LoopThread;
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
class NodeTest extends NodeFixture {
  /** What the module throws at its start ends the start, and does not leave it waiting. */
  @Test
  void aModuleThatFailsAtItsStartFailsTheStart() throws Exception {
    Node failing =
        new Node(
            Config.of(Json.read(config()), java.util.Map.of()),
            (settings, seed, now, actions) -> {
              throw new LinkageError("on purpose");
            });
    IOException told = assertThrows(IOException.class, failing::start);
    assertTrue(told.getMessage().contains("on purpose"), told.getMessage());
    failing.loop().group().shutdownGracefully();
  }

  @Test
  void aCallGoesOnUnchangedButForTheTimeLeftAndItsValueComesBack() throws Exception {
    start();
    Peer.Line client = client();
    client.command("PING");
    assertEquals(List.of("+PONG"), client.message());
    String body = "x".repeat(64 * 1024);
    client.command(
        "CALL.POST",
        CUSTOMER,
        "9b1f",
        "c=write,t=p,d=900,k=5c0f,units=2,spread=3,first=1,r=1",
        body);
    expect("arrived 1 write p " + CUSTOMER + " 2 3 1 true");
    List<String> sent = server.message();
    assertEquals(List.of("CALL.POST", CUSTOMER, "9b1f"), sent.subList(0, 3));
    assertTrue(
        sent.get(3).matches("c=write,t=p,d=(8[0-9][0-9]),k=5c0f,units=2,spread=3,first=1,r=1"),
        sent.get(3));
    assertEquals(body, sent.get(4));
    String value = "\r\n$5".repeat(13_000);
    server.value(value);
    assertEquals(List.of(value), client.message());
    expect("ended 1 0 OK true");
  }

  /** Answers keep the order of the commands, whichever app server is quicker. */
  @Test
  void pipelinedCallsAreAnsweredInOrder() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 900);
    assertEquals("01", server.message().get(2));
    get(client, "02", "refuse", 900);
    get(client, "03", "read", 900);
    Peer.Line second = app.accept(); // one request a connection at a time
    assertEquals("03", second.message().get(2));
    second.value("three");
    server.value("one");
    assertEquals(List.of("one"), client.message());
    assertEquals(List.of("-BUSY 1500"), client.message());
    assertEquals(List.of("three"), client.message());
  }

  @Test
  void commandsInPiecesAreTakenWhenWhole() throws Exception {
    start();
    Peer.Line client = client();
    String whole =
        "*1\r\n$4\r\nPING\r\n*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    client.socket.setTcpNoDelay(true);
    for (char c : whole.toCharArray()) {
      client.write(String.valueOf(c));
    }
    assertEquals(List.of("+PONG"), client.message());
    assertEquals(List.of("-BUSY 1500"), client.message());
  }

  @Test
  void aClientThatClosesIsGoneAndItsAttemptIsTimedOutLater() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 300);
    arrived(1, "read");
    server.message();
    client.close();
    expect("gone 1");
    expect("ended 1 0 TIMEOUT true");
    assertTrue(server.ended());
  }

  /**
   * The protocol's table of outcomes; a break after the last byte may have run, one before has not.
   */
  @Test
  void eachWayToEndHasItsOutcome() throws Exception {
    start();
    Peer.Line client = client();
    String[][] cases = {{"-ERR failed\r\n", "ERROR"}, {"-BUSY\r\n", "FULL"}};
    int id = 0;
    for (String[] each : cases) {
      get(client, "0" + ++id, "read", 900);
      arrived(id, "read");
      server.message();
      server.write(each[0]);
      expect("ended " + id + " 0 " + each[1] + " false");
      assertEquals(List.of("-ERR failed"), client.message());
    }
    get(client, "03", "read", 900);
    arrived(3, "read");
    server.message();
    server.close();
    expect("ended 3 0 RESET false");
    app.close();
    get(client, "04", "read", 900);
    arrived(4, "read");
    expect("ended 4 0 NO_CONNECTION false");
  }

  /** A late answer to an attempt that was given up must not be taken for the next one's. */
  @Test
  void aGivenUpAttemptEndsItsConnection() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 200);
    arrived(1, "read");
    server.message();
    expect("ended 1 0 TIMEOUT false");
    assertEquals(List.of("-ERR failed"), client.message());
    assertTrue(server.ended());
    get(client, "02", "cancel", 900);
    arrived(2, "cancel");
    Peer.Line second = app.accept();
    second.message();
    expect("ended 2 0 CANCELLED false");
    assertTrue(second.ended());
  }

  /**
   * The last word is the node's where the module has none: each request gets one answer in time.
   */
  @Test
  void aHeldOrFailedRequestIsAnswered() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "hold", 200);
    arrived(1, "hold");
    assertEquals(List.of("-ERR failed"), client.message());
    expect("gone 1");
    get(client, "02", "throw", 900); // an exception fails one request and nothing else
    arrived(2, "throw");
    assertEquals(List.of("-ERR failed"), client.message());
    expect("gone 2");
    get(client, "03", "fail", 900);
    assertEquals(List.of("-ERR failed"), client.message());
  }

  /**
   * The module arms one timer for all it waits for: an exception there must not be the end of its
   * time.
   */
  @Test
  void aTimerThatFailsComesAgain() throws Exception {
    failTimers = 1;
    start();
    Peer.Line client = client();
    get(client, "01", "cancel", 2500);
    arrived(1, "cancel");
    server.message();
    expect("ended 1 0 CANCELLED false");
    assertEquals(List.of("-ERR failed"), client.message());
  }

  @Test
  void anIdleConnectionIsRetiredBeforeTheServerEndsIt() throws Exception {
    keepAlive = 1000;
    start();
    assertTrue(server.ended());
    Peer.Line client = client();
    get(client, "01", "read", 900);
    Peer.Line second = app.accept();
    second.message();
    second.value("v");
    assertEquals(List.of("v"), client.message());
  }

  @Test
  void probesAskForTheLoadInTheSettingsOrder() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "probe", 900);
    arrived(1, "probe");
    assertEquals(List.of("INFO", "load"), server.message());
    server.write("$26\r\ninflight=7,x=1,util=0.6100\r\n");
    expect("probed s0 OK [0.61, 7.0]");
  }

  /**
   * Counter calls end in time as 'may have been added', and a late answer must not shift onto the
   * next.
   */
  @Test
  void lateCounterAnswersStayWithTheirCalls() throws Exception {
    start();
    Peer.Line[] lines = new Peer.Line[4];
    BlockingQueue<Peer.Line> called = new LinkedBlockingQueue<>();
    for (int i = 0; i < lines.length; i++) {
      Peer.Line line = counter.accept();
      Thread reading =
          new Thread(
              () -> {
                try {
                  List<String> words = line.message();
                  while (words.get(0).equals("PING")) {
                    line.write("+PONG\r\n");
                    words = line.message();
                  }
                  assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), words);
                  called.add(line);
                } catch (IOException closed) {
                  // one of those that no call came on
                }
              });
      reading.setDaemon(true);
      reading.start();
    }
    Peer.Line client = client();
    get(client, "01", "count", 900);
    arrived(1, "count");
    expect("counted 77 OVERDUE 0.0");
    expect("counted 77 OVERDUE 0.0");
    Peer.Line line = called.poll(10, TimeUnit.SECONDS);
    assertNotNull(line);
    assertEquals(List.of("CNT.ADD", "77", "1", "4000"), line.message());
    get(client, "02", "count", 900);
    arrived(2, "count");
    line.message();
    line.message();
    line.write(
        "$2\r\n-1\r\n$2\r\n-2\r\n$3\r\n1.5\r\n-BUSY\r\n"); // two late ones, then those in time
    expect("counted 77 OK -1.0");
    expect("counted 77 OK -2.0");
    expect("counted 77 OK 1.5");
    expect("counted 77 FULL 0.0");
    get(client, "03", "count", 900);
    arrived(3, "count");
    line.message();
    line.close(); // after it was written: it may have been added
    expect("counted 77 RESET 0.0");
    expect("counted 77 RESET 0.0");
  }

  @Test
  void theWatchTellsDrainsMovesAndLeavers() throws Exception {
    start();
    push(list(42, false, entry("s0", app.address(), "leaving")));
    expect("changes s0 DRAINING");
    assertTrue(server.ended()); // idle connections go with it
    try (Peer moved = new Peer()) {
      push(list(43, false, entry("s0", moved.address(), "active")));
      expect("changes s0 DRAINING"); // it has moved, and comes up a moment later
      expect("changes s0 UP");
      Peer.Line client = client();
      get(client, "01", "read", 900);
      arrived(1, "read");
      Peer.Line line = moved.accept();
      assertEquals("01", line.message().get(2));
      line.value("v");
      expect("ended 1 0 OK true");
      push(list(44, false, entry("s0", moved.address(), "left")));
      expect("changes s0 GONE");
      get(client, "02", "read", 900);
      arrived(2, "read");
      expect("ended 2 0 NO_CONNECTION false");
      push(list(45, true, entry("s1", app.address(), "active")));
      expect("changes s1 UP");
    }
  }

  /** A watch to a machine that vanished is silent for ever: it is dead once its 2 s lines stop. */
  @Test
  void aSilentWatchIsRenewedFromItsVersion() throws Exception {
    start();
    assertTrue(watch.ended());
    nextWatch(discovery, 41);
  }

  /** At SIGTERM connections still come for a while; what is taken is answered, and then it ends. */
  @Test
  void itDrainsBeforeItEnds() throws Exception {
    start();
    Peer.Line idle = client();
    idle.command("PING");
    idle.message();
    Peer.Line busy = client();
    get(busy, "01", "read", 2500);
    arrived(1, "read");
    server.message();
    drained = true;
    Thread draining = new Thread(node::drain);
    draining.start();
    Peer.Line late = client();
    get(late, "02", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), late.message());
    assertTrue(idle.ended());
    assertTrue(late.ended());
    idle.close();
    late.close();
    server.value("v");
    assertEquals(List.of("v"), busy.message());
    assertTrue(busy.ended());
    busy.close();
    draining.join();
    assertThrows(ConnectException.class, this::client);
  }

  /**
   * A client may come before bind has returned to its caller: the first was then dropped, as the
   * listener was not known yet. Here bind never returns, as its caller is interrupted.
   */
  @Test
  void aClientMayComeTheMomentItListens() throws Exception {
    start();
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    EventLoopGroup group = Transport.loop();
    try {
      LoopThread loop = new LoopThread(group, Transport.SOCKETS, Clock.system(), line -> {});
      new ClientListener(loop, node, 8, false).bind(address); // not waited for
      group.submit(() -> {}).sync(); // the bind that was left to the loop is done
      group.submit(() -> {}).sync();
      try (Peer.Line line = Peer.Line.to(address.getPort())) {
        line.command("PING");
        assertEquals(List.of("+PONG"), line.message());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** What a slow reader has still to get is not cut off when the node ends its connection. */
  @Test
  void aLongAnswerIsWholeForASlowReaderAtTheEnd() throws Exception {
    sockets = 512;
    start();
    Peer.Line client = client();
    String value = "v".repeat(64 * 1024);
    int calls = 140; // more than the sockets' buffers hold
    List<Peer.Line> lines = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      get(client, "0" + i, "read", 20_000);
      lines.add(i == 0 ? server : app.accept());
      lines.get(i).message();
    }
    for (Peer.Line line : lines) {
      line.value(value);
    }
    drained = true;
    Thread draining = new Thread(node::drain);
    draining.start();
    assertThrows(
        SocketException.class,
        () -> { // refused, or reset in the queue of the listener that closes
          while (draining.isAlive()) {
            client()
                .close(); // until it listens no more: by then the connections have been ended too
          }
        });
    for (int i = 0; i < calls; i++) {
      assertEquals(List.of(value), client.message());
    }
    assertTrue(client.ended());
    client.close();
    draining.join();
  }
}
