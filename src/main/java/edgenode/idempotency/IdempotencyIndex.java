package edgenode.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recognises a request that carries the idempotency key of one that is running or has just ended,
 * so that it gets that one's final answer instead of a second effect (the manner of the IETF draft
 * "The Idempotency-Key HTTP Header Field", section 2). A pure core: time (ms) is an argument and
 * never goes back. Each call costs O(1), and O(f) where f repeats wait.
 *
 * <p>The first request of a key <em>leads</em>. While it runs, others of the key <em>follow</em>:
 * they are not sent on and get its answer when it ends. What cannot have run leaves no trace, so
 * that the next one of the key may try. What ran, or may have, is remembered for a stated time,
 * from its end on. Answers are kept within a bound of bytes and go before their keys do: a key
 * without its answer still keeps a second effect away.
 *
 * @param <A> an answer
 */
public final class IdempotencyIndex<A> {
  /** What is to become of a request that arrives. */
  public enum Decision {
    /**
     * The first of its key, or of a key that has been forgotten: it is sent on, and its end must be
     * told.
     */
    FIRST,
    /** One of its key runs: it waits for that one's answer. */
    JOINED,
    /** One of its key has ended: it gets that one's answer, at once. */
    REPLAYED,
    /** One of its key has ended well, and its answer is no longer kept. */
    RESPONSE_EVICTED,
    /** Its key belongs to another request: it must not run under it. */
    KEY_CONFLICT,
    /** There is no room: nothing ran, and it may come again. */
    REJECTED,
    /** There is no room: it is sent on as if it had no key, and its end is not to be told. */
    UNTRACKED
  }

  /**
   * @param response where the verdict is REPLAYED
   * @param retryAfterMs where it is REFUSED: when to come again (ms)
   */
  public record LookupResult<A>(Decision decision, A response, double retryAfterMs) {}

  /** Counts from the start, and what is held. */
  public record IdempotencyMetrics(
      int entries,
      int inFlight,
      long responseBytes,
      long joined,
      long replayed,
      long responseEvicted,
      long keyConflicts,
      long rejected,
      long untracked,
      long evicted) {}

  private static final class Entry<A> {
    final String key;
    final long digest;
    final long firstRequestId;
    final Set<Long> waitingIds = new LinkedHashSet<>(2);
    A response;
    int responseBytes;

    /** When it is forgotten, or NaN while it runs. */
    double expiresAtMs = Double.NaN;

    Entry(String key, long digest, long leader) {
      this.key = key;
      this.digest = digest;
      this.firstRequestId = leader;
    }
  }

  private final IdempotencyLimits limits;
  private final Map<String, Entry<A>> entries = new HashMap<>();
  private final Map<Long, Entry<A>> entriesByFirstId = new HashMap<>();
  private final Map<Long, Entry<A>> entriesByWaitingId = new HashMap<>();

  /** Those that have ended, in the order in which they are forgotten: all are kept equally long. */
  private final ArrayDeque<Entry<A>> complete = new ArrayDeque<>();

  /** Those whose answers are kept, the oldest first. */
  private final ArrayDeque<Entry<A>> entriesWithResponse = new ArrayDeque<>();

  private long responseBytes;
  private long hasWaitingDuplicates;
  private long replayedCount;
  private long responseEvictedCount;
  private long keyConflictCount;
  private long rejectedCount;
  private long untrackedCount;
  private long evictedCount;

  public IdempotencyIndex(IdempotencyLimits bounds) {
    this.limits = bounds;
  }

  /**
   * A request with a key arrives.
   *
   * @param request its number, which no other request has
   * @param key of its customer: the same text for the same effect
   * @param digest of what it asks: two that differ are two requests
   */
  public LookupResult<A> register(double now, long request, String key, long digest) {
    expire(now);
    Entry<A> e = entries.get(key);
    if (e == null) {
      return registerFirst(now, request, key, digest);
    }
    if (e.digest != digest) {
      keyConflictCount++;
      return resultOf(Decision.KEY_CONFLICT);
    }
    if (Double.isNaN(e.expiresAtMs)) {
      if (e.waitingIds.size() >= limits.maxWaitingDuplicates()) {
        rejectedCount++;
        return new LookupResult<>(Decision.REJECTED, null, limits.retentionMs());
      }
      e.waitingIds.add(request);
      entriesByWaitingId.put(request, e);
      hasWaitingDuplicates++;
      return resultOf(Decision.JOINED);
    }
    if (e.response == null) {
      responseEvictedCount++;
      return resultOf(Decision.RESPONSE_EVICTED);
    }
    replayedCount++;
    return new LookupResult<>(Decision.REPLAYED, e.response, 0);
  }

