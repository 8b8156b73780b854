package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** An event loop whose time passes only in {@link #advance}, on the test's thread. */
public final class ManualEventLoop implements EdgeEventLoop {
  private record Timer(double dueMs, long number, Runnable task, Promise<Void> promise) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingDouble(Timer::dueMs).thenComparing(Timer::number));
  private final Transport transport;
  private long lastTimerNumber;
  private double nowMs;

  /** The lines that were logged. */
  public final List<String> log = new ArrayList<>();

  /**
   * A loop at time 0.
   *
   * @param transport answers for the channels of the test
   */
  public ManualEventLoop(Transport transport) {
    this.transport = transport;
  }

  /** Lets this time (ms) pass, and runs what is due in its order. */
  public void advance(double durationMs) {
    double endMs = nowMs + durationMs;
    while (!timers.isEmpty() && timers.peek().dueMs() <= endMs) {
      Timer timer = timers.poll();
      nowMs = timer.dueMs();
      if (timer.promise().trySuccess(null)) {
        timer.task().run();
      }
    }
    nowMs = endMs;
  }

  @Override
  public double nowMs() {
    return nowMs;
  }

  @Override
  public double queueingDelayMs() {
    return 0;
  }

  @Override
  public Future<?> schedule(double delayMs, Runnable task) {
    Promise<Void> promise = ImmediateEventExecutor.INSTANCE.newPromise();
    timers.add(new Timer(nowMs + Math.max(0, delayMs), ++lastTimerNumber, task, promise));
    return promise;
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public EventLoopGroup group() {
    throw new UnsupportedOperationException("no channels of its own");
  }

  @Override
  public Transport transport() {
    return transport;
  }

  @Override
  public void flushLater(Channel channel) {
    execute(channel::flush);
  }

  @Override
  public void flushPending() {}

  @Override
  public void logFailure(String where, Throwable cause) {
    log.add(where + ": " + cause);
  }

  @Override
  public void logLine(String line) {
    log.add(line);
  }
}
