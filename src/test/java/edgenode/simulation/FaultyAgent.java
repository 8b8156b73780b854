package edgenode.simulation;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery on a virtual loop whose calls fail in one way, apart for whole lists and for watches.
 * What was asked while it failed stays so for ever: only a call begun later may be answered, which
 * is the worst that the protocol allows.
 */
final class FaultyAgent implements Transport {
  /** What becomes of a call. */
  enum Fault {
    NONE,
    /** The connect is refused. */
    REFUSED,
    /** The connect never comes up. */
    LOST,
    /** The connection is reset as the call comes. */
    RESET,
    /** Half of the answer, then a reset. */
    HALF_RESET,
    /** Half of the answer, then nothing more. */
    HALF,
    /** Another status than 200, and a whole body. */
    STATUS,
    /** Another status than 200, and a body without an end. */
    STATUS_OPEN,
    /** No answer. */
    SILENT,
    /** A watch ends instead of telling; a list is empty text. */
    ENDS,
    /** A whole list comes in many pieces, over {@link #TRICKLED} ms. */
    TRICKLE
  }

  static final double TRICKLED = 1500;
  private static final int PIECES = 150;
  private static final double BEAT = 2000;

  private final LocalTransport network;
  private final NettyEdgeEventLoop loop;
  private final Map<String, DiscoveryAgentEmulator.Host> hosts = new LinkedHashMap<>();
  private final List<Line> lines = new ArrayList<>();
  private long seq;
  private DiscoveryAgentEmulator.Host latest;
  private Fault lists = Fault.NONE;
  private Fault watches = Fault.NONE;
  private int calls;

  /**
   * @param seq the version from which it goes on
   */
  FaultyAgent(
      LocalTransport network,
      NettyEdgeEventLoop loop,
      InetSocketAddress address,
      long seq,
      List<DiscoveryAgentEmulator.Host> all) {
    this.network = network;
    this.loop = loop;
    this.seq = seq;
    all.forEach(h -> hosts.put(h.id(), h));
    network
        .newServerBootstrap(loop.group(), 128)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new Line(channel));
              }
            })
        .bind(network.toSocketAddress(address));
  }

  /** From now on. */
  void fail(Fault whole, Fault follow) {
    lists = whole;
    watches = follow;
  }

  /** All connections that stand say nothing more, for ever. */
  void mute() {
    lines.forEach(l -> l.dead = true);
  }

  void set(DiscoveryAgentEmulator.Host host) {
    seq++;
    latest = host;
    hosts.put(host.id(), host);
    lines.forEach(Line::more);
  }

  /** Whether a watch that stands was asked and not answered. */
  boolean silenced() {
    return lines.stream().anyMatch(l -> l.mute);
  }

  /** Calls, and connects that did not come up, so far. */
  int calls() {
    return calls;
  }

  private String whole() {
    StringBuilder all = new StringBuilder("{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[");
    hosts
        .values()
        .forEach(h -> all.append(all.charAt(all.length() - 1) == '[' ? "" : ",").append(h.json()));
    return all.append("]}\n").toString();
  }

  // ---- connects ----

  @Override
  public Bootstrap newClientBootstrap(EventLoopGroup group, int within) {
    return new Bootstrap()
        .group(group)
        .channelFactory(
            () -> {
              LocalChannel channel = new LocalChannel();
              channel.pipeline().addFirst(new Connects(within));
              return channel;
            })
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, within);
  }

  @Override
  public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
    return network.newServerBootstrap(group, backlog);
  }

  @Override
  public SocketAddress toSocketAddress(InetSocketAddress address) {
    return network.toSocketAddress(address);
  }

  private final class Connects extends ChannelOutboundHandlerAdapter {
    private final int within;

    Connects(int within) {
      this.within = within;
    }

    @Override
    public void connect(
        ChannelHandlerContext ctx,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise) {
      if (lists == Fault.REFUSED) {
        calls++;
        promise.tryFailure(new ConnectException("refused"));
        ctx.close();
      } else if (lists == Fault.LOST) {
        calls++;
        loop.schedule(
            within,
            () -> {
              promise.tryFailure(new ConnectTimeoutException("lost"));
              ctx.close();
            });
      } else {
        ctx.connect(remote, local, promise);
      }
    }
  }

  // ---- calls ----

  private final class Line extends SimpleChannelInboundHandler<ByteBuf> {
    private final Channel channel;
    private final StringBuilder asked = new StringBuilder();
    private boolean dead;

    /** Its watch was not answered. */
    private boolean mute;

    private boolean watching;

    Line(Channel channel) {
      this.channel = channel;
      lines.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
      asked.append(in.toString(StandardCharsets.US_ASCII));
      int end = asked.indexOf("\r\n\r\n");
      if (end >= 0) {
        String head = asked.substring(0, end);
        asked.delete(0, end + 4);
        calls++;
        answer(head);
      }
    }

    private void answer(String head) {
      int since = head.indexOf("since=");
      Fault fault = since >= 0 ? watches : lists;
      String answer;
      if (since >= 0) {
        long at = Long.parseLong(head.substring(since + 6, head.indexOf(' ', since)));
        answer =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                + (fault == Fault.ENDS
                    ? "0\r\n\r\n"
                    : chunk(
                        at == seq ? "\n" : latest != null && at == seq - 1 ? change() : whole()));
      } else {
        String text = fault == Fault.ENDS ? "" : whole();
        answer = "HTTP/1.1 200 OK\r\ncontent-length: " + text.length() + "\r\n\r\n" + text;
      }
      switch (fault) {
        case RESET -> channel.close();
        case HALF -> half(answer);
        case HALF_RESET -> {
          half(answer);
          channel.close();
        }
        case STATUS ->
            write("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 6\r\n\r\nsorry\n");
        case STATUS_OPEN -> {
          write(
              "HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n"
                  + chunk("sorry\n"));
          dead = true;
        }
        case SILENT, REFUSED, LOST -> {
          dead = true;
          mute = since >= 0;
        }
        case TRICKLE -> trickle(answer, 0);
        default -> {
          write(answer);
          watching = since >= 0 && fault == Fault.NONE;
          if (watching) {
            beat();
          }
        }
      }
    }

    private void half(String answer) {
      write(answer.substring(0, answer.length() - Math.min(20, answer.length() / 2)));
      dead = true;
    }

    private void trickle(String answer, int piece) {
      write(
          answer.substring(
              answer.length() * piece / PIECES, answer.length() * (piece + 1) / PIECES));
      if (piece + 1 < PIECES && channel.isActive()) {
        loop.schedule(TRICKLED / PIECES, () -> trickle(answer, piece + 1));
      }
    }

    private String change() {
      return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + latest.json() + "]}\n";
    }

    private static String chunk(String text) {
      return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void more() {
      if (watching) {
        write(chunk(change()));
      }
    }

    private void beat() {
      loop.schedule(
          BEAT,
          () -> {
            if (channel.isActive() && !dead) {
              write(chunk("\n"));
              beat();
            }
          });
    }

    private void write(String text) {
      if (!dead) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      lines.remove(this);
    }
  }
}
