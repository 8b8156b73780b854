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
public final class EndpointSubset<S> {
  /**
   * The least even size by default (servers): lists of up to so many are held whole, as all were
   * before.
   */
  public static final int DEFAULT_MIN_ENDPOINTS = 256;

  /**
   * Nodes of a server at least: one with five times the mean traffic brings its servers half as
   * much again.
   */
  static final int MIN_NODES_PER_ENDPOINT = 8;

  /** Mates looked through: draining ones stand in the way, but not for long. */
  private static final int MAX_GROUP_MEMBERS_SCANNED = 64;

  /** 2 to the 64th over the golden ratio, made odd. */
  private static final long GOLDEN_RATIO_64 = 0x9e3779b97f4a7c15L;

  /** Offsets on the circle: from 0 to under this. */
  static final long CIRCLE_LENGTH = 1L << 62;

  /** What entered and what left, each in the order in which it happened. */
  public record Changes<S>(List<S> added, List<String> removed) {}

  private static final class Member<S> implements Comparable<Member<S>> {
    final String id;
    final long offset;
    final Object[] groups;
    S endpoint;
    boolean isUp;

    Member(String id, long offset, Object... groups) {
      this.id = id;
      this.offset = offset;
      this.groups = groups;
    }

    @Override
    public int compareTo(Member<S> other) {
      return offset != other.offset ? Long.compare(offset, other.offset) : id.compareTo(other.id);
    }
  }

  private final long arcStart;
  private final double nodeCount, minEndpoints;
  private final Map<String, Member<S>> members = new HashMap<>();
  private final TreeSet<Member<S>> membersByOffset = new TreeSet<>();
  private final Map<Object, TreeSet<Member<S>>> membersByGroup = new HashMap<>();
  private final Set<Member<S>> toggled = new LinkedHashSet<>();
  private long arcLength = CIRCLE_LENGTH;
  private double widthFactor = 1;
  private int upCount;

  /**
   * @param nodeIndex the number of this node in its fleet of so many
   * @param minEndpoints servers that a node holds on average at least; more where a server would
   *     have under 8 nodes
   */
  public EndpointSubset(int nodeIndex, int nodeCount, int minEndpoints) {
    arcStart = arcStart(nodeIndex);
    this.nodeCount = Math.max(1, nodeCount);
    this.minEndpoints = Math.max(1, minEndpoints);
  }

  /**
   * A server is known, or has changed.
   *
   * @param memberGroups groups that {@link #groupMembers} will be asked for, null for none; how
   *     many is the same for all servers
   */
  public void put(String id, boolean isUp, S endpoint, Object... memberGroups) {
    Member<S> member = members.get(id);
    if (member == null || !Arrays.equals(member.groups, memberGroups)) {
      remove(id);
      member = new Member<>(id, offsetOf(id, arcStart), memberGroups);
      members.put(id, member);
      membersByOffset.add(member);
      for (Object group : memberGroups) {
        membersByGroup.computeIfAbsent(group, g -> new TreeSet<>()).add(member);
      }
      toggle(member);
    }
    upCount += (isUp ? 1 : 0) - (member.isUp ? 1 : 0);
    member.isUp = isUp;
    member.endpoint = endpoint;
  }

  /** A server is gone; one that is not known does no harm. */
  public void remove(String id) {
    Member<S> member = members.remove(id);
    if (member != null) {
      upCount -= member.isUp ? 1 : 0;
      membersByOffset.remove(member);
      for (Object group : member.groups) {
        membersByGroup.computeIfPresent(
            group,
            (g, groupSet) -> groupSet.remove(member) && groupSet.isEmpty() ? null : groupSet);
      }
      toggle(member);
    }
  }

  /** A whole list: what it does not name is gone. O(n). */
  public void retainOnly(Set<String> ids) {
    members.keySet().stream()
        .filter(id -> !ids.contains(id))
        .sorted()
        .toList()
        .forEach(this::remove);
  }

  /**
   * How many times the even arc this node's is, 1 at least: what enters and leaves shows at {@link
   * * * #settle}.
   */
  public void widthFactor(double factor) {
    widthFactor = Math.max(1, factor);
  }

  /**
   * Moves the end of the arc to where it belongs, and tells what has entered and left since the
   * last call.
   */
  public Changes<S> applyChanges() {
    long newLength = (long) (Math.min(1, widthFactor * evenFraction()) * CIRCLE_LENGTH);
    long oldLength = arcLength;
    arcLength =
        Math.max(oldLength, newLength); // what lies between the two is on it in one of both cases
    membersByOffset
        .subSet(new Member<>("", Math.min(oldLength, newLength)), new Member<>("", arcLength))
        .forEach(this::toggle);
    arcLength = newLength;
    Changes<S> changes = new Changes<>(new ArrayList<>(), new ArrayList<>());
    for (Member<S> member : toggled) {
      if (contains(member.id) && members.get(member.id) == member) {
        changes.added.add(member.endpoint);
      } else {
        changes.removed.add(member.id);
      }
    }
    toggled.clear();
    return changes;
  }

  /** There and back since the last call is no change. */
  private void toggle(Member<S> member) {
    if (member.offset < arcLength && !toggled.remove(member)) {
      toggled.add(member);
    }
  }

  private double evenFraction() {
    return Math.min(
        1,
        Math.max(minEndpoints / Math.max(1, members.size()), MIN_NODES_PER_ENDPOINT / nodeCount));
  }

  /** How many servers a node holds on average with an even arc. */
  public double evenSize() {
    return evenFraction() * members.size();
  }

  /** Whether every node holds all that are known. */
  public boolean holdsAll() {
    return evenFraction() >= 1;
  }

  public boolean contains(String id) {
    Member<S> member = members.get(id);
    return member != null && member.offset < arcLength;
  }

  /** All that are known and up, held or not. */
  public int upCount() {
    return upCount;
  }

  /**
   * Servers of a group that are up, so many at most: those held first, and nodes differ in whom
   * they burden.
   */
  public List<S> groupMembers(Object group, int maxCount) {
    return membersByGroup.getOrDefault(group, new TreeSet<>()).stream()
        .limit(MAX_GROUP_MEMBERS_SCANNED)
        .filter(e -> e.isUp)
        .limit(maxCount)
        .map(e -> e.endpoint)
        .toList();
  }

  /** Where on the circle a node's arc begins. */
  static long arcStart(int nodeIndex) {
    return nodeIndex * GOLDEN_RATIO_64;
  }

  /**
   * How far behind a place a server lies; FNV-1a over the characters, as ids that count up may fall
   * anywhere.
   */
  static long offsetOf(String id, long arcStart) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
    }
    return mix64(hash) - arcStart >>> 2;
  }

  /** The finaliser of SplitMix64: every bit depends on all. */
  public static long mix64(long value) {
    long first = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    long second = (first ^ first >>> 27) * 0x94d049bb133111ebL;
    return second ^ second >>> 31;
  }
}
