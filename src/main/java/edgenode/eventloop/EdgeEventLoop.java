package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;

/**
 * One thread with its clock, timers and connections. An exception in a task is logged and ends that
 * task only. All methods but {@link #execute} are to be called on the loop's thread.
 */
public interface EdgeEventLoop {
  /** Unix time in ms, with fractions, that never goes back. */
  double nowMs();

  /**
   * Estimate of how long the event that is handled now, bytes that were read or a timer, has waited
   * for the loop. 0 on a loop that is never busy, as in virtual time.
   */
  double queueingDelayMs();

  /**
   * Time (ms) by which all that had arrived on the loop's connections has been read; negative
   * infinity where that is not known.
   */
  default double handledUntilMs() {
    return Double.NEGATIVE_INFINITY;
  }

  /**
   * Runs a task on the loop after a delay.
   *
   * @return cancels the task
   */
  Future<?> schedule(double delayMs, Runnable task);

  /** Runs a task on the loop after the current one has returned; may be called on any thread. */
  void execute(Runnable task);

  /** Netty's event loop, with one thread. */
  EventLoopGroup group();

  /** The kinds of channel that this loop serves. */
  Transport transport();

  /** Has what was written on the channel flushed together with all others, after this task. */
  void flushLater(Channel channel);

  /** Flushes the channels of {@link #flushLater}. */
  void flushPending();

  /** Logs an unexpected failure in one line; the log may be limited in length. */
  void logFailure(String where, Throwable cause);

  /** Logs a line; the log may be limited in length. */
  void logLine(String line);
}
