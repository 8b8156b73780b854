package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.Optional;

/**
 * A source that sends one request after another over HTTP, on one connection that stays open. A
 * response must come within a time, complete and of a bounded length; otherwise the request is sent
 * again on a new connection after an {@link ExponentialBackoffPolicy}. Lives on the event loop.
 */
abstract class HttpPollingSource implements EndpointSource {
  /** No list is as long as this. */
  private static final int MAX_LIST_BYTES = 8 << 20;

  private static final double INITIAL_BACKOFF_MS = 50;
  private static final int CONNECT_TIMEOUT_MS = 1000;

  final EdgeEventLoop loop;
  final String sourceId;
  private final EndpointSourceListener listener;
  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final ExponentialBackoffPolicy backoff;
  private Channel channel;
  private boolean isRetired;
  private boolean isAwaitingResponse;
  private boolean isConnecting;
  private Future<?> nextRequest;
  private int requestNumber;
  private int openConnections;

  /** Counts the lists that differ: none of these protocols orders its versions as needed here. */
  private long version;

  private List<DiscoveredEndpoint> lastList;

  HttpPollingSource(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      InetSocketAddress address,
      String sourceId) {
    this.loop = loop;
    this.listener = listener;
    this.address = address;
    this.sourceId = sourceId;
    bootstrap = loop.transport().newClientBootstrap(loop.group(), CONNECT_TIMEOUT_MS);
    backoff = new ExponentialBackoffPolicy(INITIAL_BACKOFF_MS, loop.nowMs());
  }

  /** The next request. */
  abstract FullHttpRequest nextRequest();

  /** How long its response may take (ms). */
  abstract double responseTimeoutMs();

  /**
   * Parses a response with status 200.
   *
   * @return the complete list; empty where nothing has changed
   * @throws IOException where it cannot be understood; the request is sent again
   */
  abstract Optional<List<DiscoveredEndpoint>> parse(FullHttpResponse response) throws IOException;

  /** How long to wait before the next request (ms). */
  abstract double pauseMs();

  /** The last response was not used: the next request must not refer to it. */
  abstract void forgetLastResponse();

  @Override
  public final void start() {
    request();
  }

  @Override
  public final void resync() {
    forgetLastResponse();
    lastList = null;
    if (channel != null) {
      Channel old = channel;
      channel = null;
      isAwaitingResponse = false;
      old.close();
      request();
    }
  }

  @Override
  public final void retire(double graceMs) {
    isRetired = true;
    if (channel != null) {
      channel.close();
    } else if (openConnections == 0) {
      listener.sourceClosed(sourceId);
    }
  }

  // ---- requests ----

  private void request() {
    if (isRetired || isAwaitingResponse || isConnecting) {
      return;
    }
    if (channel == null) {
      connect();
      return;
    }
    isAwaitingResponse = true;
    requestNumber++;
    FullHttpRequest request = nextRequest();
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
    channel.writeAndFlush(request);
    int number = requestNumber;
    loop.schedule(responseTimeoutMs(), () -> checkTimeout(number));
  }

  private void checkTimeout(int number) {
    if (isAwaitingResponse && requestNumber == number && channel != null) {
      loop.logLine(
          "discovery: no response from "
              + sourceId
              + " within "
              + Math.round(responseTimeoutMs())
              + " ms");
      channel.close();
    }
  }

  /** Sends the next request after a time; one that was scheduled before is dropped. */
  private void requestAfter(double delayMs) {
    if (nextRequest != null) {
      nextRequest.cancel(false);
    }
    nextRequest = loop.schedule(delayMs, this::request);
  }

  private void connect() {
    openConnections++;
    isConnecting = true;
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel newChannel) {
                newChannel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_LIST_BYTES),
                        new ResponseHandler());
              }
            })
        .connect(loop.transport().toSocketAddress(address))
        .addListener(
            result -> {
              isConnecting = false;
              if (!result.isSuccess()) {
                openConnections--;
                failed(Transport.isRefused(result.cause()));
              }
            });
  }

  private void failed(boolean isRefused) {
    isAwaitingResponse = false;
    if (isRetired) {
      reportIfClosed();
      return;
    }
    forgetLastResponse();
    listener.requestFailed(sourceId, isRefused);
    requestAfter(backoff.nextDelayMs());
  }

  private void reportIfClosed() {
    if (openConnections == 0) {
      listener.sourceClosed(sourceId);
    }
  }

  // ---- responses ----

  private void report(List<DiscoveredEndpoint> list) {
    if (list.equals(lastList)) {
      listener.sourceConfirmed(sourceId);
      return;
    }
    lastList = list;
    version++;
    listener.endpointsReceived(sourceId, version, true, list);
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private boolean isErrorLogged;
    private boolean isCounted = true;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (isRetired) {
        ctx.close();
        return;
      }
      channel = ctx.channel();
      isConnecting = false; // the listener of the connect is notified after this
      request();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response)
        throws IOException {
      if (!isAwaitingResponse || response.decoderResult().isFailure()) {
        throw new IOException("not an HTTP response");
      }
      if (response.status().code() != 200) {
        throw new IOException("status " + response.status().code());
      }
      Optional<List<DiscoveredEndpoint>> list = parse(response);
      isAwaitingResponse = false;
      backoff.reset();
      if (list.isPresent()) {
        report(list.get());
      } else {
        listener.sourceConfirmed(sourceId);
      }
      if (response.headers().contains(HttpHeaderNames.CONNECTION, "close", true)) {
        channel = null;
        ctx.close();
      }
      requestAfter(pauseMs());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      loop.flushPending();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      openConnections -= isCounted ? 1 : 0;
      isCounted = false;
      if (ctx.channel() == channel) {
        channel = null;
        if (isAwaitingResponse || isRetired) {
          failed(false);
        } // else it was idle: the next request opens another
      } else if (isRetired) {
        reportIfClosed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!isErrorLogged && !(cause instanceof SocketException)) {
        isErrorLogged = true;
        String firstLine = String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
        loop.logLine("discovery: rejected a response from " + sourceId + ": " + firstLine);
      }
      ctx.close();
    }
  }

  /** A copy of the readable bytes. */
  static byte[] copyOf(ByteBuf content) {
    byte[] bytes = new byte[content.readableBytes()];
    content.getBytes(content.readerIndex(), bytes);
    return bytes;
  }

  /** A host and a port as an address; an IPv6 host gets brackets. */
  static String addressOf(String host, int port) {
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
  }
}
