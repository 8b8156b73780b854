package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The loop on one of Netty's event loops. Clock, event loop and log come from outside, so that a
 * rehearsal may give its own. Timers run by the event loop's ticker: it and the clock must go
 * alike.
 */
public final class NettyEdgeEventLoop implements EdgeEventLoop {
  /** The log tells so many lines; a flood would only cost. */
  private static final int MAX_LOG_LINES = 200;

  private final EventLoopGroup group;
  private final Transport transport;
  private final Clock clock;
  private final Consumer<String> log;
  private final Set<Channel> unflushedChannels = new LinkedHashSet<>();
  private final QueueingDelayEstimator delay = new QueueingDelayEstimator();
  private int loggedLines;

  /**
   * @param group one event loop: nothing here is safe for two threads
   */
  public NettyEdgeEventLoop(
      EventLoopGroup group, Transport transport, Clock clock, Consumer<String> log) {
    this.group = group;
    this.transport = transport;
    this.clock = clock;
    this.log = log;
  }

  /** A thread and sockets of this machine, its clock, and the standard error. */
  public static NettyEdgeEventLoop create() {
    return new NettyEdgeEventLoop(
        Transport.newEventLoopGroup(), Transport.SOCKETS, Clock.system(), System.err::println);
  }

  @Override
  public double nowMs() {
    return clock.nowMs();
  }

  @Override
  public double queueingDelayMs() {
    return delay.estimateMs(clock.nowMs());
  }

  @Override
  public Future<?> schedule(double delayMs, Runnable task) {
    long nanos = Math.max(0, Math.round(delayMs * 1e6));
    double dueMs = clock.nowMs() + nanos / 1e6;
    return group.schedule(
        () -> {
          double nowMs = clock.nowMs();
          delay.sample(nowMs, nowMs - dueMs);
          runGuarded(task);
        },
        nanos,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void execute(Runnable task) {
    group.execute(() -> runGuarded(task));
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      logFailure("event", e);
    }
    flushPending();
  }

  @Override
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public Transport transport() {
    return transport;
  }

  @Override
  public void flushLater(Channel channel) {
    unflushedChannels.add(channel);
  }

  @Override
  public void flushPending() {
    if (!unflushedChannels.isEmpty()) {
      Channel[] channels = unflushedChannels.toArray(new Channel[0]);
      unflushedChannels.clear();
      for (Channel channel : channels) {
        channel.flush();
      }
    }
  }

  @Override
  public void logFailure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    logLine(where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  @Override
  public void logLine(String line) {
    if (++loggedLines <= MAX_LOG_LINES) {
      log.accept(line);
    }
  }
}