  private LookupResult<A> registerFirst(double now, long request, String key, long digest) {
    if (entries.size() >= limits.maxEntries()) {
      if (limits.rejectsWhenFull()) {
        rejectedCount++;
        return new LookupResult<>(
            Decision.REJECTED,
            null,
            complete.isEmpty()
                ? limits.retentionMs()
                : Math.max(1, complete.peek().expiresAtMs - now));
      }
      if (complete.isEmpty()) {
        untrackedCount++;
        return resultOf(Decision.UNTRACKED);
      }
      forget(complete.poll());
      evictedCount++;
    }
    Entry<A> e = new Entry<>(key, digest, request);
    entries.put(key, e);
    entriesByFirstId.put(request, e);
    return resultOf(Decision.FIRST);
  }

  /**
   * What an earlier process remembered, told before the first request; the next to be forgotten
   * comes first.
   *
   * @param until when it is forgotten
   */
  public void restore(double until, String key, long digest, A answer, int size) {
    Entry<A> e = new Entry<>(key, digest, 0);
    e.expiresAtMs = until;
    if (entries.putIfAbsent(key, e) == null) {
      complete.add(e);
      storeResponse(e, answer, size);
    }
  }

  private LookupResult<A> resultOf(Decision verdict) {
    return new LookupResult<>(verdict, null, 0);
  }

  /**
   * A leader has its final answer.
   *
   * @param answer for those that follow and, where it is kept, for those that come later; null:
   *     none can be kept
   * @param size bytes of the answer
   * @param mayHaveRun whether it had an effect, or may have one yet
   * @return the requests that wait for it, in the order in which they came; none of them follows
   *     any more
   */
  public List<Long> complete(double now, long leader, A answer, int size, boolean mayHaveRun) {
    Entry<A> e = entriesByFirstId.remove(leader);
    if (e == null) {
      return List.of();
    }
    List<Long> waiting = new ArrayList<>(e.waitingIds);
    waiting.forEach(entriesByWaitingId::remove);
    e.waitingIds.clear();
    if (mayHaveRun) {
      e.expiresAtMs = now + limits.retentionMs();
      complete.add(e);
      storeResponse(e, answer, size);
    } else {
      entries.remove(e.key);
    }
    return waiting;
  }

  /** The oldest answers go for a new one; one larger than all the room is not kept. */
  private void storeResponse(Entry<A> e, A answer, int size) {
    if (answer == null || size > limits.maxResponseBytes()) {
      return;
    }
    while (responseBytes + size > limits.maxResponseBytes()) {
      dropResponse(entriesWithResponse.poll());
    }
    e.response = answer;
    e.responseBytes = size;
    responseBytes += size;
    entriesWithResponse.add(e);
  }

  private void dropResponse(Entry<A> e) {
    responseBytes -= e.responseBytes;
    e.responseBytes = 0;
    e.response = null;
  }

  private void forget(Entry<A> e) {
    entries.remove(e.key);
    if (e.response != null) { // kept in the order of their ends, as those that end: it is the first
      entriesWithResponse.remove(e);
      dropResponse(e);
    }
  }

  private void expire(double now) {
    while (!complete.isEmpty() && complete.peek().expiresAtMs <= now) {
      forget(complete.poll());
    }
  }

  /** A request that follows has been answered otherwise, or its client has gone. */
  public void removeWaiting(long follower) {
    Entry<A> e = entriesByWaitingId.remove(follower);
    if (e != null) {
      e.waitingIds.remove(follower);
    }
  }

  /** Whether others wait for this leader's answer. */
  public boolean hasWaitingDuplicates(long leader) {
    Entry<A> e = entriesByFirstId.get(leader);
    return e != null && !e.waitingIds.isEmpty();
  }

  public IdempotencyMetrics metrics(double now) {
    expire(now);
    return new IdempotencyMetrics(
        entries.size(),
        entriesByFirstId.size(),
        responseBytes,
        hasWaitingDuplicates,
        replayedCount,
        responseEvictedCount,
        keyConflictCount,
        rejectedCount,
        untrackedCount,
        evictedCount);
  }
}
