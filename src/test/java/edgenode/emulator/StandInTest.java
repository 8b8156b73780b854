package edgenode.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.Clock;
import edgenode.eventloop.LoopThread;
import edgenode.eventloop.Transport;
import edgenode.node.Peer;
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
class StandInTest {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final String CUSTOMER = "00000000b4d65521";
  private final LoopThread loop =
      new LoopThread(Transport.loop(), Transport.SOCKETS, Clock.system(), line -> {});
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

  private EnrolmentServer server(Capacity.Size size, EnrolmentServer.Habits habits)
      throws InterruptedException {
    return new EnrolmentServer(loop, "s0", new Rack("a", 0, 7500), size, habits, effects, 1)
        .start(ANY);
  }

  private EnrolmentServer server() throws InterruptedException {
    return server(new Capacity.Size(1, 1, 1, 0.5, 1, 0), EnrolmentServer.Habits.USUAL);
  }

  private void on(Runnable what) {
    CompletableFuture.runAsync(what, loop.group()).join();
  }

  private static Peer.Line to(InetSocketAddress at) throws IOException {
    return Peer.Line.to(at.getPort());
  }

  private static List<String> call(Peer.Line line, String id, String list) throws IOException {
    line.command("CALL.POST", CUSTOMER, id, list, "body");
    return line.message();
  }

