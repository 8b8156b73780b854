package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;

/**
 * The event loop as those that live on it see it: one thread, one clock, and no exception that ends
 * it.
 */
public interface EdgeEventLoop {
  /** The clock: Unix time in ms that never goes back. */
  double nowMs();

  /**
   * For how long (ms) what is handled now may have waited for the loop: bytes that have just been
   * read, or a timer. 0 on a loop that is never busy, as in virtual time.
   */
  double queueingDelayMs();

  /** Runs on the loop after a delay (ms); what it throws is logged and ends there. */
  Future<?> schedule(double delayMs, Runnable task);

  /** Runs on the loop once what runs now has returned; may be called from any thread. */
  void execute(Runnable task);

  EventLoopGroup group();

  /** The kinds of channel that this loop serves. */
  Transport transport();

  /**
   * Something was written on this channel: it is flushed with all others when the round has ended.
   */
  void flushLater(Channel channel);

  /** Writes out what this round's events have left on connections. */
  void flushPending();

  /** An unexpected failure, for the log; so many at most. */
  void logFailure(String where, Throwable cause);

  /** A line for the log. */
  void logLine(String line);
}
