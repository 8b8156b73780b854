package edgenode.benchmark;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Measures work by the CPU time of the thread that does it, as wall time on a busy machine measures
 * the others. Each point is warmed up first, then repeated; the clock comes from outside, so that a
 * test may own it.
 */
final class Meter {
  /** Of a point's time this part is for warming up. */
  private static final double WARM = 0.4;

  private static final int REPEATS = 7;

  /** Once a point has taken so many times its time, it has to do with this many repeats. */
  private static final double PATIENCE = 4;

  private static final int LEAST_REPEATS = 3;
  private static final int HEAPS = 3;
  private static final int COLLECTIONS = 3;

  /** What is measured. */
  interface Work {
    /** Prepares for the next run; not measured. */
    default void prepare() {}

    void run(int times);

    /** The most times of one run. */
    default int most() {
      return 20_000;
    }
  }

  /** A value at a size, where there is more to measure than the time of a call. */
  interface Value {
    double get() throws Exception;
  }

  private final LongSupplier cpu;
  private final long pointNanos;

  /**
   * @param cpu nanoseconds of CPU that this thread has used
   * @param pointMs about how long one point may take
   */
  Meter(LongSupplier cpu, double pointMs) {
    this.cpu = cpu;
    this.pointNanos = (long) (pointMs * 1e6);
  }

  /** By this thread's CPU time. */
  static Meter real(double pointMs) {
    return new Meter(ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime, pointMs);
  }

  /** CPU time of one call, microseconds. */
  Slope.Point time(double size, Work work) {
    long begun = cpu.getAsLong();
    double warm = pointNanos * WARM;
    int times = 1;
    long took;
    long spent = 0;
    do {
      took = once(work, times);
      spent += Math.max(1, took);
      if (took < warm / 8 && 2 * times <= work.most()) {
        times *= 2;
      }
    } while (spent < warm);
    double each = (double) Math.max(1, took) / times;
    times = (int) Math.max(1, Math.min(work.most(), pointNanos * (1 - WARM) / REPEATS / each));
    double[] all = new double[REPEATS];
    int done = 0;
    while (done < LEAST_REPEATS
        || done < REPEATS && cpu.getAsLong() - begun < PATIENCE * pointNanos) {
      all[done++] = once(work, times) / 1000.0 / times;
    }
    return point(size, Arrays.copyOf(all, done));
  }

  private long once(Work work, int times) {
    work.prepare();
    long from = cpu.getAsLong();
    work.run(times);
    return cpu.getAsLong() - from;
  }

  /** The same value so many times over. */
  static Slope.Point value(double size, int repeats, Value value) throws Exception {
    double[] all = new double[repeats];
    for (int i = 0; i < repeats; i++) {
      all[i] = value.get();
    }
    return point(size, all);
  }

  static Slope.Point point(double size, double[] all) {
    Arrays.sort(all);
    int n = all.length;
    return new Slope.Point(size, (all[(n - 1) / 2] + all[n / 2]) / 2, all[0], all[n - 1], n);
  }

  /**
   * Bytes on the heap that what is made keeps, beside what it is made of. The first time does not
   * count: it has the classes, and what was measured before may end in it.
   */
  static <T> Slope.Point heap(double size, Supplier<T> of, Function<T, Object> make)
      throws InterruptedException {
    double[] all = new double[HEAPS];
    for (int i = -1; i < HEAPS; i++) {
      int at = Math.max(0, i); // in a thread each: no stack keeps what was made before
      Thread own = new Thread(() -> all[at] = kept(of.get(), make), "heap");
      own.start();
      own.join();
    }
    return point(size, all);
  }

  private static <T> long kept(T from, Function<T, Object> make) {
    long before = used();
    Object made = make.apply(from);
    long bytes = used() - before;
    Reference.reachabilityFence(made);
    Reference.reachabilityFence(from);
    return bytes;
  }

  /** Bytes on the heap after the collector's work. */
  static long used() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    for (int i = 0; i < COLLECTIONS; i++) {
      memory.gc();
    }
    return memory.getHeapMemoryUsage().getUsed();
  }
}
