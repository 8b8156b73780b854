package edgenode.admin;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.GracefulChannelClose;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Serves the operators' calls over HTTP/1.1 (RFC 9112), one call a connection; 2xx means done, 4xx
 * and 5xx not done. Connections without a complete call are closed after a time-out, and at the
 * limit of connections the oldest of them is. Runs on the event loop thread.
 */
public final class AdminHttpServer {
  private static final int MAX_REQUEST_LINE_BYTES = 1024;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 4096;

  /** No call needs a body; one of up to this length is ignored. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  /** Where a burst fills the queue, the kernel of a caller tries again only after a second. */
  private static final int ACCEPT_BACKLOG = 1024;

  /** Customers in a response where the call names no limit; each takes some 300 bytes. */
  private static final int DEFAULT_PAGE_CUSTOMERS = 100;

  private static final int MAX_PAGE_CUSTOMERS = 1000;

  /** Time for a complete call (ms). */
  private static final long CALL_TIMEOUT_MS = 10_000;

  /** Time for the caller to close its side after the response (ms). */
  private static final double CLOSE_GRACE_MS = 500;

  /** A caller that takes nothing of its response for this time (ms) is disconnected. */
  private static final double STALL_TIMEOUT_MS = 5000;

  private final EdgeEventLoop eventLoop;
  private final AdminOperations operations;
  private final int maxConnections;
  private final Set<Channel> connections = new LinkedHashSet<>();
  private Channel serverChannel;

  /**
   * A server that is not bound yet.
   *
   * @param maxConnections connections open at a time
   */
  public AdminHttpServer(EdgeEventLoop eventLoop, AdminOperations operations, int maxConnections) {
    this.eventLoop = eventLoop;
    this.operations = operations;
    this.maxConnections = maxConnections;
  }

  /** Binds to an address; the future fails where that is not possible. */
  public ChannelFuture bind(InetSocketAddress address) {
    ChannelFuture bound =
        eventLoop
            .transport()
            .newServerBootstrap(eventLoop.group(), ACCEPT_BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initConnection(channel);
                  }
                })
            .bind(eventLoop.transport().toSocketAddress(address));
    serverChannel = bound.channel();
    return bound;
  }

  private void initConnection(Channel channel) {
    closeOldestAtLimit();
    connections.add(channel);
    channel.closeFuture().addListener(closed -> connections.remove(channel));
    HttpDecoderConfig limits =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);
    channel.pipeline().addLast(new HttpServerCodec(limits), new AdminCallHandler());
    channel.eventLoop().schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void closeOldestAtLimit() {
    Iterator<Channel> oldestFirst = connections.iterator();
    while (connections.size() >= maxConnections && oldestFirst.hasNext()) {
      Channel oldest = oldestFirst.next();
      oldestFirst.remove();
      oldest.close();
    }
  }

  /** Accepts no further connections; calls under way are answered. */
  public void close() {
    if (serverChannel != null) {
      serverChannel.close();
    }
  }

  private final class AdminCallHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest request;
    private long bodyBytes;
    private boolean isAnswered;

    /** The method that the call needs, where it was made with another; else null. */
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
        case "/api/ready" -> requireMethod(ctx, HttpMethod.GET, () -> answerReadiness(ctx));
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

    private void answerReadiness(ChannelHandlerContext ctx) {
      String reason = operations.notReadyReason();
      if (reason == null) {
        answer(ctx, HttpResponseStatus.OK, "{\"ready\":true}");
      } else {
        answer(
            ctx,
            HttpResponseStatus.SERVICE_UNAVAILABLE,
            "{\"ready\":false,\"why\":\"" + reason + "\"}");
      }
    }

    private void answerCustomers(ChannelHandlerContext ctx) {
      Map<String, List<String>> parameters = new QueryStringDecoder(request.uri()).parameters();
      int limit = pageLimit(parameters.get("limit"));
      if (limit < 1 || limit > MAX_PAGE_CUSTOMERS) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, errorJson("limit: 1 to " + MAX_PAGE_CUSTOMERS));
        return;
      }
      String page =
          operations.customersJson(parameters.getOrDefault("after", List.of("")).get(0), limit);
      if (page == null) {
        answer(
            ctx, HttpResponseStatus.NOT_FOUND, errorJson("figures.campuses is 0 in the settings"));
      } else {
        answer(ctx, HttpResponseStatus.OK, page);
      }
    }

    /** The limit that the call names, the default where it names none, 0 where it is no number. */
    private static int pageLimit(List<String> values) {
      if (values == null) {
        return DEFAULT_PAGE_CUSTOMERS;
      }
      try {
        return Integer.parseInt(values.get(0));
      } catch (NumberFormatException e) {
        return 0;
      }
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
      if (refusal == null) {
        answer(ctx, HttpResponseStatus.OK, "{\"done\":true}");
      } else {
        answer(ctx, HttpResponseStatus.CONFLICT, errorJson(refusal));
      }
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
      connections.remove(ctx.channel()); // answered: it does not count at the limit any more
      ctx.write(response);
      GracefulChannelClose.start(eventLoop, ctx.channel(), CLOSE_GRACE_MS, () -> STALL_TIMEOUT_MS);
    }

    private static String errorJson(String message) {
      return "{\"error\":\"" + message + "\"}";
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        eventLoop.logFailure("admin call", cause);
      }
      ctx.close();
    }
  }
}
