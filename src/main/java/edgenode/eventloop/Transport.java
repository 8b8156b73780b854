package edgenode.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** The kinds of channel of an event loop, and their form of an address. */
public interface Transport {
  /** Sockets of this machine. */
  Transport SOCKETS = new SocketTransport();

  /** A new bootstrap for connects, without a handler. */
  Bootstrap newClientBootstrap(EventLoopGroup group, int connectTimeoutMs);

  /**
   * A new bootstrap for a listener, without handlers.
   *
   * @param backlog most connections that wait to be accepted
   */
  ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog);

  /** Lets another process of this user listen at the same address, as in a rolling upgrade. */
  default ServerBootstrap withSharedPort(ServerBootstrap bootstrap) {
    return bootstrap;
  }

  /**
   * Has the newer one of two processes that share the listener's address get all new connections.
   * Nothing changes where there is one process only. Connections in this listener's queue stay.
   *
   * @return false where this is not supported: connections go to both as before
   */
  default boolean yieldNewConnections(Channel listener) {
    return false;
  }

  /**
   * Whether the peer has closed the connection, asked of the system without reading: behind unread
   * bytes a close is not reported as an event. Also false where this is not supported.
   */
  default boolean isClosedByPeer(Channel connection) {
    return false;
  }

  /**
   * How much of what was written has reached the peer's system; {@link Delivery#UNKNOWN} where this
   * is not supported.
   */
  default Delivery deliveryOf(Channel connection) {
    return Delivery.UNKNOWN;
  }

  /**
   * Whether the peer has sent bytes that have not been read, asked of the system without reading.
   * Also false where this is not supported.
   *
   * @param readBytes that have been read from the connection
   */
  default boolean hasUnreadBytes(Channel connection, long readBytes) {
    return false;
  }

  /** Whether a connect failed as the peer refused it, rather than by a time-out. */
  static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /** The address in the form of these channels. */
  SocketAddress toSocketAddress(InetSocketAddress address);

  /** For queries to name servers: a socket, whatever the other channels are. */
  default Class<? extends DatagramChannel> datagramChannelType() {
    return SocketTransport.HAS_EPOLL ? EpollDatagramChannel.class : NioDatagramChannel.class;
  }

  /** For responses of name servers that are too long for a datagram. */
  default Class<? extends SocketChannel> streamChannelType() {
    return SocketTransport.HAS_EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** A new event loop with one thread for {@link #SOCKETS}. */
  static EventLoopGroup newEventLoopGroup() {
    return new MultiThreadIoEventLoopGroup(1, newIoHandlerFactory());
  }

  /** Makes the part of an event loop that handles {@link #SOCKETS}. */
  static IoHandlerFactory newIoHandlerFactory() {
    return SocketTransport.HAS_EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
  }
}
