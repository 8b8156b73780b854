package edgenode.simulation;

import edgenode.eventloop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * Channels within the process. What is written comes whole and at once; a connection to an address
 * at which nobody listens is refused. Half of a connection cannot be closed by itself.
 *
 * @param world a name of its own: channels of all worlds in one process share one register
 */
record LocalTransport(String world) implements Transport {
  @Override
  public Bootstrap newClientBootstrap(EventLoopGroup group, int withinMs) {
    return new Bootstrap()
        .group(group)
        .channel(LocalChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, withinMs);
  }

  @Override
  public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
    return new ServerBootstrap().group(group).channel(LocalServerChannel.class);
  }

  @Override
  public SocketAddress toSocketAddress(InetSocketAddress address) {
    return new LocalAddress(
        world + "/" + address.getAddress().getHostAddress() + ":" + address.getPort());
  }
}
