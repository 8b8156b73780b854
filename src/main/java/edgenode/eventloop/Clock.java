package edgenode.eventloop;

/** Unix time in ms, with fractions, that never goes back. */
public interface Clock {
  double nowMs();

  /**
   * One monotonic clock, set once to Unix time: so it needs no translation between machines, and
   * does not jump.
   */
  static Clock system() {
    return new MonotonicClock();
  }

  /** {@link System#nanoTime} from an origin in Unix time. */
  final class MonotonicClock implements Clock {
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();

    private MonotonicClock() {}

    @Override
    public double nowMs() {
      return startedMs + (System.nanoTime() - startedNanos) / 1e6;
    }
  }
}
