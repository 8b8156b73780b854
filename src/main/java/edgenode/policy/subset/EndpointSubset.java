package edgenode.policy.subset;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which of all endpoints this node sends to: deterministic subsetting (docs/design/subset.md). A
 * pure core: chance is a hash of names. Not safe for use by several threads.
 *
 * <p>An endpoint has a place on a circle by the hash of its id (consistent hashing, Karger et al.
 * 1997), node number m one at m times the golden ratio (Knuth vol. 3, 6.4: any run of numbers is
 * spread evenly, and no node moves when another comes). A node holds the endpoints on the arc that
 * begins at its place. All arcs of a fleet are equally long, so that all endpoints have about as
 * many nodes, however hashes fall. A change costs O(log n + moved).
 *
 * @param <E> what is known of an endpoint that is not held, to bring it in
 */
public final class EndpointSubset<E> {
  /** Even size by default (endpoints): shorter lists are held completely. */
  public static final int DEFAULT_MIN_ENDPOINTS = 256;

  /**
   * Nodes of an endpoint at least: a node with five times the mean traffic brings its endpoints
   * half as much more.
   */
  static final int MIN_NODES_PER_ENDPOINT = 8;

  /** Length of the circle: offsets on it are from 0 to under this. */
  static final long CIRCLE_LENGTH = 1L << 62;

  /** Members of a group looked through: draining ones are in the way, but not for long. */
  private static final int MAX_MEMBERS_SCANNED = 64;

  /** 2 to the 64th over the golden ratio, made odd. */
  private static final long GOLDEN_RATIO_64 = 0x9e3779b97f4a7c15L;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /**
   * What entered and what left the subset, each in the order in which it happened.
   *
   * @param added endpoints that entered
   * @param removed ids of endpoints that left
   */
  public record Changes<E>(List<E> added, List<String> removed) {}

  private static final class Member<E> implements Comparable<Member<E>> {
    final String id;

    /** How far behind this node's place the endpoint lies on the circle. */
    final long offset;

    final Object[] groups;
    E endpoint;
    boolean isUp;

    Member(String id, long offset, Object... groups) {
      this.id = id;
      this.offset = offset;
      this.groups = groups;
    }

    @Override
    public int compareTo(Member<E> other) {
      return offset != other.offset ? Long.compare(offset, other.offset) : id.compareTo(other.id);
    }
  }

  private final long arcStart;
  private final double nodeCount;
  private final double minEndpoints;
  private final Map<String, Member<E>> byId = new HashMap<>();
  private final TreeSet<Member<E>> byOffset = new TreeSet<>();
  private final Map<Object, TreeSet<Member<E>>> byGroup = new HashMap<>();

  /** Members that entered or left the arc since the last {@link #applyChanges}. */
  private final Set<Member<E>> toggled = new LinkedHashSet<>();

  private long arcLength = CIRCLE_LENGTH;
  private double widthFactor = 1;
  private int upCount;

  /**
   * An empty subset.
   *
   * @param nodeIndex the number of this node in its fleet
   * @param nodeCount nodes of the fleet
   * @param minEndpoints endpoints that a node holds on average at least; more where an endpoint
   *     would have under 8 nodes
   */
  public EndpointSubset(int nodeIndex, int nodeCount, int minEndpoints) {
    arcStart = arcStart(nodeIndex);
    this.nodeCount = Math.max(1, nodeCount);
    this.minEndpoints = Math.max(1, minEndpoints);
  }

  /**
   * Adds an endpoint, or notes that it has changed.
   *
   * @param id its name
   * @param isUp whether {@link #groupMembers} may name it
   * @param endpoint what {@link #applyChanges} hands out when it enters the subset
   * @param groups keys that {@link #groupMembers} will be asked for; the same number for all
   *     endpoints
   */
  public void put(String id, boolean isUp, E endpoint, Object... groups) {
    Member<E> member = byId.get(id);
    if (member == null || !Arrays.equals(member.groups, groups)) {
      remove(id);
      member = add(id, groups);
    }
    upCount += (isUp ? 1 : 0) - (member.isUp ? 1 : 0);
    member.isUp = isUp;
    member.endpoint = endpoint;
  }

