package edgenode.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.Clock;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.node.FakePeer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * App server and counter emulators by the protocol page, with each of their faults, over sockets.
 */
@Timeout(60)
class EmulatorTest {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final String CUSTOMER = "00000000b4d65521";
  private final NettyEdgeEventLoop loop =
      new NettyEdgeEventLoop(
          Transport.newEventLoopGroup(), Transport.SOCKETS, Clock.system(), connection -> {});
  private final List<String> events = Collections.synchronizedList(new ArrayList<>());
  private final AppServerListener effects =
      new AppServerListener() {
        @Override
        public void firstByteReceived(double now, String server) {
          events.add("began");
        }

        @Override
        public void commandReceived(double now, String server, ReceivedCommand command) {
          events.add("came " + command.requestId() + (command.isExecuted() ? " ran" : " not"));
        }

        @Override
        public void responseSent(double now, String server, String id, String text) {
          events.add("answered " + id + " " + text);
        }

        @Override
        public void malformedCommand(double now, String server, String what) {
          events.add("malformed");
        }
      };

  private AppServerEmulator server(
      CapacityModel.Size size, AppServerEmulator.ConnectionOptions habits)
      throws InterruptedException {
    return new AppServerEmulator(
            loop, "s0", new IdempotencyGroupModel("a", 0, 7500), size, habits, effects, 1)
        .start(ANY_PORT);
  }

  private AppServerEmulator server() throws InterruptedException {
    return server(
        new CapacityModel.Size(1, 1, 1, 0.5, 1, 0), AppServerEmulator.ConnectionOptions.DEFAULT);
  }

  private void runOnLoop(Runnable what) {
    CompletableFuture.runAsync(what, loop.group()).join();
  }

  private static FakePeer.Connection connect(InetSocketAddress at) throws IOException {
    return FakePeer.Connection.connect(at.getPort());
  }

  private static List<String> call(FakePeer.Connection connection, String id, String list)
      throws IOException {
    connection.writeCommand("CALL.POST", CUSTOMER, id, list, "body");
    return connection.readMessage();
  }

