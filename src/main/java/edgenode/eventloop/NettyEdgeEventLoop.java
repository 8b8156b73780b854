package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An {@link EdgeEventLoop} on one of Netty's event loops. Clock, event loop and log are arguments,
 * as a simulation has its own. Netty's ticker, which drives the timers, and the clock must advance
 * together.
 */
public final class NettyEdgeEventLoop implements EdgeEventLoop {
  /** Later lines are dropped: a flood of them would cost CPU and disk. */
  private static final int MAX_LOG_LINES = 200;

  private static final double NANOS_PER_MS = 1e6;

  private final EventLoopGroup group;
  private final Transport transport;
  private final Clock clock;
  private final Consumer<String> log;

  /** Null where the group's passes are not noted. */
  private final IoPassTimes passTimes;

  private final Set<Channel> unflushedChannels = new LinkedHashSet<>();
  private final QueueingDelayEstimator queueingDelay = new QueueingDelayEstimator();
  private int loggedLines;

  /**
   * Creates a loop on the given parts.
   *
   * @param group one event loop with one thread
   * @param log receives each line, on the loop's thread
   */
  public NettyEdgeEventLoop(
      EventLoopGroup group, Transport transport, Clock clock, Consumer<String> log) {
    this(group, transport, clock, log, null);
  }

  private NettyEdgeEventLoop(
      EventLoopGroup group,
      Transport transport,
      Clock clock,
      Consumer<String> log,
      IoPassTimes passTimes) {
    this.passTimes = passTimes;
    this.group = group;
    this.transport = transport;
    this.clock = clock;
    this.log = log;
  }

  /** A new loop with a thread of its own, sockets, the system's clock and standard error as log. */
  public static NettyEdgeEventLoop create() {
    Clock clock = Clock.system();
    IoPassTimes passTimes = new IoPassTimes(Transport.newIoHandlerFactory(), clock);
    return new NettyEdgeEventLoop(
        new MultiThreadIoEventLoopGroup(1, passTimes),
        Transport.SOCKETS,
        clock,
        System.err::println,
        passTimes);
  }

  @Override
  public double handledUntilMs() {
    return passTimes == null ? Double.NEGATIVE_INFINITY : passTimes.handledUntilMs();
  }

  @Override
  public double nowMs() {
    return clock.nowMs();
  }

  @Override
  public double queueingDelayMs() {
    return queueingDelay.estimateMs(clock.nowMs());
  }

  @Override
  public Future<?> schedule(double delayMs, Runnable task) {
    long nanos = Math.max(0, Math.round(delayMs * NANOS_PER_MS));
    double dueMs = clock.nowMs() + nanos / NANOS_PER_MS;
    return group.schedule(
        () -> {
          double nowMs = clock.nowMs();
          queueingDelay.sample(nowMs, nowMs - dueMs);
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
