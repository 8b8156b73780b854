package edgenode.admin;

import edgenode.eventloop.EdgeEventLoop;
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
public final class AdminHttpServer {
  private static final int MAX_REQUEST_LINE_BYTES = 1024;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 4096;

  /** A call has no use for a body; one of up to so many bytes is read over. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  /**
   * A queue that a burst of callers fills makes the next one try again after a second: too late.
   */
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Campuses in one answer, where nothing is asked, and at most: a page is some 300 bytes for each.
   */
  private static final int DEFAULT_PAGE_CUSTOMERS = 100;

  private static final int MAX_PAGE_CUSTOMERS = 1000;

  /** A caller that has not made a whole call after this (ms) is ended. */
  private static final long CALL_TIMEOUT_MS = 10_000;

  /** Our side has ended: so long (ms) the caller may take to end its own. */
  private static final long CLOSE_GRACE_MS = 500;

  private final EdgeEventLoop eventLoop;
  private final AdminOperations operations;
  private final int maxConnections;
  private final Set<Channel> connections = new LinkedHashSet<>();
  private Channel serverChannel;

  /**
   * @param most connections that are held at once
   */
  public AdminHttpServer(EdgeEventLoop loop, AdminOperations operations, int most) {
    this.eventLoop = loop;
    this.operations = operations;
    this.maxConnections = most;
  }

  /** Binds; the future fails where the address cannot be had. */
  public ChannelFuture bind(InetSocketAddress address) {
    ChannelFuture bound =
        eventLoop
            .transport()
            .newServerBootstrap(eventLoop.group(), ACCEPT_BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    closeOldestAtLimit();
                    connections.add(channel);
                    channel.closeFuture().addListener(f -> connections.remove(channel));
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(
                                new HttpDecoderConfig()
                                    .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                                    .setMaxChunkSize(MAX_CHUNK_BYTES)),
                            new AdminCallHandler());
                    channel
                        .eventLoop()
                        .schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                  }
                })
            .bind(eventLoop.transport().toSocketAddress(address));
    serverChannel = bound.channel();
    return bound;
  }

  private void closeOldestAtLimit() {
    Iterator<Channel> oldest = connections.iterator();
    while (connections.size() >= maxConnections && oldest.hasNext()) {
      Channel goes = oldest.next();
      oldest.remove();
      goes.close();
    }
  }

  /** No further calls; those that came are answered. */
  public void close() {
    if (serverChannel != null) {
      serverChannel.close();
    }
  }

  private final class AdminCallHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest request;
    private long bodyBytes;
    private boolean isAnswered;

    /** The method that this call has, where it was made with another. */
    private HttpMethod allowedMethod;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (isAnswered) {
        return; // one call a connection
      }
      if (message.decoderResult().isFailure()) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, errorJson("not HTTP"));
        return;
      }
      if (message instanceof HttpRequest httpRequest) {
        request = httpRequest;
      }
      if (message instanceof HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > MAX_BODY_BYTES) {
          answer(
              ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, errorJson("a call needs no body"));
        } else if (message instanceof LastHttpContent) {
          dispatch(ctx);
        }
      }
    }

    private void dispatch(ChannelHandlerContext ctx) {
      String uri = request.uri();
      int query = uri.indexOf('?');
      switch (query < 0 ? uri : uri.substring(0, query)) {
        case "/api/ready" ->
            requireMethod(
                ctx,
                HttpMethod.GET,
                () -> {
                  String not = operations.notReadyReason();
                  answer(
                      ctx,
                      not == null ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                      not == null
                          ? "{\"ready\":true}"
                          : "{\"ready\":false,\"why\":\"" + not + "\"}");
                });
        case "/api/telemetry" ->
            requireMethod(
                ctx,
                HttpMethod.GET,
                () -> answer(ctx, HttpResponseStatus.OK, operations.telemetryJson()));
        case "/api/campuses" -> requireMethod(ctx, HttpMethod.GET, () -> answerCustomers(ctx));
        case "/api/evacuate" ->
            requireMethod(ctx, HttpMethod.PUT, () -> answerCommand(ctx, operations::startDrain));
        case "/api/rejoin" ->
            requireMethod(ctx, HttpMethod.PUT, () -> answerCommand(ctx, operations::cancelDrain));
        default -> answer(ctx, HttpResponseStatus.NOT_FOUND, errorJson("no such call"));
      }
    }

    private void answerCustomers(ChannelHandlerContext ctx) {
      Map<String, List<String>> asked = new QueryStringDecoder(request.uri()).parameters();
      int limit = DEFAULT_PAGE_CUSTOMERS;
      try {
        limit =
            Integer.parseInt(
                asked
                    .getOrDefault("limit", List.of(Integer.toString(DEFAULT_PAGE_CUSTOMERS)))
                    .get(0));
      } catch (NumberFormatException e) {
        limit = 0;
      }
      if (limit < 1 || limit > MAX_PAGE_CUSTOMERS) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, errorJson("limit: 1 to " + MAX_PAGE_CUSTOMERS));
        return;
      }
      String page =
          operations.customersJson(asked.getOrDefault("after", List.of("")).get(0), limit);
      answer(
          ctx,
          page == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
          page == null ? errorJson("figures.campuses is 0 in the settings") : page);
    }

    private void requireMethod(ChannelHandlerContext ctx, HttpMethod method, Runnable call) {
      if (request.method().equals(method)) {
        call.run();
      } else {
        allowedMethod = method;
        answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, errorJson("this call is a " + method));
      }
    }

    private void answerCommand(ChannelHandlerContext ctx, Supplier<String> command) {
      String refusal = command.get();
      answer(
          ctx,
          refusal == null ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT,
          refusal == null ? "{\"done\":true}" : errorJson(refusal));
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
      isAnswered = true;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(ctx.alloc(), text + "\n"));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
          .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      if (allowedMethod != null) {
        response.headers().set(HttpHeaderNames.ALLOW, allowedMethod.name());
      }
      connections.remove(ctx.channel()); // it has been served: no stalled caller, and soon gone
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
                        .schedule(() -> f.channel().close(), CLOSE_GRACE_MS, TimeUnit.MILLISECONDS);
                  });
    }

    private static String errorJson(String message) {
      return "{\"error\":\"" + message + "\"}";
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        eventLoop.logFailure("operators' call", cause);
      }
      ctx.close();
    }
  }
}
