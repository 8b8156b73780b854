package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.Agent;
import edgenode.emulator.Capacity;
import edgenode.emulator.Discovery;
import edgenode.emulator.Effects;
import edgenode.emulator.EnrolmentServer;
import edgenode.emulator.Rack;
import edgenode.eventloop.LoopThread;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What the judges lean on in the stand-ins, and the death of a process in virtual time. */
class WorldOfStandInsTest {
  private final VirtualLoop loop = new VirtualLoop();
  private final LocalTransport transport =
      new LocalTransport("world of stand-ins " + System.identityHashCode(this));
  private final LoopThread shared = new LoopThread(loop, transport, loop, line -> {});

  private static InetSocketAddress at(int host) {
    return new InetSocketAddress("10.9.0." + host, 7000);
  }

  /** A node keeps a keyed request in its rack by what the list says of it. */
  @Test
  void theListTellsEachServersOwnRack() throws Exception {
    EnrolmentServer server =
        new EnrolmentServer(
                shared,
                "s1",
                new Rack("b", 1, 7500),
                new Capacity.Size(1, 1, 1, 1, 1, 0),
                EnrolmentServer.Habits.USUAL,
                new Effects() {},
                1)
            .start(at(1));
    String json = server.entry("active").json();
    assertTrue(json.contains("\"site\":\"b\"") && json.contains("\"block\":1"), json);
  }

  /** What discovery would tell only later counts as told later, and does count then. */
  @Test
  void whatChangedInSilenceIsToldAtItsEnd() throws Exception {
    List<String> told = new ArrayList<>();
    Discovery discovery =
        new Discovery(shared, 0, (now, host) -> told.add(host.id() + " " + host.health()))
            .start(at(2));
    discovery.set(new Agent.Host("s0", "10.9.0.1:7000", "active", 0));
    discovery.silent(true);
    discovery.set(new Agent.Host("s0", "10.9.0.1:7000", "leaving", 0));
    assertEquals(List.of("s0 active"), told);
    discovery.silent(false);
    assertEquals(List.of("s0 active", "s0 leaving"), told);
    discovery.silent(false);
    assertEquals(2, told.size());
  }

  /**
   * Its timers and its words end with it; its peers see a connection that ends; nobody listens
   * there any more.
   */
  @Test
  void aKilledProcessSaysAndDoesNothingMore() throws Exception {
    List<String> log = new ArrayList<>();
    ProcessLoop process = new ProcessLoop(loop, transport, log::add);
    AtomicInteger ran = new AtomicInteger();
    AtomicInteger spoke = new AtomicInteger();
    process
        .transport()
        .accepting(process.group(), 8)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ChannelInboundHandlerAdapter() {
                          @Override
                          public void channelInactive(ChannelHandlerContext ctx) {
                            spoke.incrementAndGet();
                          }
                        });
              }
            })
        .bind(process.transport().at(at(3)));
    loop.runUntil(1);
    Channel client = connect(shared, 3);
    assertTrue(client.isActive());
    process.after(50, ran::incrementAndGet);
    process.after(150, ran::incrementAndGet);
    loop.runUntil(100);
    process.kill();
    process.say("a word from beyond");
    process.later(ran::incrementAndGet);
    loop.runUntil(300);
    assertEquals(1, ran.get());
    assertEquals(0, spoke.get(), "it saw its own end");
    assertEquals(List.of(), log);
    assertFalse(client.isActive(), "its peer sees the end");
    assertFalse(connect(shared, 3).isActive(), "nobody listens");
    shared
        .transport()
        .accepting(shared.group(), 8)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {}
            })
        .bind(transport.at(at(4)));
    loop.runUntil(301);
    assertTrue(connect(shared, 4).isActive());
    assertFalse(connect(process, 4).isActive(), "it connects to nobody");
  }

  private Channel connect(edgenode.eventloop.Loop from, int host) {
    Channel channel =
        from.transport()
            .connecting(from.group(), 1000)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(from.transport().at(at(host)))
            .channel();
    loop.runUntil((loop.now() - VirtualLoop.START) + 1);
    return channel;
  }
}
