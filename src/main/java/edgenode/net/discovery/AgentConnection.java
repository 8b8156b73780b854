package edgenode.net.discovery;

import com.fasterxml.jackson.core.JacksonException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;

/**
 * One HTTP/1.1 connection to the agent, with one request at a time. A response that is not a list
 * ends the connection; so does any error.
 */
abstract class AgentConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** A response counts as growing if bytes came within this time. */
  private static final double GROWING_MS = AgentSource.POLL_TIMEOUT_MS / 2;

  final AgentSession session;
  final AgentMessageBuffer buffer = new AgentMessageBuffer();
  private Channel channel;
  private int responseBytes;
  private int requestNumber;
  private boolean isAwaitingResponse;
  private boolean isStatusOk;
  private boolean isClosed;
  private double requestedAtMs;
  private double lastReadMs;
  private Future<?> timeout;

  AgentConnection(AgentSession session) {
    this.session = session;
  }

  // ---- what differs between a poll and the watch ----

  /** Adds the codec, and this connection behind it. */
  abstract void addHandlers(ChannelPipeline pipeline);

  /** The connection is established: the first request follows. */
  abstract void established();

  /** Writes the next request. */
  abstract void writeRequest(Channel target);

  /** Whether the response is a stream of changes, which has no end and no timeout. */
  abstract boolean isStreaming();

  /** The head of a response with status 200 arrived. */
  abstract void responseStarted();

  /** Bytes of a streaming response arrived. */
  abstract void streamed(ChannelHandlerContext ctx, ByteBuf in) throws IOException;

  /** A complete list of so many bytes is in the buffer. */
  abstract void listReceived(ChannelHandlerContext ctx, int length) throws IOException;

  /** The response did not arrive in time, and nothing of it arrives now. */
  abstract void timedOut();

  /** The connect failed. */
  abstract void connectFailed(boolean isRefused);

  /** The connection was closed by either side. */
  abstract void disconnected();

  // ---- state ----

  final boolean isEstablished() {
    return channel != null;
  }

  final boolean isAwaitingResponse() {
    return isAwaitingResponse;
  }

  final boolean isClosed() {
    return isClosed;
  }

  final void markClosed() {
    isClosed = true;
  }

  final boolean hasResponseBytes() {
    return responseBytes > 0;
  }

  /** When the last bytes came, or the last request was sent (ms). */
  final double lastReadMs() {
    return lastReadMs;
  }

  /** Bytes of the response were read ahead of the codec. */
  final void readAhead(int bytes) {
    responseBytes += bytes;
    lastReadMs = session.loop.nowMs();
  }

  /** The response has ended. */
  final void responseEnded() {
    isAwaitingResponse = false;
  }

  /** Whether its response has begun and still comes. */
  final boolean isGrowing() {
    double nowMs = session.loop.nowMs();
    return isAwaitingResponse
        && !isClosed
        && responseBytes > 0
        && nowMs - lastReadMs < GROWING_MS
        && nowMs - requestedAtMs < session.slowResponseMs();
  }

  // ---- requests ----

  @Override
  public final void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    if (session.isRetired() || isClosed) {
      ctx.close();
      return;
    }
    established();
    request();
  }

  /** Sends the next request. */
  final void request() {
    isAwaitingResponse = true;
    requestNumber++;
    buffer.clear();
    responseBytes = 0;
    requestedAtMs = session.loop.nowMs();
    lastReadMs = requestedAtMs;
    writeRequest(channel);
    if (!isStreaming()) {
      cancelTimeout();
      int number = requestNumber;
      timeout = session.loop.schedule(AgentSource.POLL_TIMEOUT_MS, () -> checkTimeout(number));
    }
  }

  /** A timer that is left to fire would wake the event loop for nothing. */
  final void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  private void checkTimeout(int number) {
    if (requestNumber != number || !isAwaitingResponse || isClosed || session.isRetired()) {
      return;
    }
    if (isGrowing()) {
      timeout = session.loop.schedule(GROWING_MS, () -> checkTimeout(number));
      return;
    }
    if (session.loop.nowMs() - requestedAtMs >= session.slowResponseMs()) {
      session.allowSlowerResponses();
    }
    timedOut();
  }

  void close() {
    isClosed = true;
    if (channel != null) {
      channel.close();
    }
  }

  // ---- responses ----

  @Override
  protected final void channelRead0(ChannelHandlerContext ctx, HttpObject message)
      throws IOException {
    lastReadMs = session.loop.nowMs();
    if (message.decoderResult().isFailure()) {
      if (message.decoderResult().cause() instanceof PrematureChannelClosureException) {
        ctx.close();
        return;
      }
      throw new MalformedListException("not HTTP: " + message.decoderResult().cause().getMessage());
    }
    if (message instanceof HttpResponse response) {
      isStatusOk = response.status().code() == 200;
      if (!isStatusOk) { // its body may never end
        ctx.close();
        return;
      }
      responseStarted();
    }
    if (message instanceof HttpContent content && isStatusOk) {
      receive(ctx, content.content());
    }
    if (message instanceof LastHttpContent) {
      endResponse(ctx);
    }
  }

  private void receive(ChannelHandlerContext ctx, ByteBuf in) throws IOException {
    responseBytes += in.readableBytes();
    if (isStreaming()) {
      streamed(ctx, in);
    } else {
      append(ctx, in, in.readableBytes());
    }
  }

  /** Adds bytes to the message; one that is too long ends the connection. */
  final void append(ChannelHandlerContext ctx, ByteBuf in, int length) {
    if (!buffer.append(in, length)) {
      session.log(
          "rejected a list of more than "
              + AgentMessageBuffer.MAX_BYTES
              + " bytes from "
              + session.sourceId);
      in.skipBytes(in.readableBytes());
      isClosed = true;
      ctx.close();
    }
  }

  private void endResponse(ChannelHandlerContext ctx) throws IOException {
    if (!isStatusOk || isStreaming() || isClosed || !isAwaitingResponse) {
      ctx.close(); // a watch that has ended, or a response without a request
      return;
    }
    responseEnded();
    int length = buffer.endMessage();
    session.setListBytes(length);
    if (buffer.isBlank(length)) {
      ctx.close();
      return;
    }
    listReceived(ctx, length);
  }

  /** An endpoint of a list cannot be used. */
  final void reportSkipped(String reason) {
    session.log("skipped an endpoint from " + session.sourceId + ": " + reason);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    session.loop.flushPending();
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    isClosed = true;
    session.connectionClosed();
    disconnected();
    session.reportIfClosed();
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof JacksonException || cause instanceof MalformedListException) {
      session.log(
          "rejected a response from " + session.sourceId + ": " + firstLine(cause.getMessage()));
    } else if (!(cause instanceof IOException)) {
      session.loop.logFailure("discovery", cause);
    }
    ctx.close();
  }

  private static String firstLine(String text) {
    String all = String.valueOf(text);
    int end = all.indexOf('\n');
    return end < 0 ? all : all.substring(0, end);
  }
}
