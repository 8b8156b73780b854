package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.CounterEmulator;
import edgenode.emulator.CustomerClients;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.net.counter.CounterClient;
import edgenode.policy.CallOutcome;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A day of 64 edge nodes never began: their lines to a full counter came up and ended without end,
 * at one moment.
 */
@Timeout(120)
class EventLoopStallTest {
  private static final InetSocketAddress COUNTER = new InetSocketAddress("10.1.0.2", 7000);
  private static final int LINES = 4;

  private final VirtualLoop loop = new VirtualLoop();
  private final LocalTransport transport = new LocalTransport("standstill" + System.nanoTime());
  private final List<String> log = new ArrayList<>();
  private final NettyEdgeEventLoop world = new NettyEdgeEventLoop(loop, transport, loop, log::add);
  private final ProcessLoop node = new ProcessLoop(loop, transport, log::add);
  private final List<CallOutcome> outcomes = new ArrayList<>();

  private CounterClient client() {
    CounterClient client =
        new CounterClient(node, (name, outcome, took, total) -> outcomes.add(outcome), COUNTER, 80);
    client.start();
    return client;
  }

  private void callOnEach(CounterClient client) {
    for (long i = 0; i < LINES; i++) {
      long name = i;
      node.execute(() -> client.add(name, 1, 1000));
    }
  }

  /** Two connects of a line are 0.1 s apart at first and 1.6 s at last: some ten in 10 s. */
  @Test
  void aCounterThatTakesAndClosesIsNotAskedWithoutEnd() {
    int[] taken = {0};
    transport
        .newServerBootstrap(loop, 64)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                taken[0]++;
                channel.close();
              }
            })
        .bind(transport.toSocketAddress(COUNTER));
    client();
    loop.runUntil(10_000);
    assertTrue(taken[0] >= 5 * LINES && taken[0] <= 15 * LINES, taken[0] + " connections: " + log);
    int before = taken[0];
    loop.runUntil(20_000);
    assertTrue(taken[0] - before >= 5 * LINES, "it is still asked: " + (taken[0] - before));
  }

  @Test
  void aLineThatWasOfUseIsBackAtOnce() throws Exception {
    CounterEmulator counter =
        new CounterEmulator(world, CounterEmulator.Limits.DEFAULT, new Trace()).start(COUNTER);
    CounterClient client = client();
    loop.runUntil(100);
    callOnEach(client);
    loop.runUntil(1000);
    counter.reset();
    loop.runUntil(1001);
    callOnEach(client);
    loop.runUntil(1100);
    assertEquals(List.of(), outcomes.stream().filter(o -> o != CallOutcome.OK).toList());
    assertEquals(2 * LINES, outcomes.size());
  }

  @Test
  void aMomentThatNeverEndsIsTold() {
    Runnable[] again = new Runnable[1];
    again[0] = () -> loop.execute(again[0]);
    loop.execute(again[0]);
    String told = assertThrows(IllegalStateException.class, () -> loop.runUntil(10)).getMessage();
    assertTrue(told.contains("time stands still"), told);
  }

  /** Four lines of each node are more than the usual counter holds. */
  @Test
  void aFleetOfMoreThanTheCountersUsualRoomHasItsDay() throws Exception {
    Scenario calm = Scenarios.of("calm");
    int nodes = CounterEmulator.Limits.DEFAULT.maxConnections() / LINES + 1;
    ScenarioRun day = ScenarioRun.play(calm.withNodes(nodes).withLength(2000), 880_003);
    assertTrue(
        day.fates().getOrDefault(CustomerClients.Fate.SERVED, 0) > 0, day.fates().toString());
    assertEquals(List.of(), day.log());
  }

  // ---- progress ----

  @Test
  void progressTellsTheDaysTimeAndHowFastItIs() {
    long[] nanos = {5};
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (Progress progress =
        new Progress(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            "calm, seed 3",
            20_000,
            () -> nanos[0])) {
      nanos[0] += 2_000_000_000L;
      assertEquals("calm, seed 3: coming up, after 2 s", progress.line());
      progress.accept(3000);
      assertEquals(
          "calm, seed 3: at 3.0 of 20.0 s after 2 s, 1.50 times as fast as real time",
          progress.line());
    }
    assertEquals("", out.toString(StandardCharsets.UTF_8), "nothing was started");
  }

  @Test
  void whoHearsHowFarADayHasGoneChangesNothing() throws Exception {
    Scenario day = Scenarios.of("everything").withLength(3000);
    Scenario shorter =
        new Scenario(
            day.name(),
            day.title(),
            day.lengthMs(),
            day.nodes(),
            day.servers(),
            day.size(),
            day.customers(),
            day.loadBalancerNoticeMs(),
            day.load(),
            List.of());
    List<Double> reached = new ArrayList<>();
    ScenarioRun heard =
        ScenarioRun.play(shorter, 7, edgenode.policy.PolicyEngine::new, reached::add);
    assertEquals(ScenarioRun.play(shorter, 7).sha256(), heard.sha256());
    assertEquals(reached.stream().sorted().toList(), reached, "never back");
    assertEquals(0, reached.get(0));
    assertEquals(heard.lengthMs(), reached.get(reached.size() - 1), 1e-6);
  }
}
