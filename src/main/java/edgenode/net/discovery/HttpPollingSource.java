package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A source that asks one question after another over HTTP, on one connection that is kept: an
 * answer within a time, whole and of a bounded length, or the question is asked again on a new
 * connection after a {@link ExponentialBackoffPolicy}.
 */
abstract class HttpPollingSource implements EndpointSource {
  /** No list is as long as this (bytes). */
  static final int LONGEST = 8 << 20;

  private static final double BACKOFF = 50;
  private static final int CONNECT = 1000;

  final EdgeEventLoop loop;
  final String space;
  private final EndpointSourceListener sink;
  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private Channel channel;
  private boolean left;
  private boolean waiting;
  private boolean connecting;
  private Future<?> next;
  private int turn;
  private int open;
  private final ExponentialBackoffPolicy backoff;
  private long version;
  private List<DiscoveredEndpoint> before;

  HttpPollingSource(
      EdgeEventLoop loop, EndpointSourceListener sink, InetSocketAddress address, String space) {
    this.loop = loop;
    this.sink = sink;
    this.address = address;
    this.space = space;
    bootstrap = loop.transport().newClientBootstrap(loop.group(), CONNECT);
    backoff = new ExponentialBackoffPolicy(BACKOFF, loop.nowMs());
  }

  /** The next question. */
  abstract FullHttpRequest question();

  /** How long its answer may take (ms). */
  abstract double within();

  /**
   * Reads an answer of status 200: the whole list, or null where nothing has changed.
   *
   * @throws IOException where it cannot be understood; the question is asked again
   */
  abstract List<DiscoveredEndpoint> answer(FullHttpResponse response) throws IOException;

  /** How long to wait until the next question (ms). */
  abstract double pause();

  /** The last answer was not used: what it said must not be taken for known. */
  abstract void forget();

  @Override
  public final void start() {
    ask();
  }

  @Override
  public final void resync() {
    forget();
    before = null;
    if (channel != null) {
      Channel old = channel;
      channel = null;
      waiting = false;
      old.close();
      ask();
    }
  }

  @Override
  public final void retire(double within) {
    left = true;
    if (channel != null) {
      channel.close();
    } else if (open == 0) {
      sink.sourceClosed(space);
    }
  }

  final String host() {
    return address.getHostString() + ":" + address.getPort();
  }

  private void ask() {
    if (left || waiting || connecting) {
      return;
    }
    if (channel == null) {
      connect();
      return;
    }
    waiting = true;
    int now = ++turn;
    FullHttpRequest question = question();
    question.headers().set(HttpHeaderNames.HOST, host());
    channel.writeAndFlush(question);
    loop.schedule(
        within(),
        () -> {
          if (waiting && turn == now && channel != null) {
            loop.logLine(
                "discovery: no answer from " + space + " within " + Math.round(within()) + " ms");
            channel.close();
          }
        });
  }

  /** One chain of questions only, however often it is asked anew. */
  private void askAfter(double ms) {
    if (next != null) {
      next.cancel(false);
    }
    next = loop.schedule(ms, this::ask);
  }

  private void connect() {
    open++;
    connecting = true;
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel c) {
                c.pipeline()
                    .addLast(
                        new HttpClientCodec(), new HttpObjectAggregator(LONGEST), new Answers());
              }
            })
        .connect(loop.transport().toSocketAddress(address))
        .addListener(
            f -> {
              connecting = false;
              if (!f.isSuccess()) {
                open--;
                failed(
                    f.cause() instanceof ConnectException
                        && !(f.cause() instanceof ConnectTimeoutException));
              }
            });
  }

  private void failed(boolean refused) {
    waiting = false;
    if (left) {
      if (open == 0) {
        sink.sourceClosed(space);
      }
      return;
    }
    forget();
    sink.requestFailed(space, refused);
    askAfter(backoff.nextDelayMs());
  }

  private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
    private String why;
    private boolean counted = true;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (left) {
        ctx.close();
        return;
      }
      channel = ctx.channel();
      connecting = false; // the connect's own listener comes after this
      ask();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse msg)
        throws IOException {
      if (!waiting || msg.decoderResult().isFailure()) {
        throw new IOException("no HTTP answer");
      }
      if (msg.status().code() != 200) {
        throw new IOException("status " + msg.status().code());
      }
      List<DiscoveredEndpoint> told = answer(msg);
      waiting = false;
      backoff.reset();
      if (told == null || told.equals(before)) {
        sink.sourceConfirmed(space);
      } else {
        before = told;
        sink.endpointsReceived(space, ++version, true, told);
      }
      if (msg.headers().contains(HttpHeaderNames.CONNECTION, "close", true)) {
        channel = null;
        ctx.close();
      }
      askAfter(pause());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      loop.flushPending();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open -= counted ? 1 : 0;
      counted = false;
      if (ctx.channel() == channel) {
        channel = null;
        if (waiting || left) {
          failed(false);
        } // else it was idle: the next question opens another
      } else if (left && open == 0) {
        sink.sourceClosed(space);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      String text = String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
      if (why == null && !(cause instanceof java.net.SocketException)) {
        why = text;
        loop.logLine("discovery: an answer at " + space + " is not taken: " + text);
      }
      ctx.close();
    }
  }

  static byte[] bytes(ByteBuf content) {
    byte[] all = new byte[content.readableBytes()];
    content.getBytes(content.readerIndex(), all);
    return all;
  }
}
