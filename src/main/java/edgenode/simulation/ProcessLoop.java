package edgenode.simulation;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One edge node's process in the simulation: it shares the world's thread and clock, and can be
 * killed. From then on nothing of it runs any more: its timers are dropped, its connections end
 * without a word of its own, and it makes no new ones.
 */
final class ProcessLoop implements EdgeEventLoop {
  /** Nobody listens there. */
  private static final SocketAddress NOWHERE = new LocalAddress("nowhere");

  private final NettyEdgeEventLoop loop;
  private final Set<Channel> channels = new LinkedHashSet<>();
  private boolean dead;

  ProcessLoop(VirtualLoop world, Transport outer, Consumer<String> log) {
    loop =
        new NettyEdgeEventLoop(
            world,
            new Own(outer),
            world,
            line -> {
              if (!dead) {
                log.accept(line);
              }
            });
  }

  /** SIGKILL. */
  void kill() {
    dead = true;
    for (Channel channel : channels.toArray(new Channel[0])) {
      ChannelPipeline pipeline = channel.pipeline();
      while (pipeline.first() != null) {
        pipeline.removeLast(); // the last one first: what it held back of the wire finds nobody any
        // more
      }
      channel.close();
    }
    channels.clear();
  }

  private <C extends Channel> C keep(C channel) {
    channels.add(channel);
    channel.closeFuture().addListener(f -> channels.remove(channel));
    return channel;
  }

  private final class Own implements Transport {
    private final Transport outer;

    Own(Transport outer) {
      this.outer = outer;
    }

    @Override
    public Bootstrap newClientBootstrap(EventLoopGroup group, int withinMs) {
      return new Bootstrap()
          .group(group)
          .channelFactory(() -> keep(new LocalChannel()))
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, withinMs);
    }

    @Override
    public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
      return new ServerBootstrap()
          .group(group)
          .channelFactory(
              () ->
                  keep(
                      new LocalServerChannel() {
                        @Override
                        protected LocalChannel newLocalChannel(LocalChannel peer) {
                          return keep(super.newLocalChannel(peer));
                        }
                      }));
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
      return dead ? NOWHERE : outer.toSocketAddress(address);
    }
  }

  private Runnable alive(Runnable what) {
    return () -> {
      if (!dead) {
        what.run();
      }
    };
  }

  @Override
  public double nowMs() {
    return loop.nowMs();
  }

  @Override
  public double queueingDelayMs() {
    return loop.queueingDelayMs();
  }

  @Override
  public Future<?> schedule(double delay, Runnable what) {
    return loop.schedule(delay, alive(what));
  }

  @Override
  public void execute(Runnable what) {
    loop.execute(alive(what));
  }

  @Override
  public EventLoopGroup group() {
    return loop.group();
  }

  @Override
  public Transport transport() {
    return loop.transport();
  }

  @Override
  public void flushLater(Channel channel) {
    loop.flushLater(channel);
  }

  @Override
  public void flushPending() {
    loop.flushPending();
  }

  @Override
  public void logFailure(String where, Throwable what) {
    loop.logFailure(where, what);
  }

  @Override
  public void logLine(String line) {
    loop.logLine(line);
  }
}
