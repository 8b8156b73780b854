package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.AppServerEmulator;
import edgenode.emulator.AppServerListener;
import edgenode.emulator.CapacityModel;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.emulator.IdempotencyGroupModel;
import edgenode.eventloop.NettyEdgeEventLoop;
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
class EmulatedWorldTest {
  private final VirtualLoop loop = new VirtualLoop();
  private final LocalTransport transport =
      new LocalTransport("world of stand-ins " + System.identityHashCode(this));
  private final NettyEdgeEventLoop shared =
      new NettyEdgeEventLoop(loop, transport, loop, line -> {});

  private static InetSocketAddress at(int host) {
    return new InetSocketAddress("10.9.0." + host, 7000);
  }

  /** A node keeps a keyed request in its rack by what the list says of it. */
  @Test
  void theListTellsEachServersOwnRack() throws Exception {
    AppServerEmulator server =
        new AppServerEmulator(
                shared,
                "s1",
                new IdempotencyGroupModel("b", 1, 7500),
                new CapacityModel.Size(1, 1, 1, 1, 1, 0),
                AppServerEmulator.ConnectionOptions.DEFAULT,
                new AppServerListener() {},
                1)
            .start(at(1));
    String json = server.entry("active").json();
    assertTrue(json.contains("\"site\":\"b\"") && json.contains("\"block\":1"), json);
  }

  /** What discovery would tell only later counts as told later, and does count then. */
  @Test
  void whatChangedInSilenceIsToldAtItsEnd() throws Exception {
    List<String> told = new ArrayList<>();
    DiscoveryEmulator discovery =
        new DiscoveryEmulator(shared, 0, (now, host) -> told.add(host.id() + " " + host.health()))
            .start(at(2));
    discovery.set(new DiscoveryAgentEmulator.Host("s0", "10.9.0.1:7000", "active", 0));
    discovery.setSilent(true);
    discovery.set(new DiscoveryAgentEmulator.Host("s0", "10.9.0.1:7000", "leaving", 0));
    assertEquals(List.of("s0 active"), told);
    discovery.setSilent(false);
    assertEquals(List.of("s0 active", "s0 leaving"), told);
    discovery.setSilent(false);
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
        .newServerBootstrap(process.group(), 8)
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
        .bind(process.transport().toSocketAddress(at(3)));
    loop.runUntil(1);
    Channel client = connect(shared, 3);
    assertTrue(client.isActive());
    process.schedule(50, ran::incrementAndGet);
    process.schedule(150, ran::incrementAndGet);
    loop.runUntil(100);
    process.kill();
    process.logLine("a word from beyond");
    process.execute(ran::incrementAndGet);
    loop.runUntil(300);
    assertEquals(1, ran.get());
    assertEquals(0, spoke.get(), "it saw its own end");
    assertEquals(List.of(), log);
    assertFalse(client.isActive(), "its peer sees the end");
    assertFalse(connect(shared, 3).isActive(), "nobody listens");
    shared
        .transport()
        .newServerBootstrap(shared.group(), 8)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {}
            })
        .bind(transport.toSocketAddress(at(4)));
    loop.runUntil(301);
    assertTrue(connect(shared, 4).isActive());
    assertFalse(connect(process, 4).isActive(), "it connects to nobody");
  }

  private Channel connect(edgenode.eventloop.EdgeEventLoop from, int host) {
    Channel channel =
        from.transport()
            .newClientBootstrap(from.group(), 1000)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(from.transport().toSocketAddress(at(host)))
            .channel();
    loop.runUntil((loop.nowMs() - VirtualLoop.START) + 1);
    return channel;
  }
}
