package edgenode.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.UnixChannelOption;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;

/** The kinds of channel of an event loop, and how an address is said on them. */
public interface Transport {
  /**
   * Sockets of this machine: native epoll, measured to take a fifth less CPU than NIO; NIO where it
   * is not there.
   */
  Transport SOCKETS = new SocketTransport();

  /** What connects: a bootstrap without a handler. */
  Bootstrap newClientBootstrap(EventLoopGroup group, int connectTimeoutMs);

  /** What accepts connections: a bootstrap without handlers. */
  ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog);

  /**
   * Lets another process of this user listen at the same address: a new version beside the old one.
   */
  default ServerBootstrap withSharedPort(ServerBootstrap bootstrap) {
    return bootstrap;
  }

  /**
   * Of the two processes that share this listener's address, the other one gets all new connections
   * from now on; where there is no other, nothing changes. What waits in this listener's queue
   * stays there.
   *
   * @return false where this cannot be had, and connections go on being dealt to both
   */
  default boolean yieldNewConnections(Channel listener) {
    return false;
  }

  /**
   * Whether the other side of a connection has ended its own, as far as that can be told without
   * reading: behind bytes that are not read its end is seen by nobody. False also where this cannot
   * be had.
   */
  default boolean isClosedByPeer(Channel connection) {
    return false;
  }

  /** An address as these channels have it. */
  SocketAddress toSocketAddress(InetSocketAddress address);

  /** For questions to name servers: sockets, whatever the other channels are. */
  default Class<? extends DatagramChannel> datagramChannelType() {
    return SocketTransport.HAS_EPOLL ? EpollDatagramChannel.class : NioDatagramChannel.class;
  }

  /** For answers of name servers that are too long for a datagram. */
  default Class<? extends SocketChannel> streamChannelType() {
    return SocketTransport.HAS_EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** A thread of its own for {@link #SOCKETS}. */
  static EventLoopGroup newEventLoopGroup() {
    return new MultiThreadIoEventLoopGroup(
        1, SocketTransport.HAS_EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
  }

  /** The machine's own. */
  final class SocketTransport implements Transport {
    private static final boolean HAS_EPOLL = Epoll.isAvailable();

    /**
     * States of a connection as Linux counts them (TCP_INFO in tcp(7), the states of RFC 9293
     * 3.3.2).
     */
    private static final int TCP_CLOSED = 7;

    private static final int TCP_CLOSE_WAIT = 8;

    /**
     * Accepted in one pass of the loop at most: a burst of connects must not hold up what else is
     * ready.
     */
    private static final int MAX_ACCEPTS_PER_PASS = 16;

    private SocketTransport() {}

    private static Class<? extends Channel> socketChannelType() {
      return HAS_EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    private static Class<? extends ServerChannel> serverChannelType() {
      return HAS_EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    @Override
    public Bootstrap newClientBootstrap(EventLoopGroup group, int connectTimeoutMs) {
      return new Bootstrap()
          .group(group)
          .channel(socketChannelType())
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
    }

    @Override
    public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
      return new ServerBootstrap()
          .group(group)
          .channel(serverChannelType())
          .option(ChannelOption.SO_BACKLOG, backlog)
          .option(ChannelOption.SO_REUSEADDR, true)
          .option(ChannelOption.RECVBUF_ALLOCATOR, newAcceptAllocator());
    }

    /**
     * Accepts until none waits. By default Netty's epoll channel compares the accepted descriptor
     * with 1 to tell whether more wait, and so accepts one connection in each pass of the loop.
     */
    private static RecvByteBufAllocator newAcceptAllocator() {
      return new ServerChannelRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_ACCEPTS_PER_PASS);
    }

    @Override
    public ServerBootstrap withSharedPort(ServerBootstrap bootstrap) {
      return HAS_EPOLL
          ? bootstrap.option(UnixChannelOption.SO_REUSEPORT, true)
          : bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }

    @Override
    public boolean yieldNewConnections(Channel listener) {
      return HAS_EPOLL && ReusePortProgram.selectSecondSocket(listener);
    }

    @Override
    public boolean isClosedByPeer(Channel connection) {
      try {
        if (connection instanceof EpollSocketChannel socket && socket.isActive()) {
          int state = socket.tcpInfo().state();
          return state == TCP_CLOSED || state == TCP_CLOSE_WAIT;
        }
      } catch (ChannelException e) {
        // it has just been closed, or the system does not tell
      }
      return false;
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
      return address;
    }
  }
}
