package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;

/**
 * The event loop as those that live on it see it: one thread, one clock, and no exception that ends
 * it.
 */
public interface Loop {
  /** The clock: Unix time in ms that never goes back. */
  double now();

  /**
   * For how long (ms) what is handled now may have waited for the loop: bytes that have just been
   * read, or a timer. 0 on a loop that is never busy, as in virtual time.
   */
  double delay();

  /** Runs on the loop after a delay (ms); what it throws is logged and ends there. */
  Future<?> after(double delay, Runnable what);

  /** Runs on the loop once what runs now has returned; may be called from any thread. */
  void later(Runnable what);

  EventLoopGroup group();

  /** The kinds of channel that this loop serves. */
  Transport transport();

  /**
   * Something was written on this channel: it is flushed with all others when the round has ended.
   */
  void flushLater(Channel channel);

  /** Writes out what this round's events have left on connections. */
  void flush();

  /** An unexpected failure, for the log; so many at most. */
  void log(String where, Throwable what);

  /** A line for the log. */
  void say(String line);
}
