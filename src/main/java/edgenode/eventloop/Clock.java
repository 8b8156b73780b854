package edgenode.eventloop;

/** Unix time in ms, with fractions, that never goes back. */
public interface Clock {
  double now();

  /**
   * One monotonic clock, set once to Unix time: so it needs no translation between machines, and
   * does not jump.
   */
  static Clock system() {
    return new Monotonic();
  }

  /** {@link System#nanoTime} from an origin in Unix time. */
  final class Monotonic implements Clock {
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();

    private Monotonic() {}

    @Override
    public double now() {
      return startedMs + (System.nanoTime() - startedNanos) / 1e6;
    }
  }
}
