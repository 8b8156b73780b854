package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Tells a peer that reads slowly from one that has stopped to. The acknowledged bytes count, too:
 * the kernel reports a socket as writable only when a large part of its buffer is free, which takes
 * a slow peer many seconds. On the event loop only.
 */
public final class DeliveryProgress {
  private final EdgeEventLoop loop;
  private final Channel channel;
  private long lastUnwrittenBytes;
  private long lastAcknowledgedBytes;
  private double lastProgressMs;

  /** Starts to watch a connection, which counts as progress. */
  public DeliveryProgress(EdgeEventLoop loop, Channel channel) {
    this.loop = loop;
    this.channel = channel;
    lastProgressMs = loop.nowMs();
  }

  /** Bytes that were written on a channel and that the kernel has not taken. */
  public static long unwrittenBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /**
   * Nothing is undelivered: the time without progress begins anew.
   *
   * @param nowMs the loop's clock (ms)
   */
  public void reset(double nowMs) {
    lastProgressMs = nowMs;
  }

  /** For how long (ms) the peer has taken nothing, seen from the calls of this method. */
  public double stalledMs() {
    long unwrittenBytes = unwrittenBytes(channel);
    long acknowledgedBytes = loop.transport().deliveryOf(channel).acknowledgedBytes();
    if (unwrittenBytes < lastUnwrittenBytes || acknowledgedBytes > lastAcknowledgedBytes) {
      lastProgressMs = loop.nowMs();
    }
    lastUnwrittenBytes = unwrittenBytes;
    lastAcknowledgedBytes = acknowledgedBytes;
    return loop.nowMs() - lastProgressMs;
  }
}
