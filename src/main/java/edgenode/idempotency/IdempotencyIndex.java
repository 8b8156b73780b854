package edgenode.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recognises a request that carries the idempotency key of one in flight or just completed, so that
 * it gets that one's final response instead of a second effect (compare the IETF draft "The
 * Idempotency-Key HTTP Header Field", section 2). No I/O and no clock: times (ms) are arguments and
 * never go back. Not thread-safe. Each call costs O(1), and O(n) where n duplicates wait.
 *
 * <p>The first request of a key is forwarded. While it is in flight, duplicates wait for its
 * response. A request that cannot have run leaves no trace, so that the next one of its key is a
 * first one; one that ran, or may have, is remembered for the retention time from its end on.
 * Cached responses are bounded by bytes and are evicted before their keys: a key without its
 * response still prevents a second effect.
 *
 * @param <A> a response
 */
public final class IdempotencyIndex<A> {
  /** What becomes of a request. */
  public enum Decision {
    /** The first of its key: it is forwarded, and its end must be reported to the index. */
    FIRST,
    /** One of its key is in flight: it waits for that one's response. */
    JOINED,
    /** One of its key has completed: it gets the cached response at once. */
    REPLAYED,
    /**
     * One of its key has completed, but its response is not cached: it was evicted, too long or
     * streamed.
     */
    RESPONSE_UNAVAILABLE,
    /** Its key belongs to a different request: it must not run. */
    KEY_CONFLICT,
    /** A limit is reached: nothing ran, and the client may retry. */
    REJECTED,
    /** A limit is reached: it is forwarded like one without a key; its end is not reported. */
    UNTRACKED
  }

  /**
   * The answer to a registration.
   *
   * @param response the cached response where REPLAYED, else null
   * @param retryAfterMs when to retry where REJECTED (ms from now), else 0
   */
  public record LookupResult<A>(Decision decision, A response, double retryAfterMs) {}

  /**
   * The present size, and counts since the start.
   *
   * @param entries keys remembered
   * @param inFlight of them, those whose first request has not ended
   * @param responseBytes bytes of cached responses
   * @param evicted completed keys that were evicted for new ones before they expired
   */
  public record IdempotencyMetrics(
      int entries,
      int inFlight,
      long responseBytes,
      long joined,
      long replayed,
      long responseUnavailable,
      long keyConflicts,
      long rejected,
      long untracked,
      long evicted) {}

  private static final class Entry<A> {
    final String key;
    final long digest;
    final Set<Long> waitingIds = new LinkedHashSet<>(2);

    /** The cached response, or null. */
    A response;

    int responseBytes;
    boolean isInFlight;

    /** When a completed entry is forgotten (ms). */
    double expiresAtMs;

    Entry(String key, long digest, boolean isInFlight) {
      this.key = key;
      this.digest = digest;
      this.isInFlight = isInFlight;
    }
  }

  /** The least wait that a rejected client is given (ms). */
  private static final double MIN_RETRY_AFTER_MS = 1;

  private final IdempotencyLimits limits;
  private final Map<String, Entry<A>> entries = new HashMap<>();
  private final Map<Long, Entry<A>> entriesByFirstId = new HashMap<>();
  private final Map<Long, Entry<A>> entriesByWaitingId = new HashMap<>();

  /** Completed entries, the next to expire first: the retention is the same for all. */
  private final ArrayDeque<Entry<A>> completed = new ArrayDeque<>();

  /** Entries with a cached response, the oldest first. */
  private final ArrayDeque<Entry<A>> entriesWithResponse = new ArrayDeque<>();

  private long responseBytes;
  private long joinedCount;
  private long replayedCount;
  private long responseUnavailableCount;
  private long keyConflictCount;
  private long rejectedCount;
  private long untrackedCount;
  private long evictedCount;

  /** An empty index. */
  public IdempotencyIndex(IdempotencyLimits limits) {
    this.limits = limits;
  }

  /**
   * Registers a request and decides what becomes of it.
   *
   * @param requestId of this request alone
   * @param key of its customer: the same text for the same effect
   * @param digest of what it asks for: where two differ, the requests differ
   */
  public LookupResult<A> register(double nowMs, long requestId, String key, long digest) {
    expire(nowMs);
    Entry<A> entry = entries.get(key);
    if (entry == null) {
      return registerFirst(nowMs, requestId, key, digest);
    }
    if (entry.digest != digest) {
      keyConflictCount++;
      return resultOf(Decision.KEY_CONFLICT);
    }
    if (entry.isInFlight) {
      return join(requestId, entry);
    }
    if (entry.response == null) {
      responseUnavailableCount++;
      return resultOf(Decision.RESPONSE_UNAVAILABLE);
    }
    replayedCount++;
    return new LookupResult<>(Decision.REPLAYED, entry.response, 0);
  }

  private LookupResult<A> join(long requestId, Entry<A> entry) {
    if (entry.waitingIds.size() >= limits.maxWaitingDuplicates()) {
      return reject(limits.retentionMs());
    }
    entry.waitingIds.add(requestId);
    entriesByWaitingId.put(requestId, entry);
    joinedCount++;
    return resultOf(Decision.JOINED);
  }

