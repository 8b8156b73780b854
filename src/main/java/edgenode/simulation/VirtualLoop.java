package edgenode.simulation;

import edgenode.eventloop.Clock;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * An event loop in virtual time: nothing happens between two timers, so time jumps from one to the
 * next. Belongs to the thread that made it, which drives it by {@link #runUntil}; all that lives on
 * it runs there, in one order for one seed.
 */
final class VirtualLoop extends ManualIoEventLoop implements Clock {
  /**
   * Unix time (ms) at which each virtual day begins: counter names are cut by time, so it is part
   * of a run.
   */
  static final double START = 1_700_000_000_000.0;

  /**
   * Tasks and looks at the clock that one moment may have before it is taken for one that never
   * ends.
   */
  private static final int ENDLESS = 10_000_000;

  /**
   * The event loop looks at its clock after each task only where it has a limit; this one is never
   * reached.
   */
  private static final long NO_LIMIT = TimeUnit.DAYS.toNanos(1);

  /**
   * A clock that counts how often it is looked at before it moves. Tasks that leave a new one
   * behind are all run by one call of the event loop, which does not return while there is another:
   * so the clock has to stop it.
   */
  private static final class WatchedTicker implements Ticker {
    private final MockTicker ticker = Ticker.newMockTicker();
    private int looks;

    @Override
    public long initialNanoTime() {
      return ticker.initialNanoTime();
    }

    @Override
    public long nanoTime() {
      if (++looks > ENDLESS) {
        throw new IllegalStateException(
            "time stands still at " + (ticker.nanoTime() - ticker.initialNanoTime()) / 1e6 + " ms");
      }
      return ticker.nanoTime();
    }

    @Override
    public void sleep(long delay, TimeUnit unit) throws InterruptedException {
      ticker.sleep(delay, unit);
    }

    void advance(long nanos) {
      looks = nanos > 0 ? 0 : looks;
      ticker.advance(Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }
  }

  private final WatchedTicker ticker;
  private final DoubleConsumer moved;

  VirtualLoop() {
    this(ms -> {});
  }

  /**
   * @param moved hears the time (ms after {@link #START}) whenever it has moved
   */
  VirtualLoop(DoubleConsumer moved) {
    this(new WatchedTicker(), moved);
  }

  private VirtualLoop(WatchedTicker ticker, DoubleConsumer moved) {
    super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
    this.ticker = ticker;
    this.moved = moved;
  }

  @Override
  public double nowMs() {
    return START + (ticker.nanoTime() - ticker.initialNanoTime()) / 1e6;
  }

  /**
   * Runs all that is due until this time, ms after {@link #START}.
   *
   * @throws IllegalStateException where something runs again and again and time does not pass
   */
  void runUntil(double ms) {
    long end = ticker.initialNanoTime() + Math.round(ms * 1e6);
    while (true) {
      while (runNow(NO_LIMIT) > 0) {
        ticker.nanoTime(); // a moment of many short runs ends as well
      }
      long next = nextScheduledTaskDeadlineNanos();
      boolean last = next < 0 || next > end;
      ticker.advance((last ? end : next) - ticker.nanoTime());
      moved.accept(nowMs() - START);
      if (last) {
        return;
      }
    }
  }
}
