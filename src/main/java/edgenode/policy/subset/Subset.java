package edgenode.policy.subset;

import java.util.*;

/**
 * Which of all servers this node sends to: a deterministic subset (docs/design/subset.md). A pure
 * core: chance is a hash of names. Not safe for use by several threads.
 *
 * <p>A server has a place on a circle by the hash of its id (consistent hashing, Karger et al.
 * 1997), node number m one at m times the golden ratio (Knuth vol. 3, 6.4: any run of numbers is
 * spread evenly, and no node moves when another comes). A node holds the servers on the arc that
 * begins at its place. All arcs of a fleet are equally long, so that all servers have about as many
 * nodes, however hashes fall. A change costs O(log n + moved).
 *
 * @param <S> what is kept of a server that is not in the subset, to bring it in
 */
public final class Subset<S> {
  /**
   * The least even size by default (servers): lists of up to so many are held whole, as all were
   * before.
   */
  public static final int SERVERS = 256;

  /**
   * Nodes of a server at least: one with five times the mean traffic brings its servers half as
   * much again.
   */
  static final int HOLDERS = 8;

  /** Mates looked through: draining ones stand in the way, but not for long. */
  private static final int LOOKED = 64;

  /** 2 to the 64th over the golden ratio, made odd. */
  private static final long GOLDEN = 0x9e3779b97f4a7c15L;

  /** Offsets on the circle: from 0 to under this. */
  static final long CIRCLE = 1L << 62;

  /** What entered and what left, each in the order in which it happened. */
  public record Moves<S>(List<S> entered, List<String> left) {}

  private static final class Entry<S> implements Comparable<Entry<S>> {
    final String id;
    final long offset;
    final Object[] groups;
    S server;
    boolean up;

    Entry(String id, long offset, Object... groups) {
      this.id = id;
      this.offset = offset;
      this.groups = groups;
    }

    @Override
    public int compareTo(Entry<S> o) {
      return offset != o.offset ? Long.compare(offset, o.offset) : id.compareTo(o.id);
    }
  }

  private final long place;
  private final double nodes, least;
  private final Map<String, Entry<S>> known = new HashMap<>();
  private final TreeSet<Entry<S>> order = new TreeSet<>();
  private final Map<Object, TreeSet<Entry<S>>> groups = new HashMap<>();
  private final Set<Entry<S>> changed = new LinkedHashSet<>();
  private long arc = CIRCLE;
  private double width = 1;
  private int up;

  /**
   * @param me the number of this node in its fleet of so many
   * @param least servers that a node holds on average at least; more where a server would have
   *     under 8 nodes
   */
  public Subset(int me, int nodes, int least) {
    place = place(me);
    this.nodes = Math.max(1, nodes);
    this.least = Math.max(1, least);
  }

  /**
   * A server is known, or has changed.
   *
   * @param in groups that {@link #mates} will be asked for, null for none; how many is the same for
   *     all servers
   */
  public void put(String id, boolean isUp, S server, Object... in) {
    Entry<S> e = known.get(id);
    if (e == null || !Arrays.equals(e.groups, in)) {
      remove(id);
      e = new Entry<>(id, offset(id, place), in);
      known.put(id, e);
      order.add(e);
      for (Object group : in) {
        groups.computeIfAbsent(group, g -> new TreeSet<>()).add(e);
      }
      toggle(e);
    }
    up += (isUp ? 1 : 0) - (e.up ? 1 : 0);
    e.up = isUp;
    e.server = server;
  }

  /** A server is gone; one that is not known does no harm. */
  public void remove(String id) {
    Entry<S> e = known.remove(id);
    if (e != null) {
      up -= e.up ? 1 : 0;
      order.remove(e);
      for (Object group : e.groups) {
        groups.computeIfPresent(
            group, (g, mates) -> mates.remove(e) && mates.isEmpty() ? null : mates);
      }
      toggle(e);
    }
  }

  /** A whole list: what it does not name is gone. O(n). */
  public void retain(Set<String> ids) {
    known.keySet().stream().filter(id -> !ids.contains(id)).sorted().toList().forEach(this::remove);
  }

  /**
   * How many times the even arc this node's is, 1 at least: what enters and leaves shows at {@link
   * * #settle}.
   */
  public void width(double times) {
    width = Math.max(1, times);
  }

  /**
   * Moves the end of the arc to where it belongs, and tells what has entered and left since the
   * last call.
   */
  public Moves<S> settle() {
    long end = (long) (Math.min(1, width * evenShare()) * CIRCLE);
    long before = arc;
    arc = Math.max(before, end); // what lies between the two is on it in one of both cases
    order
        .subSet(new Entry<>("", Math.min(before, end)), new Entry<>("", arc))
        .forEach(this::toggle);
    arc = end;
    Moves<S> moves = new Moves<>(new ArrayList<>(), new ArrayList<>());
    for (Entry<S> e : changed) {
      if (holds(e.id) && known.get(e.id) == e) {
        moves.entered.add(e.server);
      } else {
        moves.left.add(e.id);
      }
    }
    changed.clear();
    return moves;
  }

  /** There and back since the last call is no change. */
  private void toggle(Entry<S> e) {
    if (e.offset < arc && !changed.remove(e)) {
      changed.add(e);
    }
  }

  private double evenShare() {
    return Math.min(1, Math.max(least / Math.max(1, known.size()), HOLDERS / nodes));
  }

  /** How many servers a node holds on average with an even arc. */
  public double even() {
    return evenShare() * known.size();
  }

  /** Whether every node holds all that are known. */
  public boolean whole() {
    return evenShare() >= 1;
  }

  public boolean holds(String id) {
    Entry<S> e = known.get(id);
    return e != null && e.offset < arc;
  }

  /** All that are known and up, held or not. */
  public int up() {
    return up;
  }

  /**
   * Servers of a group that are up, so many at most: those held first, and nodes differ in whom
   * they burden.
   */
  public List<S> mates(Object group, int most) {
    return groups.getOrDefault(group, new TreeSet<>()).stream()
        .limit(LOOKED)
        .filter(e -> e.up)
        .limit(most)
        .map(e -> e.server)
        .toList();
  }

  /** Where on the circle a node's arc begins. */
  static long place(int me) {
    return me * GOLDEN;
  }

  /**
   * How far behind a place a server lies; FNV-1a over the characters, as ids that count up may fall
   * anywhere.
   */
  static long offset(String id, long place) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < id.length(); i++) {
      h = (h ^ id.charAt(i)) * 0x100000001b3L;
    }
    return mix(h) - place >>> 2;
  }

  /** The finaliser of SplitMix64: every bit depends on all. */
  public static long mix(long z) {
    long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
    return b ^ b >>> 31;
  }
}
