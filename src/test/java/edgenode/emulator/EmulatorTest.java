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

/** App server and counter by the protocol page, and each of their faults, over sockets. */
@Timeout(60)
class EmulatorTest {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final String CUSTOMER = "00000000b4d65521";
  private final NettyEdgeEventLoop loop =
      new NettyEdgeEventLoop(
          Transport.newEventLoopGroup(), Transport.SOCKETS, Clock.system(), line -> {});
  private final List<String> seen = Collections.synchronizedList(new ArrayList<>());
  private final Effects effects =
      new Effects() {
        @Override
        public void began(double now, String server) {
          seen.add("began");
        }

        @Override
        public void came(
            double now,
            String server,
            String verb,
            String customer,
            String id,
            String list,
            String key,
            boolean ran) {
          seen.add("came " + id + (ran ? " ran" : " not"));
        }

        @Override
        public void answered(double now, String server, String id, String text) {
          seen.add("answered " + id + " " + text);
        }

        @Override
        public void malformed(double now, String server, String what) {
          seen.add("malformed");
        }
      };

  private AppServerEmulator server(CapacityModel.Size size, AppServerEmulator.Habits habits)
      throws InterruptedException {
    return new AppServerEmulator(
            loop, "s0", new IdempotencyGroupModel("a", 0, 7500), size, habits, effects, 1)
        .start(ANY);
  }

  private AppServerEmulator server() throws InterruptedException {
    return server(new CapacityModel.Size(1, 1, 1, 0.5, 1, 0), AppServerEmulator.Habits.USUAL);
  }

  private void on(Runnable what) {
    CompletableFuture.runAsync(what, loop.group()).join();
  }

  private static FakePeer.Connection to(InetSocketAddress at) throws IOException {
    return FakePeer.Connection.connect(at.getPort());
  }

  private static List<String> call(FakePeer.Connection line, String id, String list)
      throws IOException {
    line.writeCommand("CALL.POST", CUSTOMER, id, list, "body");
    return line.readMessage();
  }

