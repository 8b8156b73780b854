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
public final class Repeats<A> {
  /** What is to become of a request that arrives. */
  public enum Verdict {
    /**
     * The first of its key, or of a key that has been forgotten: it is sent on, and its end must be
     * told.
     */
    LEADS,
    /** One of its key runs: it waits for that one's answer. */
    FOLLOWS,
    /** One of its key has ended: it gets that one's answer, at once. */
    REPLAYED,
    /** One of its key has ended well, and its answer is no longer kept. */
    SPENT,
    /** Its key belongs to another request: it must not run under it. */
    CLASHES,
    /** There is no room: nothing ran, and it may come again. */
    REFUSED,
    /** There is no room: it is sent on as if it had no key, and its end is not to be told. */
    PASSES
  }

  /**
   * @param answer where the verdict is REPLAYED
   * @param after where it is REFUSED: when to come again (ms)
   */
  public record Told<A>(Verdict verdict, A answer, double after) {}

  /** Counts from the start, and what is held. */
  public record Figures(
      int entries,
      int running,
      long bytes,
      long followed,
      long replayed,
      long spent,
      long clashed,
      long refused,
      long passed,
      long forgotten) {}

  private static final class Entry<A> {
    final String key;
    final long digest;
    final long leader;
    final Set<Long> followers = new LinkedHashSet<>(2);
    A answer;
    int bytes;

    /** When it is forgotten, or NaN while it runs. */
    double until = Double.NaN;

    Entry(String key, long digest, long leader) {
      this.key = key;
      this.digest = digest;
      this.leader = leader;
    }
  }

  private final Bounds bounds;
  private final Map<String, Entry<A>> entries = new HashMap<>();
  private final Map<Long, Entry<A>> leaders = new HashMap<>();
  private final Map<Long, Entry<A>> following = new HashMap<>();

  /** Those that have ended, in the order in which they are forgotten: all are kept equally long. */
  private final ArrayDeque<Entry<A>> ended = new ArrayDeque<>();

  /** Those whose answers are kept, the oldest first. */
  private final ArrayDeque<Entry<A>> kept = new ArrayDeque<>();

  private long bytes;
  private long followed;
  private long replayed;
  private long spent;
  private long clashed;
  private long refused;
  private long passed;
  private long forgotten;

  public Repeats(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * A request with a key arrives.
   *
   * @param request its number, which no other request has
   * @param key of its customer: the same text for the same effect
   * @param digest of what it asks: two that differ are two requests
   */
  public Told<A> arrived(double now, long request, String key, long digest) {
    expire(now);
    Entry<A> e = entries.get(key);
    if (e == null) {
      return first(now, request, key, digest);
    }
    if (e.digest != digest) {
      clashed++;
      return told(Verdict.CLASHES);
    }
    if (Double.isNaN(e.until)) {
      if (e.followers.size() >= bounds.followers()) {
        refused++;
        return new Told<>(Verdict.REFUSED, null, bounds.keep());
      }
      e.followers.add(request);
      following.put(request, e);
      followed++;
      return told(Verdict.FOLLOWS);
    }
    if (e.answer == null) {
      spent++;
      return told(Verdict.SPENT);
    }
    replayed++;
    return new Told<>(Verdict.REPLAYED, e.answer, 0);
  }

  private Told<A> first(double now, long request, String key, long digest) {
    if (entries.size() >= bounds.entries()) {
      if (bounds.refuses()) {
        refused++;
        return new Told<>(
            Verdict.REFUSED,
            null,
            ended.isEmpty() ? bounds.keep() : Math.max(1, ended.peek().until - now));
      }
      if (ended.isEmpty()) {
        passed++;
        return told(Verdict.PASSES);
      }
      forget(ended.poll());
      forgotten++;
    }
    Entry<A> e = new Entry<>(key, digest, request);
    entries.put(key, e);
    leaders.put(request, e);
    return told(Verdict.LEADS);
  }

  /**
   * What an earlier process remembered, told before the first request; the next to be forgotten
   * comes first.
   *
   * @param until when it is forgotten
   */
  public void restored(double until, String key, long digest, A answer, int size) {
    Entry<A> e = new Entry<>(key, digest, 0);
    e.until = until;
    if (entries.putIfAbsent(key, e) == null) {
      ended.add(e);
      keep(e, answer, size);
    }
  }

  private Told<A> told(Verdict verdict) {
    return new Told<>(verdict, null, 0);
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
  public List<Long> ended(double now, long leader, A answer, int size, boolean mayHaveRun) {
    Entry<A> e = leaders.remove(leader);
    if (e == null) {
      return List.of();
    }
    List<Long> waiting = new ArrayList<>(e.followers);
    waiting.forEach(following::remove);
    e.followers.clear();
    if (mayHaveRun) {
      e.until = now + bounds.keep();
      ended.add(e);
      keep(e, answer, size);
    } else {
      entries.remove(e.key);
    }
    return waiting;
  }

  /** The oldest answers go for a new one; one larger than all the room is not kept. */
  private void keep(Entry<A> e, A answer, int size) {
    if (answer == null || size > bounds.bytes()) {
      return;
    }
    while (bytes + size > bounds.bytes()) {
      drop(kept.poll());
    }
    e.answer = answer;
    e.bytes = size;
    bytes += size;
    kept.add(e);
  }

  private void drop(Entry<A> e) {
    bytes -= e.bytes;
    e.bytes = 0;
    e.answer = null;
  }

  private void forget(Entry<A> e) {
    entries.remove(e.key);
    if (e.answer != null) { // kept in the order of their ends, as those that end: it is the first
      kept.remove(e);
      drop(e);
    }
  }

  private void expire(double now) {
    while (!ended.isEmpty() && ended.peek().until <= now) {
      forget(ended.poll());
    }
  }

  /** A request that follows has been answered otherwise, or its client has gone. */
  public void left(long follower) {
    Entry<A> e = following.remove(follower);
    if (e != null) {
      e.followers.remove(follower);
    }
  }

  /** Whether others wait for this leader's answer. */
  public boolean followed(long leader) {
    Entry<A> e = leaders.get(leader);
    return e != null && !e.followers.isEmpty();
  }

  public Figures figures(double now) {
    expire(now);
    return new Figures(
        entries.size(),
        leaders.size(),
        bytes,
        followed,
        replayed,
        spent,
        clashed,
        refused,
        passed,
        forgotten);
  }
}
