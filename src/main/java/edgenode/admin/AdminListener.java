package edgenode.admin;

import edgenode.eventloop.Loop;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Where operators call: HTTP/1.1 (RFC 9112), one call a connection, 2xx for yes and 4xx or 5xx for
 * no. Callers that do not finish their call hold a place for a while and keep nobody waiting: at
 * the bound the oldest of them goes.
 */
public final class AdminListener {
  private static final int LINE = 1024;
  private static final int HEADERS = 8192;
  private static final int CHUNK = 4096;

  /** A call has no use for a body; one of up to so many bytes is read over. */
  private static final int BODY = 64 << 10;

  /**
   * A queue that a burst of callers fills makes the next one try again after a second: too late.
   */
  private static final int BACKLOG = 1024;

  /**
   * Campuses in one answer, where nothing is asked, and at most: a page is some 300 bytes for each.
   */
  private static final int PAGE = 100;

  private static final int MOST_CAMPUSES = 1000;

  /** A caller that has not made a whole call after this (ms) is ended. */
  private static final long PATIENCE = 10_000;

  /** Our side has ended: so long (ms) the caller may take to end its own. */
  private static final long LINGER = 500;

  private final Loop loop;
  private final Operations operations;
  private final int most;
  private final Set<Channel> callers = new LinkedHashSet<>();
  private Channel listener;

  /**
   * @param most connections that are held at once
   */
  public AdminListener(Loop loop, Operations operations, int most) {
    this.loop = loop;
    this.operations = operations;
    this.most = most;
  }

  /** Binds; the future fails where the address cannot be had. */
  public ChannelFuture bind(InetSocketAddress address) {
    ChannelFuture bound =
        loop.transport()
            .accepting(loop.group(), BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    room();
                    callers.add(channel);
                    channel.closeFuture().addListener(f -> callers.remove(channel));
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(
                                new HttpDecoderConfig()
                                    .setMaxInitialLineLength(LINE)
                                    .setMaxHeaderSize(HEADERS)
                                    .setMaxChunkSize(CHUNK)),
                            new Call());
                    channel
                        .eventLoop()
                        .schedule(() -> channel.close(), PATIENCE, TimeUnit.MILLISECONDS);
                  }
                })
            .bind(loop.transport().at(address));
    listener = bound.channel();
    return bound;
  }

  private void room() {
    Iterator<Channel> oldest = callers.iterator();
    while (callers.size() >= most && oldest.hasNext()) {
      Channel goes = oldest.next();
      oldest.remove();
      goes.close();
    }
  }

  /** No further calls; those that came are answered. */
  public void close() {
    if (listener != null) {
      listener.close();
    }
  }

  private final class Call extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest head;
    private long body;
    private boolean answered;

    /** The method that this call has, where it was made with another. */
    private HttpMethod allow;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (answered) {
        return; // one call a connection
      }
      if (part.decoderResult().isFailure()) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, error("not HTTP"));
        return;
      }
      if (part instanceof HttpRequest request) {
        head = request;
      }
      if (part instanceof HttpContent content) {
        body += content.content().readableBytes();
        if (body > BODY) {
          answer(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, error("a call needs no body"));
        } else if (part instanceof LastHttpContent) {
          call(ctx);
        }
      }
    }

    private void call(ChannelHandlerContext ctx) {
      String uri = head.uri();
      int query = uri.indexOf('?');
      switch (query < 0 ? uri : uri.substring(0, query)) {
        case "/api/ready" ->
            only(
                ctx,
                HttpMethod.GET,
                () -> {
                  String not = operations.notReady();
                  answer(
                      ctx,
                      not == null ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                      not == null
                          ? "{\"ready\":true}"
                          : "{\"ready\":false,\"why\":\"" + not + "\"}");
                });
        case "/api/telemetry" ->
            only(
                ctx,
                HttpMethod.GET,
                () -> answer(ctx, HttpResponseStatus.OK, operations.figures()));
        case "/api/campuses" -> only(ctx, HttpMethod.GET, () -> campuses(ctx));
        case "/api/evacuate" -> only(ctx, HttpMethod.PUT, () -> done(ctx, operations::evacuate));
        case "/api/rejoin" -> only(ctx, HttpMethod.PUT, () -> done(ctx, operations::rejoin));
        default -> answer(ctx, HttpResponseStatus.NOT_FOUND, error("no such call"));
      }
    }

    private void campuses(ChannelHandlerContext ctx) {
      Map<String, List<String>> asked = new QueryStringDecoder(head.uri()).parameters();
      int limit = PAGE;
      try {
        limit =
            Integer.parseInt(asked.getOrDefault("limit", List.of(Integer.toString(PAGE))).get(0));
      } catch (NumberFormatException e) {
        limit = 0;
      }
      if (limit < 1 || limit > MOST_CAMPUSES) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, error("limit: 1 to " + MOST_CAMPUSES));
        return;
      }
      String page = operations.campuses(asked.getOrDefault("after", List.of("")).get(0), limit);
      answer(
          ctx,
          page == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
          page == null ? error("figures.campuses is 0 in the settings") : page);
    }

    private void only(ChannelHandlerContext ctx, HttpMethod method, Runnable call) {
      if (head.method().equals(method)) {
        call.run();
      } else {
        allow = method;
        answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, error("this call is a " + method));
      }
    }

    private void done(ChannelHandlerContext ctx, Supplier<String> what) {
      String not = what.get();
      answer(
          ctx,
          not == null ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT,
          not == null ? "{\"done\":true}" : error(not));
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
      answered = true;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(ctx.alloc(), text + "\n"));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
          .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      if (allow != null) {
        response.headers().set(HttpHeaderNames.ALLOW, allow.name());
      }
      callers.remove(ctx.channel()); // it has been served: no stalled caller, and soon gone
      ctx.writeAndFlush(response)
          .addListener(
              (ChannelFutureListener)
                  f -> {
                    if (f.channel() instanceof io.netty.channel.socket.DuplexChannel duplex) {
                      duplex.shutdownOutput(); // a close at once with bytes unread would reset what
                      // is written
                    }
                    f.channel()
                        .eventLoop()
                        .schedule(() -> f.channel().close(), LINGER, TimeUnit.MILLISECONDS);
                  });
    }

    private static String error(String what) {
      return "{\"error\":\"" + what + "\"}";
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        loop.log("operators' call", cause);
      }
      ctx.close();
    }
  }
}
