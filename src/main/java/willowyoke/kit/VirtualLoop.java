package willowyoke.kit;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import willowyoke.loop.Clock;

/**
 * An event loop in virtual time: nothing happens between two timers, so time jumps from one to the next. Belongs to
 * the thread that made it, which drives it by {@link #runUntil}; all that lives on it runs there, in one order for
 * one seed.
 */
final class VirtualLoop extends ManualIoEventLoop implements Clock {
    /** Unix time (ms) at which each virtual day begins: counter names are cut by time, so it is part of a run. */
    static final double START = 1_700_000_000_000.0;
    /** Tasks that may run at one moment before it is taken for one that never ends. */
    private static final int ENDLESS = 10_000_000;

    private final MockTicker ticker;

    VirtualLoop() {
        this(Ticker.newMockTicker());
    }

    private VirtualLoop(MockTicker ticker) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
        this.ticker = ticker;
    }

    @Override public double now() {
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
            long moment = 0;
            for (int ran = runNow(); ran > 0; ran = runNow()) {
                moment += ran;
                if (moment > ENDLESS) {
                    throw new IllegalStateException("time stands still at " + now());
                }
            }
            long next = nextScheduledTaskDeadlineNanos();
            if (next < 0 || next > end) {
                ticker.advance(Math.max(0, end - ticker.nanoTime()), TimeUnit.NANOSECONDS);
                return;
            }
            ticker.advance(Math.max(0, next - ticker.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }
}