  @AfterEach
  void end() {
    loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1000);
  }

  @Test
  void aCallIsAnsweredWithValueAndReport() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection line = to(server.address())) {
      List<String> answer = call(line, "7", "c=w,t=p,d=900,k=1");
      assertEquals(3, answer.size());
      assertEquals("ok 7 by s0", answer.get(0));
      assertEquals(null, answer.get(1));
      assertTrue(answer.get(2).matches("inflight=\\d+,queue=\\d+,util=[\\d.]+"), answer.get(2));
      line.writeCommand("PING");
      assertEquals(List.of("+PONG"), line.readMessage());
      line.writeCommand("INFO", "load");
      assertTrue(line.readMessage().get(0).startsWith("inflight="));
      line.writeCommand("HELLO", "3");
      assertTrue(line.readMessage().get(0).startsWith("-ERR"));
      line.writeCommand("CALL.GET", CUSTOMER, "8");
      assertEquals(List.of("-SYNTAX"), line.readMessage());
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
        seen);
  }

  /** The second one with its key is known in the rack, and has no effect of its own. */
  @Test
  void aRepeatInTheRackDoesNotRun() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection line = to(server.address())) {
      call(line, "1", "c=w,t=p,d=900,k=abc");
      call(line, "2", "c=w,t=p,d=900,k=abc,r=1");
      call(line, "3", "c=w,t=p,d=900,k=abd");
    }
    assertEquals(
        List.of("came 1 ran", "came 2 not", "came 3 ran"),
        seen.stream().filter(s -> s.startsWith("came")).toList());
  }

  @Test
  void aFullServerTurnsAway() throws Exception {
    AppServerEmulator server =
        server(new CapacityModel.Size(1, 1, 1, 400, 1, 0), AppServerEmulator.Habits.USUAL);
    InetSocketAddress at = server.address();
    try (FakePeer.Connection a = to(at);
        FakePeer.Connection b = to(at);
        FakePeer.Connection c = to(at)) {
      a.writeCommand("CALL.GET", CUSTOMER, "1", "c=r,t=p,d=900");
      b.writeCommand("CALL.GET", CUSTOMER, "2", "c=r,t=p,d=900");
      while (!seen.contains("came 1 ran") || !seen.contains("came 2 ran")) {
        Thread.sleep(1);
      }
      c.writeCommand("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertEquals(List.of("-BUSY"), c.readMessage());
      assertTrue(seen.contains("came 3 not"));
    }
  }

  @Test
  void itDiesAndReturnsColdAtItsAddress() throws Exception {
    AppServerEmulator server = server();
    InetSocketAddress at = server.address();
    assertEquals(0, server.entry("active").bornMs());
    try (FakePeer.Connection line = to(at)) {
      call(line, "1", "c=w,t=p,d=900,k=1");
      on(server::die);
      assertTrue(line.isClosedByPeer());
    }
    assertThrows(IOException.class, () -> to(at).close());
    on(() -> server.back(at));
    FakePeer.Connection again = null;
    while (again == null) {
      try {
        again = to(at);
      } catch (IOException e) {
        Thread.sleep(1);
      }
    }
    assertEquals("ok 2 by s0", call(again, "2", "c=w,t=p,d=900,k=2").get(0));
    assertTrue(server.entry("active").bornMs() > 0);
    again.close();
  }

  @Test
  void itsMoods() throws Exception {
    AppServerEmulator server = server();
    try (FakePeer.Connection line = to(server.address())) {
      on(() -> server.mood(AppServerEmulator.Mood.FAILING));
      assertEquals(List.of("-ERR failed"), call(line, "1", "c=w,t=p,d=9,k=1"));
      on(() -> server.mood(AppServerEmulator.Mood.DRAINING));
      assertEquals(List.of("-BUSY"), call(line, "2", "c=w,t=p,d=9,k=2"));
      on(() -> server.mood(AppServerEmulator.Mood.DEAF));
      line.writeCommand("PING");
      line.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, line::readMessage);
      on(() -> server.mood(AppServerEmulator.Mood.WELL));
      assertEquals(List.of("+PONG"), line.readMessage());
      on(() -> server.mood(AppServerEmulator.Mood.SILENT));
      line.writeCommand("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertThrows(java.net.SocketTimeoutException.class, line::readMessage);
      assertTrue(seen.contains("came 3 ran"), "silent, and it ran");
    }
    on(() -> server.mood(AppServerEmulator.Mood.NOISE));
    try (FakePeer.Connection line = to(server.address())) {
      assertEquals(List.of("\u0001noise"), call(line, "4", "c=w,t=p,d=9,k=4"));
      assertTrue(line.isClosedByPeer());
    }
  }

  @Test
  void itHoldsSoManyConnectionsAndClosesIdleOnes() throws Exception {
    AppServerEmulator server =
        server(
            new CapacityModel.Size(1, 1, 1, 1, 1, 0), new AppServerEmulator.Habits(1, 100, 200, 0));
    try (FakePeer.Connection first = to(server.address())) {
      first.writeCommand("PING");
      first.readMessage();
      try (FakePeer.Connection second = to(server.address())) {
        assertTrue(second.isClosedByPeer(), "one too many");
      }
      assertTrue(first.isClosedByPeer(), "idle for longer than it holds one");
    }
  }

  // ---- the counter ----

  private CounterEmulator counter(CounterEmulator.Size size) throws InterruptedException {
    return new CounterEmulator(
            loop, size, (now, name, amount, total) -> seen.add(name + " " + amount + " " + total))
        .start(ANY);
  }

  @Test
  void itAddsAndForgetsANameAtItsEnd() throws Exception {
    CounterEmulator counter = counter(CounterEmulator.Size.USUAL);
    try (FakePeer.Connection line = to(counter.address())) {
      for (String[] step : new String[][] {{"2.5", "60000", "2.5"}, {"-1", "60000", "1.5"}}) {
        line.writeCommand("CNT.ADD", "n", step[0], step[1]);
        assertEquals(List.of(step[2]), line.readMessage());
      }
      line.writeCommand("CNT.ADD", "short", "1", "1");
      line.readMessage();
      Thread.sleep(5);
      line.writeCommand("CNT.ADD", "short", "1", "1");
      assertEquals(List.of("1"), line.readMessage());
      for (String[] bad :
          new String[][] {
            {"CNT.ADD", "n", "x", "1"},
            {"CNT.ADD", "n", "1", "0"},
            {"CNT.ADD", "", "1", "1"},
            {"CNT.ADD", "n", "2000000000", "1"},
            {"CNT.ADD", "n"},
            {"GET", "n"}
          }) {
        line.writeCommand(bad);
        assertTrue(line.readMessage().get(0).startsWith("-ERR"), Arrays.toString(bad));
      }
    }
    assertEquals(List.of("n 2.5 2.5", "n -1.0 1.5"), seen.subList(0, 2));
  }

  /**
   * 100 calls a second and 5 that wait: of 50 at once 6 have their turn, in 50 ms, and in their
   * order.
   */
  @Test
  void itTakesSoManyCallsASecond() throws Exception {
    CounterEmulator counter = counter(new CounterEmulator.Size(100, 5, 8));
    try (FakePeer.Connection line = to(counter.address())) {
      long from = System.nanoTime();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 50; i++) {
        all.append("*4\r\n$7\r\nCNT.ADD\r\n$1\r\nn\r\n$1\r\n1\r\n$4\r\n9000\r\n");
      }
      line.write(all.toString());
      int added = 0;
      int busy = 0;
      for (int i = 0; i < 50; i++) {
        String answer = line.readMessage().get(0);
        if (answer.equals("-BUSY")) {
          busy++;
        } else {
          assertEquals(Integer.toString(++added), answer);
        }
      }
      assertTrue(
          added >= 6 && added <= 7 && busy == 50 - added,
          added + " added, " + busy + " turned away");
      assertTrue(System.nanoTime() - from > 40e6, "faster than it may");
    }
  }

  @Test
  void itsFaults() throws Exception {
    CounterEmulator counter = counter(CounterEmulator.Size.USUAL);
    try (FakePeer.Connection line = to(counter.address())) {
      line.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("5"), line.readMessage());
      on(() -> counter.mood(CounterEmulator.Mood.FULL));
      line.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("-BUSY"), line.readMessage());
      on(() -> counter.mood(CounterEmulator.Mood.NOISE));
      line.writeCommand("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("+noise"), line.readMessage());
      on(() -> counter.mood(CounterEmulator.Mood.SILENT));
      line.writeCommand("CNT.ADD", "n", "5", "60000");
      line.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, line::readMessage);
      on(() -> counter.mood(CounterEmulator.Mood.WELL)); // however late, a call has its turn
      assertEquals(List.of("10"), line.readMessage());
      on(counter::restart);
      assertTrue(line.isClosedByPeer());
    }
    try (FakePeer.Connection line = to(counter.address())) {
      line.writeCommand("CNT.ADD", "n", "1", "60000");
      assertEquals(List.of("1"), line.readMessage(), "started again empty");
    }
  }
}
