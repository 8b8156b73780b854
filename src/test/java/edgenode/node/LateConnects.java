package edgenode.node;

import edgenode.eventloop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sockets on which connects come up when a test says so: the network's SYN is held back until
 * {@link #release}.
 */
final class LateConnects implements Transport {
  private final BlockingQueue<Consumer<Runnable>> held = new LinkedBlockingQueue<>();

  /** Connects to this port are held. */
  volatile int port = -1;

  /** Lets the connect go that has been held for longest; waits for one. */
  void release() throws InterruptedException {
    releaseAndThen(() -> {});
  }

  /**
   * As {@link #release}; right after the connect the loop does this, before it hears how that went.
   */
  void releaseAndThen(Runnable then) throws InterruptedException {
    Consumer<Runnable> next = held.poll(10, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no connect was begun");
    }
    next.accept(then);
  }

  /** Waits until a connect is held. */
  void begun() throws InterruptedException {
    Rig.await("a connect is held", () -> !held.isEmpty());
  }

  private final class Holding extends ChannelOutboundHandlerAdapter {
    @Override
    public void connect(
        ChannelHandlerContext ctx,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise) {
      if (((InetSocketAddress) remote).getPort() == port) {
        held.add(
            then ->
                ctx.executor()
                    .execute(
                        () -> {
                          ctx.connect(remote, local, promise);
                          then.run();
                        }));
      } else {
        ctx.connect(remote, local, promise);
      }
    }
  }

  @Override
  public Bootstrap connecting(EventLoopGroup group, int withinMs) {
    return new Bootstrap()
        .group(group)
        .channelFactory(
            () -> {
              try {
                Channel channel = SOCKETS.stream().getConstructor().newInstance();
                channel.pipeline().addFirst(new Holding());
                return channel;
              } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
              }
            })
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, withinMs);
  }

  @Override
  public ServerBootstrap accepting(EventLoopGroup group, int backlog) {
    return SOCKETS.accepting(group, backlog);
  }

  @Override
  public boolean ended(Channel connection) {
    return SOCKETS.ended(connection);
  }

  @Override
  public SocketAddress at(InetSocketAddress address) {
    return address;
  }
}
