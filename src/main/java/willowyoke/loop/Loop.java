package willowyoke.loop;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;

/** The event loop as those that live on it see it: one thread, one clock, and no exception that ends it. */
public interface Loop {
    /** The clock: Unix time in ms that never goes back. */
    double now();

    /** Runs on the loop after a delay (ms); what it throws is logged and ends there. */
    Future<?> after(double delay, Runnable what);

    EventLoopGroup group();

    /** Writes out what this round's events have left on connections. */
    void flush();

    /** An unexpected failure, for the log; so many at most. */
    void log(String where, Throwable what);

    /** A line for the log. */
    void say(String line);
}