  private Member<E> add(String id, Object... groups) {
    Member<E> member = new Member<>(id, offsetOf(id, arcStart), groups);
    byId.put(id, member);
    byOffset.add(member);
    for (Object group : groups) {
      TreeSet<Member<E>> members = byGroup.get(group);
      if (members == null) {
        members = new TreeSet<>();
        byGroup.put(group, members);
      }
      members.add(member);
    }
    toggle(member);
    return member;
  }

  /** Removes an endpoint; one that is not known does no harm. */
  public void remove(String id) {
    Member<E> member = byId.remove(id);
    if (member == null) {
      return;
    }
    upCount -= member.isUp ? 1 : 0;
    byOffset.remove(member);
    for (Object group : member.groups) {
      TreeSet<Member<E>> members = byGroup.get(group);
      if (members != null && members.remove(member) && members.isEmpty()) {
        byGroup.remove(group);
      }
    }
    toggle(member);
  }

  /** Removes all endpoints that a complete list does not name. O(n log n). */
  public void retainOnly(Set<String> ids) {
    List<String> missing = new ArrayList<>();
    for (String id : byId.keySet()) {
      if (!ids.contains(id)) {
        missing.add(id);
      }
    }
    Collections.sort(missing);
    for (String id : missing) {
      remove(id);
    }
  }

  /**
   * Sets how many times the even arc this node's is, 1 at least. What enters and leaves by it shows
   * at {@link #applyChanges}.
   */
  public void setWidthFactor(double factor) {
    widthFactor = Math.max(1, factor);
  }

  /** Moves the end of the arc to where it belongs; what entered and left since the last call. */
  public Changes<E> applyChanges() {
    moveArcEnd((long) (Math.min(1, widthFactor * evenFraction()) * CIRCLE_LENGTH));
    Changes<E> changes = new Changes<>(new ArrayList<>(), new ArrayList<>());
    for (Member<E> member : toggled) {
      if (contains(member.id) && byId.get(member.id) == member) {
        changes.added.add(member.endpoint);
      } else {
        changes.removed.add(member.id);
      }
    }
    toggled.clear();
    return changes;
  }

  private void moveArcEnd(long newLength) {
    long oldLength = arcLength;
    arcLength = Math.max(oldLength, newLength); // what lies between is on the longer arc only
    Member<E> from = new Member<>("", Math.min(oldLength, newLength));
    Member<E> to = new Member<>("", arcLength);
    for (Member<E> member : byOffset.subSet(from, to)) {
      toggle(member);
    }
    arcLength = newLength;
  }

  /** There and back since the last call is no change. */
  private void toggle(Member<E> member) {
    if (member.offset < arcLength && !toggled.remove(member)) {
      toggled.add(member);
    }
  }

  private double evenFraction() {
    return Math.min(
        1, Math.max(minEndpoints / Math.max(1, byId.size()), MIN_NODES_PER_ENDPOINT / nodeCount));
  }

  /** How many endpoints a node holds on average with an even arc. */
  public double evenSize() {
    return evenFraction() * byId.size();
  }

  /** Whether every node holds all endpoints that are known. */
  public boolean holdsAll() {
    return evenFraction() >= 1;
  }

  /** Whether this node holds an endpoint. */
  public boolean contains(String id) {
    Member<E> member = byId.get(id);
    return member != null && member.offset < arcLength;
  }

  /** How many of the known endpoints are up, held or not. */
  public int upCount() {
    return upCount;
  }

  /**
   * Endpoints of a group that are up: those behind this node's place first, so that nodes differ in
   * whom they burden.
   *
   * @param maxCount how many at most
   */
  public List<E> groupMembers(Object group, int maxCount) {
    return byGroup.getOrDefault(group, new TreeSet<>()).stream()
        .limit(MAX_MEMBERS_SCANNED)
        .filter(member -> member.isUp)
        .limit(maxCount)
        .map(member -> member.endpoint)
        .toList();
  }

  /** Where on the circle a node's arc begins. */
  static long arcStart(int nodeIndex) {
    return nodeIndex * GOLDEN_RATIO_64;
  }

  /**
   * How far behind a place an endpoint lies: FNV-1a over the characters, then mixed, as ids that
   * count up may fall anywhere.
   */
  static long offsetOf(String id, long arcStart) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    return mix64(hash) - arcStart >>> 2;
  }

  /** The finaliser of SplitMix64: every bit of the result depends on all bits of the value. */
  public static long mix64(long value) {
    long first = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    long second = (first ^ first >>> 27) * 0x94d049bb133111ebL;
    return second ^ second >>> 31;
  }
}
