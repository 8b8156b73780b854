package edgenode.node;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of requests that must not be sent to an endpoint again: those of open requests, which
 * endpoints could not tell apart, and for a while those that may have run and whose client left
 * before its response. A pure core: time (ms) is an argument. Each call costs O(1).
 */
final class RequestIds {
  /** Time (ms) for which an id is remembered whose client has left. */
  static final double RETENTION_MS = 30_000;

  /** Ids of left clients that are remembered at most, the latest ones. */
  static final int MAX_ABANDONED = 8192;

  private final Set<String> open = new HashSet<>();

  /** When each may be forgotten (ms), the earliest first. */
  private final Map<String, Double> abandoned = new LinkedHashMap<>();

  void opened(String id) {
    open.add(id);
  }

  /** The request has ended and nothing of it is in flight; its id may come again. */
  void closed(String id) {
    open.remove(id);
  }

  /** As {@link #closed}, but it may have run, and its client may send it once more. */
  void abandoned(String id, double nowMs) {
    open.remove(id);
    forgetExpired(nowMs);
    abandoned.remove(id);
    abandoned.put(id, nowMs + RETENTION_MS);
  }

  private void forgetExpired(double nowMs) {
    Iterator<Double> expiryTimes = abandoned.values().iterator();
    while (expiryTimes.hasNext()) {
      boolean isExpired = expiryTimes.next() <= nowMs;
      if (!isExpired && abandoned.size() < MAX_ABANDONED) {
        return;
      }
      expiryTimes.remove();
    }
  }

  boolean isOpen(String id) {
    return open.contains(id);
  }

  /** Whether a request of this id may have run whose client has left. */
  boolean mayHaveRun(String id, double nowMs) {
    Double untilMs = abandoned.isEmpty() ? null : abandoned.get(id);
    return untilMs != null && untilMs > nowMs;
  }

  /** Ids of left clients that are remembered. */
  int abandonedCount() {
    return abandoned.size();
  }
}
