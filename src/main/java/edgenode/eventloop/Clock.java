package edgenode.eventloop;

/** A clock that never goes back. */
public interface Clock {
  /** Unix time in ms, with fractions. */
  double nowMs();

  /**
   * A new monotonic clock, set to Unix time once: it does not jump, and the times of several
   * machines can be compared.
   */
  static Clock system() {
    return new MonotonicClock();
  }

  /** {@link System#nanoTime} from an origin in Unix time. */
  final class MonotonicClock implements Clock {
    private static final double NANOS_PER_MS = 1e6;

    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();

    private MonotonicClock() {}

    @Override
    public double nowMs() {
      return startedMs + (System.nanoTime() - startedNanos) / NANOS_PER_MS;
    }
  }
}
