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

/** Sockets whose connection attempts are held back until {@link #releaseNext}. */
final class DelayedConnectTransport implements Transport {
  private final BlockingQueue<Consumer<Runnable>> heldConnects = new LinkedBlockingQueue<>();

  /** Connection attempts to this port are held. */
  volatile int heldPort = -1;

  /** Releases the oldest held connection attempt; waits for one. */
  void releaseNext() throws InterruptedException {
    releaseAndThen(() -> {});
  }

  /**
   * As {@link #releaseNext}; the loop runs the action right after the attempt, before it sees its
   * result.
   */
  void releaseAndThen(Runnable action) throws InterruptedException {
    Consumer<Runnable> next = heldConnects.poll(10, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no connect was begun");
    }
    next.accept(action);
  }

  /** Waits until a connection attempt is held. */
  void awaitHeldConnect() throws InterruptedException {
    DiscoveryFixture.await("a connect is held", () -> !heldConnects.isEmpty());
  }

  private final class HoldingHandler extends ChannelOutboundHandlerAdapter {
    @Override
    public void connect(
        ChannelHandlerContext ctx,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise) {
      if (((InetSocketAddress) remote).getPort() == heldPort) {
        heldConnects.add(
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
  public Bootstrap newClientBootstrap(EventLoopGroup group, int timeoutMs) {
    return new Bootstrap()
        .group(group)
        .channelFactory(
            () -> {
              try {
                Channel channel = SOCKETS.streamChannelType().getConstructor().newInstance();
                channel.pipeline().addFirst(new HoldingHandler());
                return channel;
              } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
              }
            })
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs);
  }

  @Override
  public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
    return SOCKETS.newServerBootstrap(group, backlog);
  }

  @Override
  public boolean isClosedByPeer(Channel connection) {
    return SOCKETS.isClosedByPeer(connection);
  }

  @Override
  public SocketAddress toSocketAddress(InetSocketAddress address) {
    return address;
  }
}