  @AfterEach
  void shutDownLoop() {
    loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1000);
  }

  @Test
  void callIsAnsweredWithValueAndLoadReport() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection connection = connect(server.address())) {
      List<String> answer = call(connection, "7", "c=w,t=p,d=900,k=1");
      assertEquals(3, answer.size());
      assertEquals("ok 7 by s0", answer.get(0));
      assertEquals(null, answer.get(1));
      assertTrue(answer.get(2).matches("inflight=\\d+,queue=\\d+,util=[\\d.]+"), answer.get(2));
      connection.writeCommand("PING");
      assertEquals(List.of("+PONG"), connection.readMessage());
      connection.writeCommand("INFO", "load");
      assertTrue(connection.readMessage().get(0).startsWith("inflight="));
      connection.writeCommand("HELLO", "3");
      assertTrue(connection.readMessage().get(0).startsWith("-ERR"));
      connection.writeCommand("CALL.GET", CUSTOMER, "8");
      assertEquals(List.of("-SYNTAX"), connection.readMessage());
    }
    assertEquals(
        List.of(
            "began",
            "came 7 ran",
            "answered 7 value",
            "began",
            "began",
            "began",
            "began",
            "malformed"),
        events);
  }

  /** The second request with the same key is known in the group and has no effect of its own. */
  @Test
  void duplicateInTheIdempotencyGroupDoesNotRun() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection connection = connect(server.address())) {
      call(connection, "1", "c=w,t=p,d=900,k=abc");
      call(connection, "2", "c=w,t=p,d=900,k=abc,r=1");
      call(connection, "3", "c=w,t=p,d=900,k=abd");
    }
    assertEquals(
        List.of("came 1 ran", "came 2 not", "came 3 ran"),
        events.stream().filter(s -> s.startsWith("came")).toList());
  }

  @Test
  void fullAppServerRejectsCalls() throws Exception {
    AppServerEmulator server =
        server(
            new CapacityModel.Size(1, 1, 1, 400, 1, 0),
            AppServerEmulator.ConnectionOptions.DEFAULT);
    InetSocketAddress at = server.address();
    try (FakePeer.Connection first = connect(at);
        FakePeer.Connection second = connect(at);
        FakePeer.Connection third = connect(at)) {
      first.writeCommand("CALL.GET", CUSTOMER, "1", "c=r,t=p,d=900");
      second.writeCommand("CALL.GET", CUSTOMER, "2", "c=r,t=p,d=900");
      while (!events.contains("came 1 ran") || !events.contains("came 2 ran")) {
        Thread.sleep(1);
      }
      third.writeCommand("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertEquals(List.of("-BUSY"), third.readMessage());
      assertTrue(events.contains("came 3 not"));
    }
  }

  @Test
  void appServerCrashesAndRestartsAtItsAddress() throws Exception {
    AppServerEmulator server = server();
    InetSocketAddress at = server.address();
    assertEquals(0, server.entry("active").bornMs());
    try (FakePeer.Connection connection = connect(at)) {
      call(connection, "1", "c=w,t=p,d=900,k=1");
      runOnLoop(server::crash);
      assertTrue(connection.isClosedByPeer());
    }
    assertThrows(IOException.class, () -> connect(at).close());
    runOnLoop(() -> server.restart(at));
    FakePeer.Connection again = null;
    while (again == null) {
      try {
        again = connect(at);
      } catch (IOException e) {
        Thread.sleep(1);
      }
    }
    assertEquals("ok 2 by s0", call(again, "2", "c=w,t=p,d=900,k=2").get(0));
    assertTrue(server.entry("active").bornMs() > 0);
    again.close();
  }

  @Test
  void appServerInjectsItsFaults() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection connection = connect(server.address())) {
      runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.FAILING));
      assertEquals(List.of("-ERR failed"), call(connection, "1", "c=w,t=p,d=9,k=1"));
      runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.DRAINING));
      assertEquals(List.of("-BUSY"), call(connection, "2", "c=w,t=p,d=9,k=2"));
      runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.DEAF));
      connection.writeCommand("PING");
      connection.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, connection::readMessage);
      runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.NORMAL));
      assertEquals(List.of("+PONG"), connection.readMessage());
      runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.SILENT));
      connection.writeCommand("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertThrows(java.net.SocketTimeoutException.class, connection::readMessage);
      assertTrue(events.contains("came 3 ran"), "silent, and it ran");
    }
    runOnLoop(() -> server.setFaultMode(AppServerEmulator.FaultMode.NOISE));
    try (FakePeer.Connection connection = connect(server.address())) {
      assertEquals(List.of("\u0001noise"), call(connection, "4", "c=w,t=p,d=9,k=4"));
      assertTrue(connection.isClosedByPeer());
    }
  }

  @Test
  void appServerBoundsConnectionsAndClosesIdleOnes() throws Exception {
    AppServerEmulator server =
        server(
            new CapacityModel.Size(1, 1, 1, 1, 1, 0),
            new AppServerEmulator.ConnectionOptions(1, 100, 200, 0));
    try (FakePeer.Connection first = connect(server.address())) {
      first.writeCommand("PING");
      first.readMessage();
      try (FakePeer.Connection second = connect(server.address())) {
        assertTrue(second.isClosedByPeer(), "one too many");
      }
      assertTrue(first.isClosedByPeer(), "idle for longer than it holds one");
    }
  }

  // ---- the counter ----

  private CounterEmulator counter(CounterEmulator.Limits size) throws InterruptedException {
    return new CounterEmulator(
            loop, size, (now, name, amount, total) -> events.add(name + " " + amount + " " + total))
        .start(ANY_PORT);
  }

  @Test
  void counterAddsAndExpiresNames() throws Exception {
    CounterEmulator counter = counter(CounterEmulator.Limits.DEFAULT);
    try (FakePeer.Connection connection = connect(counter.address())) {
      for (String[] step : new String[][] {{"2.5", "60000", "2.5"}, {"-1", "60000", "1.5"}}) {
        connection.writeCommand("CNT.ADD", "n", step[0], step[1]);
        assertEquals(List.of(step[2]), connection.readMessage());
      }
      connection.writeCommand("CNT.ADD", "short", "1", "1");
      connection.readMessage();
      Thread.sleep(5);
      connection.writeCommand("CNT.ADD", "short", "1", "1");
      assertEquals(List.of("1"), connection.readMessage());
      for (String[] bad :
          new String[][] {
            {"CNT.ADD", "n", "x", "1"},
            {"CNT.ADD", "n", "1", "0"},
            {"CNT.ADD", "", "1", "1"},
            {"CNT.ADD", "n", "2000000000", "1"},
            {"CNT.ADD", "n"},
            {"GET", "n"}
          }) {
        connection.writeCommand(bad);
        assertTrue(connection.readMessage().get(0).startsWith("-ERR"), Arrays.toString(bad));
      }
    }
    assertEquals(List.of("n 2.5 2.5", "n -1.0 1.5"), events.subList(0, 2));
  }

  /**
   * With 100 calls a second and a queue of 5, of 50 calls at once 6 are executed, within 50 ms and
   * in their order.
   */
  @Test
  void counterLimitsCallsPerSecond() throws Exception {
    CounterEmulator counter = counter(new CounterEmulator.Limits(100, 5, 8));
    try (FakePeer.Connection connection = connect(counter.address())) {
      long from = System.nanoTime();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 50; i++) {
        all.append("*4\r\n$7\r\nCNT.ADD\r\n$1\r\nn\r\n$1\r\n1\r\n$4\r\n9000\r\n");
      }
      connection.write(all.toString());
      int added = 0;
      int busy = 0;
      for (int i = 0; i < 50; i++) {
        String answer = connection.readMessage().get(0);
        if (answer.equals("-BUSY")) {
          busy++;
        } else {
          assertEquals(Integer.toString(++added), answer);
        }
      }
      assertTrue(
          added >= 6 && added <= 7 && busy == 50 - added, added + " added, " + busy + " rejected");
      assertTrue(System.nanoTime() - from > 40e6, "faster than it may");
    }
  }

  @Test
  void counterInjectsItsFaults() throws Exception {
    CounterEmulator counter = counter(CounterEmulator.Limits.DEFAULT);
    try (FakePeer.Connection connection = connect(counter.address())) {
      connection.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("5"), connection.readMessage());
      runOnLoop(() -> counter.setFaultMode(CounterEmulator.FaultMode.FULL));
      connection.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("-BUSY"), connection.readMessage());
      runOnLoop(() -> counter.setFaultMode(CounterEmulator.FaultMode.NOISE));
      connection.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("+noise"), connection.readMessage());
      runOnLoop(() -> counter.setFaultMode(CounterEmulator.FaultMode.SILENT));
      connection.writeCommand("CNT.ADD", "n", "5", "60000");
      connection.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, connection::readMessage);
      runOnLoop(
          () ->
              counter.setFaultMode(
                  CounterEmulator.FaultMode.NORMAL)); // a queued call is executed however late
      assertEquals(List.of("10"), connection.readMessage());
      runOnLoop(counter::restart);
      assertTrue(connection.isClosedByPeer());
    }
    try (FakePeer.Connection connection = connect(counter.address())) {
      connection.writeCommand("CNT.ADD", "n", "1", "60000");
      assertEquals(List.of("1"), connection.readMessage(), "started again empty");
    }
  }
}
