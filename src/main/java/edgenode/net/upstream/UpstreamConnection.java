package edgenode.net.upstream;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.LongValueDecoder;
import edgenode.net.resp.PartialMessageBudget;
import edgenode.net.resp.RespCodec;
import edgenode.policy.CallOutcome;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * One connection to an endpoint, with one attempt at a time: responses come in order, so a slow one
 * would delay those behind it. It is reused only after a complete response with nothing behind it;
 * in any other case it is closed, as what comes next could be taken for another request's response.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_ARRAY_ELEMENTS = 16;

  /**
   * A response of which a part has come is given up where nothing more comes for this time (ms): an
   * endpoint may stand still for nearly half a second, and may write a response slowly.
   */
  private static final double PARTIAL_RESPONSE_STALL_TIMEOUT_MS = 500;

  /**
   * Delay between a response and the next request: a faulty endpoint's second response may come
   * some milliseconds after the first, and would be taken for the next request's.
   */
  static final double REUSE_DELAY_MS = 10;

  private final UpstreamConnectionPool pool;
  private final EdgeEventLoop eventLoop;
  private final ResponseReader responseReader;
  private final EndpointConnections endpoint;
  private Channel channel;
  private RespCodec.UndecodedByteCounter undecodedBytes;
  private final PartialMessageBudget.Share partialResponse;

  /** The attempt whose response is awaited, or null. */
  private UpstreamAttempt currentAttempt;

  /** The last long value on this connection, or null. */
  private LongValueTransfer transfer;

  /** Whether the current attempt's last byte has been written. */
  private boolean isWritten;

  /** Whether a response was read since the last {@link #channelReadComplete}. */
  private boolean hasResponded;

  private boolean isPartialResponseTimerSet;

  /** When the last bytes of a partial response came (ms); valid while the timer is set. */
  private double partialResponseAtMs;

  private double lastUsedMs;

  UpstreamConnection(
      UpstreamConnectionPool pool,
      EdgeEventLoop eventLoop,
      ResponseReader responseReader,
      EndpointConnections endpoint) {
    this.pool = pool;
    this.eventLoop = eventLoop;
    this.responseReader = responseReader;
    this.endpoint = endpoint;
    partialResponse = pool.partialResponses().newShare();
  }

  /** Adds the codec and this handler to a new channel's pipeline. */
  void attachTo(Channel newChannel) {
    channel = newChannel;
    undecodedBytes = RespCodec.addResponseCodec(newChannel.pipeline(), MAX_ARRAY_ELEMENTS);
    newChannel.pipeline().addLast(this);
  }

  // ---- called by the pool ----

  /** Makes a new connection available without the delay before reuse. */
  void established() {
    release();
    lastUsedMs -= REUSE_DELAY_MS; // no response has been read on it
  }

  boolean isReusable(double nowMs) {
    return nowMs - lastUsedMs >= REUSE_DELAY_MS && channel.isActive() && !mayHoldResponse();
  }

  /**
   * Whether a second response may lie unread, as the event loop has not looked since. The system is
   * asked only where a pass of the loop has not shown it.
   */
  private boolean mayHoldResponse() {
    return eventLoop.handledUntilMs() < lastUsedMs + REUSE_DELAY_MS
        && eventLoop.transport().hasUnreadBytes(channel, undecodedBytes.receivedBytes());
  }

  double lastUsedMs() {
    return lastUsedMs;
  }

  /** Whether the current attempt's last byte has been written. */
  boolean isWritten() {
    return isWritten;
  }

  void close() {
    channel.close();
  }

  /** Gives the current attempt up: its response may still come, so the connection is closed. */
  void abandonAttempt() {
    currentAttempt = null;
    channel.close();
  }

  void write(UpstreamAttempt attempt) {
    currentAttempt = attempt;
    attempt.assignTo(this);
    isWritten = false;
    isPartialResponseTimerSet = false;
    ArrayRedisMessage command =
        attempt.isHealthCheck()
            ? RespCodec.command(channel.alloc(), "INFO", "load")
            : attempt.request().command(eventLoop.nowMs(), channel.alloc());
    channel
        .write(command)
        .addListener(
            result -> {
              if (result.isSuccess() && !attempt.isHealthCheck()) {
                attempt.markWritten();
                attempt.request().attemptWritten(attempt);
              }
              if (currentAttempt == attempt) {
                isWritten = result.isSuccess();
              }
            });
    eventLoop.flushLater(channel);
  }

  /** Makes the connection available again, after {@link #REUSE_DELAY_MS}. */
  private void release() {
    lastUsedMs = eventLoop.nowMs();
    if (endpoint.isUp) {
      endpoint.idle.addLast(this);
      if (!endpoint.queuedAttempts.isEmpty()) {
        eventLoop.schedule(REUSE_DELAY_MS, () -> pool.dispatchQueued(endpoint));
      }
    } else {
      channel.close();
    }
  }

  // ---- events of the channel ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (msg instanceof LongValueDecoder.ValueStart start) {
      startTransfer(start);
    } else if (msg instanceof LongValueDecoder.ValueChunk chunk) {
      if (transfer != null) {
        transfer.append(chunk.bytes());
      } else {
        chunk.bytes().release(); // the connection is about to be closed
      }
    } else if (isTransferring()) {
      completeTransfer((RedisMessage) msg);
    } else {
      readResponse((RedisMessage) msg);
    }
  }

  private void readResponse(RedisMessage message) {
    try {
      undecodedBytes.messageDecoded(message);
      UpstreamAttempt attempt = currentAttempt;
      currentAttempt = null;
      if (attempt == null || !isWritten || !responseReader.read(attempt, message)) {
        failUnexpected(attempt);
        return;
      }
      hasResponded = true;
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void startTransfer(LongValueDecoder.ValueStart start) {
    UpstreamAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (attempt == null || attempt.isEnded() || !isWritten || attempt.isHealthCheck()) {
      failUnexpected(attempt);
      return;
    }
    attempt.markEnded();
    pool.endpointResponded(endpoint);
    LongValueTransfer started = new LongValueTransfer(eventLoop, channel);
    transfer = started;
    if (!started.start(attempt, start.lengthBytes())) {
      channel.close();
    }
  }

  /** Closes the connection: the message answers nothing that was sent on it. */
  private void failUnexpected(UpstreamAttempt attempt) {
    channel.close();
    if (attempt != null) { // after the close: a listener may send the next attempt at once
      pool.end(attempt, CallOutcome.ERROR);
    }
  }

  private boolean isTransferring() {
    return transfer != null && transfer.isActive();
  }

  /** Whatever the elements behind a long value say, the value is complete. */
  private void completeTransfer(RedisMessage message) {
    undecodedBytes.messageDecoded(message);
    ReferenceCountUtil.release(message);
    hasResponded = true;
    transfer.complete();
  }

  private void abortTransfer() {
    if (transfer != null) {
      transfer.abort();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (isTransferring()) {
      eventLoop.flushPending();
      return;
    }
    boolean hasUndecodedBytes = undecodedBytes.pendingBytes() != 0;
    boolean isWithinBudget = partialResponse.update(undecodedBytes.pendingBytes());
    if (currentAttempt == null && hasUndecodedBytes) {
      channel.close();
    } else if (!isWithinBudget) {
      failMalformed(currentAttempt);
    } else if (hasResponded) {
      release();
    } else if (currentAttempt != null && hasUndecodedBytes) {
      partialResponseReceived();
    }
    hasResponded = false;
    eventLoop.flushPending();
  }

  private void partialResponseReceived() {
    partialResponseAtMs = eventLoop.nowMs();
    if (!isPartialResponseTimerSet) {
      isPartialResponseTimerSet = true;
      UpstreamAttempt attempt = currentAttempt;
      eventLoop.schedule(
          PARTIAL_RESPONSE_STALL_TIMEOUT_MS, () -> failIfPartialResponseStalled(attempt));
    }
  }

  private void failIfPartialResponseStalled(UpstreamAttempt attempt) {
    double remainingMs =
        partialResponseAtMs + PARTIAL_RESPONSE_STALL_TIMEOUT_MS - eventLoop.nowMs();
    if (currentAttempt == attempt && remainingMs > 0) {
      eventLoop.schedule(remainingMs, () -> failIfPartialResponseStalled(attempt));
    } else {
      failMalformed(attempt);
    }
  }

  /** Does nothing where the attempt is not the current one any more. */
  private void failMalformed(UpstreamAttempt attempt) {
    if (currentAttempt == attempt) {
      currentAttempt = null;
      channel.close();
      pool.end(attempt, CallOutcome.ERROR);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.connectionClosed(this, endpoint);
    partialResponse.release();
    abortTransfer();
    UpstreamAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (attempt != null) {
      pool.end(attempt, isWritten ? CallOutcome.RESET : CallOutcome.NO_CONNECTION);
    }
    eventLoop.flushPending();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // After our own close the decoder only complains about the part of a message that it holds.
    boolean isInUse = currentAttempt != null || isTransferring() || channel.isActive();
    if (!(cause instanceof IOException) && isInUse) {
      eventLoop.logFailure("endpoint " + endpoint.id + " (" + endpoint.address + ")", cause);
      abortTransfer();
      if (currentAttempt != null) { // a fault of this response, not of the endpoint
        failMalformed(currentAttempt);
      }
    }
    channel.close();
  }
}
