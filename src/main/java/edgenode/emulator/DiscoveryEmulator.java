package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/**
 * A stand-in for discovery and its agents, from the protocol page, on an event loop that is given:
 * the list, its versions and watches. What is set comes to the agents after a lag. It can be
 * silent, stall what is out at a byte, send an empty first list, and lose its state. All methods
 * are for the loop's thread.
 */
public final class DiscoveryEmulator {
  /** What passes: a change that has been written to every watch that stands. */
  public interface Told {
    void told(double now, DiscoveryAgentEmulator.Host host);
  }

  private static final int BACKLOG = 128;
  private static final double BEAT = 2000;

  /**
   * Changes kept for watches that go on from an older version; before them the whole list is sent.
   */
  private static final int KEPT = 4096;

  private record Change(long seq, DiscoveryAgentEmulator.Host host) {}

  private final EdgeEventLoop loop;
  private final Told told;
  private final Map<String, DiscoveryAgentEmulator.Host> hosts = new LinkedHashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Set<Line> lines = new LinkedHashSet<>();
  private Channel listener;
  private long seq;
  private double lag;
  private boolean silent;

  /** What changed while it was silent, and was told to nobody. */
  private final List<DiscoveryAgentEmulator.Host> untold = new ArrayList<>();

  private int empties;
  private long stallAt = -1;

  public DiscoveryEmulator(EdgeEventLoop loop, long seq, Told told) {
    this.loop = loop;
    this.seq = seq;
    this.told = told;
  }

  /** Listens there. */
  public DiscoveryEmulator start(InetSocketAddress at) throws InterruptedException {
    ServerBootstrap boot =
        loop.transport()
            .newServerBootstrap(loop.group(), BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    Line line = new Line(channel);
                    channel.pipeline().addLast(line.cut, new HttpServerCodec(), line);
                  }
                });
    boot.bind(loop.transport().toSocketAddress(at))
        .addListener(
            (io.netty.channel.ChannelFuture f) -> {
              if (f.isSuccess()) {
                listener = f.channel();
              } else {
                loop.logLine(
                    "stand-in discovery cannot listen at " + at + ": " + f.cause().getMessage());
              }
            });
    return this;
  }

  public long seq() {
    return seq;
  }

  // ---- the list ----

  /** Changes an entry; agents know it after the lag. Health: active, leaving or left. */
  public void set(DiscoveryAgentEmulator.Host host) {
    if (lag > 0) {
      loop.schedule(lag, () -> apply(host));
    } else {
      apply(host);
    }
  }

  private void apply(DiscoveryAgentEmulator.Host host) {
    seq++;
    if (host.health().equals("left")) {
      hosts.remove(host.id());
    } else {
      hosts.put(host.id(), host);
    }
    changes.add(new Change(seq, host));
    if (changes.size() > KEPT) {
      changes.poll();
    }
    lines.forEach(Line::more);
    if (silent) {
      untold.add(host);
    } else {
      told.told(loop.nowMs(), host);
    }
  }

  // ---- faults ----

  /** From now on a change is known to agents so much later (ms). */
  public void lag(double ms) {
    lag = ms;
  }

  /** Nothing is sent until silence ends; what was to be told is told then. */
  public void silent(boolean on) {
    silent = on;
    if (!on) {
      for (Line line : lines.toArray(new Line[0])) {
        line.speak();
      }
      untold.forEach(host -> told.told(loop.nowMs(), host));
      untold.clear();
    }
  }

  /** The next so many whole lists are empty. */
  public void emptyNext(int lists) {
    empties = lists;
  }

  /** Watches that stand send so many bytes more and then nothing, while they stay open. */
  public void stall(long bytes) {
    for (Line line : lines) {
      if (line.at >= 0) {
        line.cut.left = bytes;
      }
    }
  }

  /** The next connection's answer stalls after so many bytes. */
  public void stallNext(long bytes) {
    stallAt = bytes;
  }

  /** Its state is lost: versions start again from here, with this list. */
  public void restart(long from, List<DiscoveryAgentEmulator.Host> list) {
    seq = from;
    hosts.clear();
    changes.clear();
    list.forEach(h -> hosts.put(h.id(), h));
    for (Line line : lines.toArray(new Line[0])) {
      line.channel.close();
    }
  }

  public void close() {
    if (listener != null) {
      listener.close();
    }
    for (Line line : lines.toArray(new Line[0])) {
      line.channel.close();
    }
  }

  // ---- connections ----

  private String whole() {
    boolean empty = empties > 0;
    empties -= empty ? 1 : 0;
    StringJoiner all =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[", "]}\n");
    if (!empty) {
      hosts.values().forEach(h -> all.add(h.json()));
    }
    return all.toString();
  }

  private String since(long version) {
    if (version > seq || changes.isEmpty() || changes.peek().seq > version + 1) {
      return whole();
    }
    Map<String, DiscoveryAgentEmulator.Host> last = new LinkedHashMap<>();
    for (Change c : changes) {
      if (c.seq > version) {
        last.put(c.host.id(), c.host);
      }
    }
    StringJoiner all =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[", "]}\n");
    last.values().forEach(h -> all.add(h.json()));
    return all.toString();
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Lets so many bytes out, and drops the rest. */
  private static final class Cut extends ChannelOutboundHandlerAdapter {
    private long left = Long.MAX_VALUE;

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      ByteBuf out = (ByteBuf) msg;
      int n = out.readableBytes();
      if (n <= left) {
        left -= left == Long.MAX_VALUE ? 0 : n;
        ctx.write(out, promise);
      } else {
        ctx.write(out.readRetainedSlice((int) left), promise);
        out.release();
        left = 0;
      }
    }
  }

  private final class Line extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private final Cut cut = new Cut();

    /** The version that its watch has, or -1 where it is none. */
    private long at = -1;

    private Runnable held;

    Line(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      lines.add(this);
      if (stallAt >= 0) {
        cut.left = stallAt;
        stallAt = -1;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      lines.remove(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) {
      if (!(msg instanceof HttpRequest request)) {
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/catalog/members")) {
        channel.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND));
        return;
      }
      List<String> since = query.parameters().get("since");
      boolean follow =
          query.parameters().containsKey("follow")
              && since != null
              && since.get(0).matches("[0-9]{1,18}");
      Runnable answer = follow ? () -> watch(Long.parseLong(since.get(0))) : this::list;
      if (silent) {
        held = answer;
      } else {
        answer.run();
      }
    }

    private void list() {
      ByteBuf text = bytes(whole());
      DefaultFullHttpResponse all =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, text);
      all.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
      channel.writeAndFlush(all);
    }

    private void watch(long version) {
      DefaultHttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      channel.write(head);
      line(version == seq ? "\n" : since(version));
      at = seq;
      beat();
    }

    private void beat() {
      long had = at;
      loop.schedule(
          BEAT,
          () -> {
            if (channel.isActive()) {
              if (!silent && at == had) {
                line("\n");
              }
              beat();
            }
          });
    }

    private void line(String text) {
      channel.writeAndFlush(new DefaultHttpContent(bytes(text)));
    }

    /** The list has changed. */
    private void more() {
      if (at >= 0 && !silent) {
        line(since(at));
        at = seq;
      }
    }

    private void speak() {
      if (held != null) {
        held.run();
        held = null;
      } else if (at >= 0 && at != seq) {
        more();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
