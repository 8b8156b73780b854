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
final class CpuMeter {
  /** Of a point's time this part is for warming up. */
  private static final double WARM_UP_SHARE = 0.4;

  private static final int REPEATS = 7;

  /** Once a point has taken so many times its time, it has to do with this many repeats. */
  private static final double MAX_POINT_FACTOR = 4;

  private static final int MIN_REPEATS = 3;
  private static final int HEAP_REPEATS = 3;
  private static final int COLLECTIONS = 3;

  /** What is measured. */
  interface Work {
    /** Prepares for the next run; not measured. */
    default void prepare() {}

    void run(int times);

    /** The most times of one run. */
    default int maxTimes() {
      return 20_000;
    }
  }

  /** A value at a size, where there is more to measure than the time of a call. */
  interface Value {
    double get() throws Exception;
  }

  private final LongSupplier cpuNanos;
  private final long pointNanos;

  /**
   * @param cpuNanos nanoseconds of CPU that this thread has used
   * @param pointMs about how long one point may take
   */
  CpuMeter(LongSupplier cpuNanos, double pointMs) {
    this.cpuNanos = cpuNanos;
    this.pointNanos = (long) (pointMs * 1e6);
  }

  /** By this thread's CPU time. */
  static CpuMeter real(double pointMs) {
    return new CpuMeter(ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime, pointMs);
  }

  /** CPU time of one call, microseconds. */
  CostCurve.Measurement time(double size, Work work) {
    long startNs = cpuNanos.getAsLong();
    double warmUpNanos = pointNanos * WARM_UP_SHARE;
    int times = 1;
    long tookNanos;
    long spentNanos = 0;
    do {
      tookNanos = runOnce(work, times);
      spentNanos += Math.max(1, tookNanos);
      if (tookNanos < warmUpNanos / 8 && 2 * times <= work.maxTimes()) {
        times *= 2;
      }
    } while (spentNanos < warmUpNanos);
    double nanosEach = (double) Math.max(1, tookNanos) / times;
    times =
        (int)
            Math.max(
                1,
                Math.min(work.maxTimes(), pointNanos * (1 - WARM_UP_SHARE) / REPEATS / nanosEach));
    double[] microsEach = new double[REPEATS];
    int done = 0;
    while (done < MIN_REPEATS
        || done < REPEATS && cpuNanos.getAsLong() - startNs < MAX_POINT_FACTOR * pointNanos) {
      microsEach[done++] = runOnce(work, times) / 1000.0 / times;
    }
    return point(size, Arrays.copyOf(microsEach, done));
  }

  private long runOnce(Work work, int times) {
    work.prepare();
    long startNs = cpuNanos.getAsLong();
    work.run(times);
    return cpuNanos.getAsLong() - startNs;
  }

  /** The same value so many times over. */
  static CostCurve.Measurement value(double size, int repeats, Value value) throws Exception {
    double[] values = new double[repeats];
    for (int i = 0; i < repeats; i++) {
      values[i] = value.get();
    }
    return point(size, values);
  }

  static CostCurve.Measurement point(double size, double[] values) {
    Arrays.sort(values);
    int count = values.length;
    return new CostCurve.Measurement(
        size,
        (values[(count - 1) / 2] + values[count / 2]) / 2,
        values[0],
        values[count - 1],
        count);
  }

  /**
   * Bytes on the heap that what is made keeps, beside what it is made of. The first time does not
   * count: it has the classes, and what was measured before may end in it.
   */
  static <T> CostCurve.Measurement heap(double size, Supplier<T> source, Function<T, Object> make)
      throws InterruptedException {
    double[] values = new double[HEAP_REPEATS];
    for (int i = -1; i < HEAP_REPEATS; i++) {
      int at = Math.max(0, i); // in a thread each: no stack keeps what was made before
      Thread thread = new Thread(() -> values[at] = retainedBytes(source.get(), make), "heap");
      thread.start();
      thread.join();
    }
    return point(size, values);
  }

  private static <T> long retainedBytes(T source, Function<T, Object> make) {
    long before = usedHeapBytes();
    Object made = make.apply(source);
    long bytes = usedHeapBytes() - before;
    Reference.reachabilityFence(made);
    Reference.reachabilityFence(source);
    return bytes;
  }

  /** Bytes on the heap after the collector's work. */
  static long usedHeapBytes() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    for (int i = 0; i < COLLECTIONS; i++) {
      memory.gc();
    }
    return memory.getHeapMemoryUsage().getUsed();
  }
}