  private LookupResult<A> registerFirst(double nowMs, long requestId, String key, long digest) {
    if (entries.size() >= limits.maxEntries()) {
      if (limits.rejectsWhenFull()) {
        return reject(untilNextExpiryMs(nowMs));
      }
      if (completed.isEmpty()) {
        untrackedCount++;
        return resultOf(Decision.UNTRACKED);
      }
      forget(completed.poll());
      evictedCount++;
    }
    Entry<A> entry = new Entry<>(key, digest, true);
    entries.put(key, entry);
    entriesByFirstId.put(requestId, entry);
    return resultOf(Decision.FIRST);
  }

  private double untilNextExpiryMs(double nowMs) {
    return completed.isEmpty()
        ? limits.retentionMs()
        : Math.max(MIN_RETRY_AFTER_MS, completed.peek().expiresAtMs - nowMs);
  }

  private LookupResult<A> reject(double retryAfterMs) {
    rejectedCount++;
    return new LookupResult<>(Decision.REJECTED, null, retryAfterMs);
  }

  private LookupResult<A> resultOf(Decision decision) {
    return new LookupResult<>(decision, null, 0);
  }

  /**
   * Adds a completed key that an earlier process remembered. To be called before the first request,
   * in the order of expiry.
   *
   * @param expiresAtMs when it is forgotten (ms, on the clock of {@code nowMs})
   * @param response null where none was cached
   * @param responseSize bytes of the response
   */
  public void restore(double expiresAtMs, String key, long digest, A response, int responseSize) {
    Entry<A> entry = new Entry<>(key, digest, false);
    entry.expiresAtMs = expiresAtMs;
    if (entries.putIfAbsent(key, entry) == null) {
      completed.add(entry);
      cacheResponse(entry, response, responseSize);
    }
  }

  /**
   * Reports the final response of a first request; nothing happens for any other.
   *
   * @param response for those that wait and, where it is cached, for later duplicates; null where
   *     it cannot be cached
   * @param responseSize bytes of the response
   * @param mayHaveRun whether the request had an effect, or may still have one
   * @return the requests that wait for the response, in the order of arrival; none waits any more
   */
  public List<Long> complete(
      double nowMs, long firstRequestId, A response, int responseSize, boolean mayHaveRun) {
    Entry<A> entry = entriesByFirstId.remove(firstRequestId);
    if (entry == null) {
      return List.of();
    }
    List<Long> waitingIds = new ArrayList<>(entry.waitingIds);
    waitingIds.forEach(entriesByWaitingId::remove);
    entry.waitingIds.clear();
    if (mayHaveRun) {
      entry.isInFlight = false;
      entry.expiresAtMs = nowMs + limits.retentionMs();
      completed.add(entry);
      cacheResponse(entry, response, responseSize);
    } else {
      entries.remove(entry.key);
    }
    return waitingIds;
  }

  /** Evicts the oldest responses for a new one; a response beyond the whole limit is not cached. */
  private void cacheResponse(Entry<A> entry, A response, int responseSize) {
    if (response == null || responseSize > limits.maxResponseBytes()) {
      return;
    }
    while (responseBytes + responseSize > limits.maxResponseBytes()) {
      dropResponse(entriesWithResponse.poll());
    }
    entry.response = response;
    entry.responseBytes = responseSize;
    responseBytes += responseSize;
    entriesWithResponse.add(entry);
  }

  private void dropResponse(Entry<A> entry) {
    responseBytes -= entry.responseBytes;
    entry.responseBytes = 0;
    entry.response = null;
  }

  private void forget(Entry<A> entry) {
    entries.remove(entry.key);
    if (entry.response != null) {
      // O(1): both queues are in the order of completion, so it is the first one
      entriesWithResponse.remove(entry);
      dropResponse(entry);
    }
  }

  private void expire(double nowMs) {
    while (!completed.isEmpty() && completed.peek().expiresAtMs <= nowMs) {
      forget(completed.poll());
    }
  }

  /** A waiting duplicate was answered otherwise, or its client disconnected. */
  public void removeWaiting(long requestId) {
    Entry<A> entry = entriesByWaitingId.remove(requestId);
    if (entry != null) {
      entry.waitingIds.remove(requestId);
    }
  }

  /** Whether duplicates wait for the response of this first request. */
  public boolean hasWaitingDuplicates(long firstRequestId) {
    Entry<A> entry = entriesByFirstId.get(firstRequestId);
    return entry != null && !entry.waitingIds.isEmpty();
  }

  /** Size and counts at a time (ms). */
  public IdempotencyMetrics metrics(double nowMs) {
    expire(nowMs);
    return new IdempotencyMetrics(
        entries.size(),
        entriesByFirstId.size(),
        responseBytes,
        joinedCount,
        replayedCount,
        responseUnavailableCount,
        keyConflictCount,
        rejectedCount,
        untrackedCount,
        evictedCount);
  }
}
