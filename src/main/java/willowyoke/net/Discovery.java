package willowyoke.net;

import com.fasterxml.jackson.core.JacksonException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import willowyoke.Gateway;
import willowyoke.config.Config;
import willowyoke.config.Json;

/** The list of app servers: the one told at the start, the whole list, then a watch that is kept alive. */
final class Discovery {
    private static final String PATH = "/catalog/members";
    /** A watch sends a line every 2 s: one that is silent for longer (ms) is dead. */
    private static final double SILENT = 5000;
    /**
     * Lines come whole: half a line with nothing behind it for so long (ms) is all that comes, and what it
     * tells must be known within the grace for drains. The watch is asked for anew, from the last whole line.
     * Where lines are merely slow this costs a connection each, and from the second on the back-off.
     */
    private static final double HALF_LINE = 80;
    private static final double CHECK = 500;
    private static final int CONNECT = 1000;
    /** The agent is on this machine and at no cost: after one that worked the next is tried at once. */
    private static final double BACKOFF = 10;
    private static final double BACKOFF_MOST = 2000;
    /** So many refusals in a row are no restart of the agent: by then some 100 ms have passed. */
    private static final int REFUSED = 4;
    /** No list is as long as this (bytes); a line that grows past it ends the connection. */
    private static final int LINE = 8 << 20;

    /** A server as the module knows it, and where it listens. */
    record Member(Gateway.Server server, InetSocketAddress dial) { }

    private final Node node;
    private final Bootstrap bootstrap;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    /** Watches at addresses that a new configuration has left: they count until the new one has told. */
    private final List<Channel> left = new ArrayList<>();
    private InetSocketAddress address;
    private Channel channel;
    private long seq = -1;
    private double heardAt;
    private double backoff = BACKOFF;
    private boolean connecting;
    private int refused;

    Discovery(Node node, EventLoopGroup group, Config config) {
        this.node = node;
        address = config.discovery();
        bootstrap = new Bootstrap().group(group).channel(Transport.socket())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT);
    }

    /** Done when discovery itself has told its list. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    /** The list that was known at the start may be old: it serves until discovery answers. */
    void start(Json known) {
        if (known != null) {
            take(known, true);
        }
        connect();
        check();
    }

    /** The watch stands or is being renewed all the time. */
    void subscribe() {
        if (channel == null && !connecting) {
            connect();
        }
    }

    /** A new address: its versions are its own, so the whole list is fetched; the old watch stays so long. */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        seq = -1;
        backoff = BACKOFF;
        connecting = false;
        if (channel != null) {
            left.add(channel);
            channel = null;
        }
        connect();
    }

    private void check() {
        node.after(CHECK, this::check);
        if (channel != null && node.now() - heardAt > SILENT) {
            channel.close();
        }
    }

    private void connect() {
        if (connecting || channel != null) {
            return;
        }
        connecting = true;
        InetSocketAddress to = address;
        bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override protected void initChannel(SocketChannel c) {
                c.pipeline().addLast(new HttpClientCodec(), new Lines(to));
            }
        }).connect(to).addListener(f -> {
            if (!f.isSuccess() && to == address) {
                connecting = false;
                if (++refused >= REFUSED) {
                    node.discoveryRefuses();
                }
                again();
            }
        });
    }

    private void again() {
        node.after(backoff, this::connect);
        backoff = Math.min(2 * backoff, BACKOFF_MOST);
        node.discoveryFailed();
        node.flush();
    }

    /** Takes a list or a change of it; false where it cannot be understood. */
    private boolean take(Json told, boolean current) {
        if (!told.get("hosts").isArray()) {
            return false;
        }
        List<Member> members = new ArrayList<>();
        for (Json h : told.get("hosts").elements()) {
            try {
                members.add(member(h));
            } catch (IllegalArgumentException e) {
                node.log("discovery", e); // the others are of use
            }
        }
        boolean whole = told.get("whole").isTrue();
        seq = current ? (long) told.get("seq").number(seq) : seq;
        node.listed(members, whole);
        if (current && whole) {
            left.forEach(Channel::close);
            left.clear();
        }
        return true;
    }

    private static Member member(Json h) {
        Gateway.State state = switch (h.get("health").text("")) {
            case "active" -> Gateway.State.UP;
            case "left" -> Gateway.State.GONE;
            default -> Gateway.State.DRAINING; // leaving, or a word to come: nothing new is the safe reading
        };
        String dial = h.get("dial").text("");
        return new Member(new Gateway.Server(h.get("host").text(""), (int) h.get("block").number(0),
            h.get("site").text(""), state, h.get("class").text(""), h.get("born_ms").number(0),
            h.get("share").number(1)),
            state == Gateway.State.GONE && dial.isEmpty() ? null : Config.address(dial));
    }

    private final class Lines extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress at;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private boolean watching;
        private boolean good;
        private long lines;
        private boolean timed;

        Lines(InetSocketAddress at) {
            this.at = at;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            if (at != address) { // left before it came up
                ctx.close();
                return;
            }
            connecting = false;
            refused = 0;
            channel = ctx.channel();
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            heardAt = node.now();
            watching = seq >= 0;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                watching ? PATH + "?follow=1&since=" + seq : PATH);
            request.headers().set(HttpHeaderNames.HOST, at.getHostString() + ":" + at.getPort());
            ctx.writeAndFlush(request);
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) throws IOException {
            heardAt = at == address ? node.now() : heardAt;
            if (msg instanceof HttpResponse response) {
                good = response.status().code() == 200;
            }
            if (msg instanceof HttpContent content && good) {
                ByteBuf in = content.content();
                while (in.isReadable()) {
                    int end = in.bytesBefore((byte) '\n');
                    in.readBytes(line, end < 0 ? in.readableBytes() : end);
                    if (end >= 0) {
                        in.skipBytes(1);
                        line();
                    } else if (line.size() > LINE) {
                        ctx.close();
                    }
                }
            }
            if (msg instanceof LastHttpContent) {
                if (good && !watching && line.size() > 0) {
                    line();
                }
                if (good && !watching && seq >= 0) {
                    ask(ctx); // the list is here; the watch goes on from it
                } else {
                    ctx.close();
                }
            }
        }

        private void line() throws IOException {
            byte[] text = line.toByteArray();
            line.reset();
            lines++;
            if (new String(text, java.nio.charset.StandardCharsets.UTF_8).isBlank()) {
                backoff = BACKOFF;
                ready.complete(null); // nothing has changed
                return;
            }
            if (take(Json.read(text), at == address)) {
                backoff = BACKOFF;
                ready.complete(null);
            }
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            if (line.size() > 0 && !timed) {
                halfALine(ctx, lines, line.size());
            }
            node.flush();
        }

        /** Waits for more of this line; one that grows is waited for again. */
        private void halfALine(ChannelHandlerContext ctx, long whole, int size) {
            timed = true;
            node.after(HALF_LINE, () -> {
                timed = false;
                if (lines == whole && line.size() == size) {
                    ctx.close();
                } else if (line.size() > 0) {
                    halfALine(ctx, lines, line.size());
                }
            });
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            left.remove(ctx.channel());
            if (ctx.channel() == channel) {
                channel = null;
                again();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) || cause instanceof JacksonException) {
                node.log("discovery", cause);
            }
            ctx.close();
        }
    }
}
