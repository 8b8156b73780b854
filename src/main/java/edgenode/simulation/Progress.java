package edgenode.simulation;

import java.io.PrintStream;
import java.util.Locale;
import java.util.function.DoubleConsumer;
import java.util.function.LongSupplier;

/**
 * How far a day in virtual time has gone, as a line each second of real time, from a thread of its
 * own: a day that stands still is told as well. It only reads a figure that the day leaves here.
 */
final class Progress implements DoubleConsumer, AutoCloseable {
  private static final long EVERY_MS = 1000;

  private final PrintStream to;
  private final String what;
  private final double lengthMs;
  private final LongSupplier nanos;
  private final long from;
  private final Thread teller = new Thread(this::tell, "progress");
  private volatile double reached;

  /**
   * @param nanos real time; a test gives its own
   */
  Progress(PrintStream to, String what, double lengthMs, LongSupplier nanos) {
    this.to = to;
    this.what = what;
    this.lengthMs = lengthMs;
    this.nanos = nanos;
    from = nanos.getAsLong();
    teller.setDaemon(true); // Ctrl-C ends all
  }

  Progress start() {
    teller.start();
    return this;
  }

  @Override
  public void accept(double ms) {
    reached = ms;
  }

  /** The day's own time, its length, and how many times as fast as real time that was so far. */
  String line() {
    double took = (nanos.getAsLong() - from) / 1e6;
    double at = reached;
    return at <= 0
        ? String.format(Locale.ROOT, "%s: coming up, after %.0f s", what, took / 1000)
        : String.format(
            Locale.ROOT,
            "%s: at %.1f of %.1f s after %.0f s, %.2f times as fast as real time",
            what,
            at / 1000,
            lengthMs / 1000,
            took / 1000,
            at / Math.max(1, took));
  }

  private void tell() {
    try {
      while (true) {
        Thread.sleep(EVERY_MS);
        to.println(line());
      }
    } catch (InterruptedException e) {
      // the day is over
    }
  }

  /** Nothing more is told once this has returned. */
  @Override
  public void close() {
    teller.interrupt();
    try {
      teller.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
