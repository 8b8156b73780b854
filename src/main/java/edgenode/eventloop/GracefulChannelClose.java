package edgenode.eventloop;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.util.function.DoubleSupplier;

/**
 * Closes a connection without cutting off what was written on it: first our side, and all of it
 * once the peer's system has received everything and had some time to close its own. A close over
 * unread bytes resets the connection, which drops what the kernel still holds (RFC 1122, 4.2.2.13).
 * A peer that takes nothing for too long is disconnected. On the event loop only.
 */
public final class GracefulChannelClose {
  /** Time (ms) by which the first check is later than the end of our side at the soonest. */
  private static final double CHECK_DELAY_MS = 1;

  private final EdgeEventLoop loop;
  private final Channel channel;
  private final double lingerMs;
  private final DoubleSupplier stallTimeoutMs;
  private final DeliveryProgress progress;

  /** When our side was closed (ms), or infinity. */
  private double outputEndedAtMs = Double.POSITIVE_INFINITY;

  private GracefulChannelClose(
      EdgeEventLoop loop, Channel channel, double lingerMs, DoubleSupplier stallTimeoutMs) {
    this.loop = loop;
    this.channel = channel;
    this.lingerMs = lingerMs;
    this.stallTimeoutMs = stallTimeoutMs;
    progress = new DeliveryProgress(loop, channel);
  }

  /**
   * Begins to close a connection on which nothing more will be written.
   *
   * @param lingerMs time (ms) for the peer to close its side
   * @param stallTimeoutMs time (ms) after which a peer that takes nothing is disconnected; asked at
   *     each check, as it may change
   */
  public static void start(
      EdgeEventLoop loop, Channel channel, double lingerMs, DoubleSupplier stallTimeoutMs) {
    GracefulChannelClose close = new GracefulChannelClose(loop, channel, lingerMs, stallTimeoutMs);
    // Behind all that is written: closing the output drops what a slow reader has not got yet.
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(close::endOutput);
    loop.schedule(lingerMs + CHECK_DELAY_MS, close::closeUnlessUndelivered);
  }

  private void endOutput(Future<? super Void> written) {
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
    outputEndedAtMs = loop.nowMs();
  }

  private void closeUnlessUndelivered() {
    if (!channel.isActive()) {
      return;
    }
    boolean hasLingered = loop.nowMs() >= outputEndedAtMs + lingerMs;
    if (hasLingered && loop.transport().deliveryOf(channel).isComplete()
        || progress.stalledMs() > stallTimeoutMs.getAsDouble()) {
      channel.close();
    } else {
      loop.schedule(lingerMs, this::closeUnlessUndelivered);
    }
  }
}