  @AfterEach
  void end() {
    loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1000);
  }

  @Test
  void aCallIsAnsweredWithValueAndReport() throws Exception {
    EnrolmentServer server = server();
    try (Peer.Line line = to(server.address())) {
      List<String> answer = call(line, "7", "c=w,t=p,d=900,k=1");
      assertEquals(3, answer.size());
      assertEquals("ok 7 by s0", answer.get(0));
      assertEquals(null, answer.get(1));
      assertTrue(answer.get(2).matches("inflight=\\d+,queue=\\d+,util=[\\d.]+"), answer.get(2));
      line.command("PING");
      assertEquals(List.of("+PONG"), line.message());
      line.command("INFO", "load");
      assertTrue(line.message().get(0).startsWith("inflight="));
      line.command("HELLO", "3");
      assertTrue(line.message().get(0).startsWith("-ERR"));
      line.command("CALL.GET", CUSTOMER, "8");
      assertEquals(List.of("-SYNTAX"), line.message());
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
    EnrolmentServer server = server();
    try (Peer.Line line = to(server.address())) {
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
    EnrolmentServer server =
        server(new Capacity.Size(1, 1, 1, 400, 1, 0), EnrolmentServer.Habits.USUAL);
    InetSocketAddress at = server.address();
    try (Peer.Line a = to(at);
        Peer.Line b = to(at);
        Peer.Line c = to(at)) {
      a.command("CALL.GET", CUSTOMER, "1", "c=r,t=p,d=900");
      b.command("CALL.GET", CUSTOMER, "2", "c=r,t=p,d=900");
      while (!seen.contains("came 1 ran") || !seen.contains("came 2 ran")) {
        Thread.sleep(1);
      }
      c.command("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertEquals(List.of("-BUSY"), c.message());
      assertTrue(seen.contains("came 3 not"));
    }
  }

  @Test
  void itDiesAndReturnsColdAtItsAddress() throws Exception {
    EnrolmentServer server = server();
    InetSocketAddress at = server.address();
    assertEquals(0, server.entry("active").bornMs());
    try (Peer.Line line = to(at)) {
      call(line, "1", "c=w,t=p,d=900,k=1");
      on(server::die);
      assertTrue(line.ended());
    }
    assertThrows(IOException.class, () -> to(at).close());
    on(() -> server.back(at));
    Peer.Line again = null;
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
    EnrolmentServer server = server();
    try (Peer.Line line = to(server.address())) {
      on(() -> server.mood(EnrolmentServer.Mood.FAILING));
      assertEquals(List.of("-ERR failed"), call(line, "1", "c=w,t=p,d=9,k=1"));
      on(() -> server.mood(EnrolmentServer.Mood.DRAINING));
      assertEquals(List.of("-BUSY"), call(line, "2", "c=w,t=p,d=9,k=2"));
      on(() -> server.mood(EnrolmentServer.Mood.DEAF));
      line.command("PING");
      line.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, line::message);
      on(() -> server.mood(EnrolmentServer.Mood.WELL));
      assertEquals(List.of("+PONG"), line.message());
      on(() -> server.mood(EnrolmentServer.Mood.SILENT));
      line.command("CALL.GET", CUSTOMER, "3", "c=r,t=p,d=900");
      assertThrows(java.net.SocketTimeoutException.class, line::message);
      assertTrue(seen.contains("came 3 ran"), "silent, and it ran");
    }
    on(() -> server.mood(EnrolmentServer.Mood.NOISE));
    try (Peer.Line line = to(server.address())) {
      assertEquals(List.of("\u0001noise"), call(line, "4", "c=w,t=p,d=9,k=4"));
      assertTrue(line.ended());
    }
  }

  @Test
  void itHoldsSoManyConnectionsAndClosesIdleOnes() throws Exception {
    EnrolmentServer server =
        server(new Capacity.Size(1, 1, 1, 1, 1, 0), new EnrolmentServer.Habits(1, 100, 200, 0));
    try (Peer.Line first = to(server.address())) {
      first.command("PING");
      first.message();
      try (Peer.Line second = to(server.address())) {
        assertTrue(second.ended(), "one too many");
      }
      assertTrue(first.ended(), "idle for longer than it holds one");
    }
  }

  // ---- the counter ----

  private Counter counter(Counter.Size size) throws InterruptedException {
    return new Counter(
            loop, size, (now, name, amount, total) -> seen.add(name + " " + amount + " " + total))
        .start(ANY);
  }

  @Test
  void itAddsAndForgetsANameAtItsEnd() throws Exception {
    Counter counter = counter(Counter.Size.USUAL);
    try (Peer.Line line = to(counter.address())) {
      for (String[] step : new String[][] {{"2.5", "60000", "2.5"}, {"-1", "60000", "1.5"}}) {
        line.command("CNT.ADD", "n", step[0], step[1]);
        assertEquals(List.of(step[2]), line.message());
      }
      line.command("CNT.ADD", "short", "1", "1");
      line.message();
      Thread.sleep(5);
      line.command("CNT.ADD", "short", "1", "1");
      assertEquals(List.of("1"), line.message());
      for (String[] bad :
          new String[][] {
            {"CNT.ADD", "n", "x", "1"},
            {"CNT.ADD", "n", "1", "0"},
            {"CNT.ADD", "", "1", "1"},
            {"CNT.ADD", "n", "2000000000", "1"},
            {"CNT.ADD", "n"},
            {"GET", "n"}
          }) {
        line.command(bad);
        assertTrue(line.message().get(0).startsWith("-ERR"), Arrays.toString(bad));
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
    Counter counter = counter(new Counter.Size(100, 5, 8));
    try (Peer.Line line = to(counter.address())) {
      long from = System.nanoTime();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 50; i++) {
        all.append("*4\r\n$7\r\nCNT.ADD\r\n$1\r\nn\r\n$1\r\n1\r\n$4\r\n9000\r\n");
      }
      line.write(all.toString());
      int added = 0;
      int busy = 0;
      for (int i = 0; i < 50; i++) {
        String answer = line.message().get(0);
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
    Counter counter = counter(Counter.Size.USUAL);
    try (Peer.Line line = to(counter.address())) {
      line.command("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("5"), line.message());
      on(() -> counter.mood(Counter.Mood.FULL));
      line.command("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("-BUSY"), line.message());
      on(() -> counter.mood(Counter.Mood.NOISE));
      line.command("CNT.ADD", "n", "5", "60000");
      assertEquals(List.of("+noise"), line.message());
      on(() -> counter.mood(Counter.Mood.SILENT));
      line.command("CNT.ADD", "n", "5", "60000");
      line.socket().setSoTimeout(200);
      assertThrows(java.net.SocketTimeoutException.class, line::message);
      on(() -> counter.mood(Counter.Mood.WELL)); // however late, a call has its turn
      assertEquals(List.of("10"), line.message());
      on(counter::restart);
      assertTrue(line.ended());
    }
    try (Peer.Line line = to(counter.address())) {
      line.command("CNT.ADD", "n", "1", "60000");
      assertEquals(List.of("1"), line.message(), "started again empty");
    }
  }
}
