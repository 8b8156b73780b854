package edgenode.net.upstream;

import edgenode.eventloop.EdgeEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;

/**
 * A value that is too long to be buffered, on its way from an endpoint's connection to its sink.
 * Aborted where the endpoint sends nothing for too long while it is read. While reading is off, the
 * sink is waiting for its client: whoever turned it off turns it on again, or cancels the transfer
 * once the client has stopped.
 */
final class LongValueTransfer implements ValueSource {
  /** No bytes from the endpoint for so long while reading is on: the value will not complete. */
  private static final double VALUE_STALL_TIMEOUT_MS = 15_000;

  private final EdgeEventLoop eventLoop;
  private final Channel channel;

  /** Null before the start and after the end. */
  private ValueSink sink;

  private boolean isOpen = true;
  private boolean isReading = true;
  private double lastProgressMs;
  private Future<?> stallTimer;

  LongValueTransfer(EdgeEventLoop eventLoop, Channel channel) {
    this.eventLoop = eventLoop;
    this.channel = channel;
    lastProgressMs = eventLoop.nowMs();
  }

  /**
   * Asks the attempt's request for a sink, which may call {@link #setReading} at once.
   *
   * @return false where nobody takes the value
   */
  boolean start(UpstreamAttempt attempt, int lengthBytes) {
    sink = attempt.request().valueStarted(attempt, lengthBytes, this);
    if (sink == null) {
      isOpen = false;
      return false;
    }
    stallTimer = eventLoop.schedule(VALUE_STALL_TIMEOUT_MS, this::checkProgress);
    return true;
  }

  boolean isActive() {
    return sink != null;
  }

  /** Passes the bytes on, or releases them where the transfer has ended. */
  void append(ByteBuf bytes) {
    lastProgressMs = eventLoop.nowMs();
    if (sink != null) {
      sink.onData(bytes);
    } else {
      bytes.release(); // the connection is about to be closed
    }
  }

  /** The response has been read to its end; to be called on an active transfer only. */
  void complete() {
    ValueSink endedSink = end();
    channel.config().setAutoRead(true);
    endedSink.onComplete();
  }

  /** Ends the transfer where it is active. */
  void abort() {
    ValueSink endedSink = end();
    if (endedSink != null) {
      endedSink.onAborted();
    }
  }

  @Override
  public void setReading(boolean isOn) {
    if (isOpen && isOn != isReading) {
      isReading = isOn;
      lastProgressMs = eventLoop.nowMs();
      channel.config().setAutoRead(isOn);
    }
  }

  @Override
  public void cancel() {
    if (end() != null) {
      channel.close();
    }
  }

  private ValueSink end() {
    ValueSink endedSink = sink;
    sink = null;
    isOpen = false;
    if (endedSink != null) {
      stallTimer.cancel(false);
    }
    return endedSink;
  }

  private void checkProgress() {
    double sinceMs = isReading ? lastProgressMs : eventLoop.nowMs();
    double remainingMs = sinceMs + VALUE_STALL_TIMEOUT_MS - eventLoop.nowMs();
    if (remainingMs <= 0) {
      abort();
      channel.close();
    } else {
      stallTimer = eventLoop.schedule(remainingMs, this::checkProgress);
    }
  }
}
