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
public final class LoopThread implements Loop {
  /** The log tells so many lines; a flood would only cost. */
  private static final int LOGGED = 200;

  private final EventLoopGroup group;
  private final Transport transport;
  private final Clock clock;
  private final Consumer<String> log;
  private final Set<Channel> dirty = new LinkedHashSet<>();
  private final LoopDelay delay = new LoopDelay();
  private int logged;

  /**
   * @param group one event loop: nothing here is safe for two threads
   */
  public LoopThread(EventLoopGroup group, Transport transport, Clock clock, Consumer<String> log) {
    this.group = group;
    this.transport = transport;
    this.clock = clock;
    this.log = log;
  }

  /** A thread and sockets of this machine, its clock, and the standard error. */
  public static LoopThread real() {
    return new LoopThread(Transport.loop(), Transport.SOCKETS, Clock.system(), System.err::println);
  }

  @Override
  public double now() {
    return clock.now();
  }

  @Override
  public double delay() {
    return delay.estimate(clock.now());
  }

  @Override
  public Future<?> after(double wait, Runnable what) {
    long nanos = Math.max(0, Math.round(wait * 1e6));
    double due = clock.now() + nanos / 1e6;
    return group.schedule(
        () -> {
          double now = clock.now();
          delay.sample(now, now - due);
          guarded(what);
        },
        nanos,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void later(Runnable what) {
    group.execute(() -> guarded(what));
  }

  private void guarded(Runnable what) {
    try {
      what.run();
    } catch (RuntimeException | Error e) {
      log("event", e);
    }
    flush();
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
    dirty.add(channel);
  }

  @Override
  public void flush() {
    if (!dirty.isEmpty()) {
      Channel[] all = dirty.toArray(new Channel[0]);
      dirty.clear();
      for (Channel channel : all) {
        channel.flush();
      }
    }
  }

  @Override
  public void log(String where, Throwable what) {
    StackTraceElement[] at = what.getStackTrace();
    say(where + ": " + what + (at.length > 0 ? " at " + at[0] : ""));
  }

  @Override
  public void say(String line) {
    if (++logged <= LOGGED) {
      log.accept(line);
    }
  }
}
