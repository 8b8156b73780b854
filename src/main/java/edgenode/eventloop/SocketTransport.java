package edgenode.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.RawUnixChannelOption;
import io.netty.channel.unix.UnixChannelOption;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Sockets of this machine: native epoll, which takes a fifth less CPU than NIO, or else NIO. */
final class SocketTransport implements Transport {
  static final boolean HAS_EPOLL = Epoll.isAvailable();

  /** States of a connection as Linux numbers them (TCP_INFO in tcp(7), RFC 9293 3.3.2). */
  private static final int TCP_CLOSED = 7;

  private static final int TCP_CLOSE_WAIT = 8;

  /** The kernel's struct tcp_info up to tcpi_notsent_bytes, and offsets in it (linux/tcp.h). */
  private static final int TCP_INFO_BYTES = 152;

  private static final int UNACKED_SEGMENTS_OFFSET = 24;
  private static final int ACKNOWLEDGED_BYTES_OFFSET = 120;
  private static final int RECEIVED_BYTES_OFFSET = 128;
  private static final int NOT_SENT_BYTES_OFFSET = 144;

  /** Level and name of the socket option (tcp(7)). */
  private static final int IPPROTO_TCP = 6;

  private static final int TCP_INFO = 11;

  /** A burst of connects must not delay all other events of a pass of the loop. */
  private static final int MAX_ACCEPTS_PER_PASS = 16;

  SocketTransport() {}

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
   * Accepts all pending connections. By default Netty's epoll channel compares the accepted
   * descriptor with 1 to tell whether more are pending, and so accepts one in each pass of the
   * loop.
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
      // it has just been closed, or the system does not say
    }
    return false;
  }

  @Override
  public Delivery deliveryOf(Channel connection) {
    ByteBuffer info = tcpInfo(connection);
    return info == null
        ? Delivery.UNKNOWN
        : new Delivery(
            info.getInt(UNACKED_SEGMENTS_OFFSET) == 0 && info.getInt(NOT_SENT_BYTES_OFFSET) == 0,
            info.getLong(ACKNOWLEDGED_BYTES_OFFSET));
  }

  @Override
  public boolean hasUnreadBytes(Channel connection, long readBytes) {
    ByteBuffer info = tcpInfo(connection);
    return info != null && info.getLong(RECEIVED_BYTES_OFFSET) > readBytes;
  }

  /** The kernel's struct tcp_info, or null where the system does not say. */
  private static ByteBuffer tcpInfo(Channel connection) {
    try {
      if (connection instanceof EpollSocketChannel socket && socket.isActive()) {
        return socket
            .config()
            .getOption(new RawUnixChannelOption("TCP_INFO", IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES))
            .order(ByteOrder.nativeOrder());
      }
    } catch (ChannelException e) {
      // it has just been closed, or the system does not say
    }
    return null;
  }

  @Override
  public SocketAddress toSocketAddress(InetSocketAddress address) {
    return address;
  }
}
