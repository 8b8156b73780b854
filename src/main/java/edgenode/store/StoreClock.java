package edgenode.store;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The latest time (ms since 1970) that the process or the log has seen. It never goes back, so that
 * an expired value stays expired when the machine's clock is set back. For all threads.
 */
final class StoreClock {
  private final AtomicLong latestMs;

  StoreClock(long nowMs) {
    latestMs = new AtomicLong(nowMs);
  }

  /** Takes note of a time; returns the latest one. */
  long advance(long timeMs) {
    long knownMs = latestMs.get();
    return timeMs > knownMs ? latestMs.accumulateAndGet(timeMs, Math::max) : knownMs;
  }

  long latestMs() {
    return latestMs.get();
  }
}
