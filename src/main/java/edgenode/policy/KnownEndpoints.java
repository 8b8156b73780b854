package edgenode.policy;

import edgenode.policy.subset.EndpointSubset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The endpoints that this node knows: those of its subset, former ones with attempts still in
 * flight, and members of idempotency groups that a retry was bound to. The subset widens at once
 * where too little of it can be used, and narrows slowly.
 *
 * <p>Inputs: the endpoint list; ejections and warm-up, by which a part of the subset is of no use.
 */
final class KnownEndpoints {
  /** The subset doubles where less than this part of its even size can be used. */
  private static final double WIDEN_BELOW_SHARE = 5.0 / 8;

  /** The subset narrows where more than this part of its even size can be used. */
  private static final double NARROW_ABOVE_SHARE = 7.0 / 8;

  /**
   * Greatest width factor (times the even size) while too many endpoints are ejected, draining or
   * warming up.
   */
  private static final double MAX_WIDTH_UNUSABLE = 16;

  /**
   * Greatest width factor (times the even size) while all endpoints are at their concurrency
   * limits.
   */
  private static final double MAX_WIDTH_FULL = 4;

  /** A widened subset halves in 11 s of ticks: longer than most faults that widen one. */
  private static final double NARROWING_STEP = 1.0 / 64;

  /** Members of a group brought in for a retry: each attempt of it finds another one. */
  private static final int MAX_GROUP_MEMBERS = 8;

  private final PolicyTimers timers;
  private final SlowStart slowStart;
  private final IdempotencyGroupRule groupRule;
  private final EndpointSubset<EndpointInfo> subset;

  /** By id, which is the order of the load balancer's choice. */
  private final Map<String, Endpoint> byId = new TreeMap<>();

  /** Those that are known and not in the subset, until nothing is in flight there. */
  private final Set<Endpoint> former = new LinkedHashSet<>();

  private List<Endpoint> inSubset = List.of();
  private double width = 1;
  private boolean hadNoCapacity;

  KnownEndpoints(
      PolicySettings settings, PolicyTimers timers, SlowStart slowStart, int minSubsetSize) {
    this.timers = timers;
    this.slowStart = slowStart;
    groupRule = new IdempotencyGroupRule(settings);
    subset = new EndpointSubset<>(settings.nodeIndex(), settings.nodeCount(), minSubsetSize);
  }

  /** The endpoints of the subset, by id. The list is replaced, never changed. */
  List<Endpoint> inSubset() {
    return inSubset;
  }

  /** All endpoints of which this node has a record, by id. */
  Iterable<Endpoint> known() {
    return byId.values();
  }

  /** How many endpoints this node has a record of. */
  int knownCount() {
    return byId.size();
  }

  /** Whether the subset is the complete list. */
  boolean holdsAll() {
    return subset.holdsAll();
  }

  /** All listed endpoints that are up, in the subset or not. */
  int upCount() {
    return subset.upCount();
  }

  /** Takes a list: the complete one, or what has changed. */
  void update(List<EndpointInfo> list, boolean isComplete) {
    if (isComplete) {
      Set<String> ids = new HashSet<>();
      for (EndpointInfo info : list) {
        ids.add(info.id());
      }
      subset.retainOnly(ids);
    }
    for (EndpointInfo info : list) {
      if (info.state() == EndpointState.REMOVED) {
        subset.remove(info.id());
      } else {
        boolean isUp = info.state() == EndpointState.UP;
        subset.put(info.id(), isUp, info, groupRule.groupsOf(info));
      }
    }
    applySubsetChanges(list);
  }

  /**
   * Adds what entered the subset. What left it is forgotten once nothing is in flight there: a day
   * of releases brings ever new endpoints.
   */
  private void applySubsetChanges(List<EndpointInfo> list) {
    EndpointSubset.Changes<EndpointInfo> changes = subset.applyChanges();
    for (String id : changes.removed()) {
      Endpoint endpoint = byId.get(id);
      endpoint.isFormer = true;
      former.add(endpoint);
    }
    for (EndpointInfo info : list) {
      if (subset.holdsAll() || byId.containsKey(info.id())) {
        updateEndpoint(info);
      }
    }
    for (EndpointInfo info : changes.added()) {
      updateEndpoint(info);
    }
    forgetFormer();
    collectSubset();
  }

  private Endpoint updateEndpoint(EndpointInfo info) {
    Endpoint endpoint = byId.get(info.id());
    if (endpoint == null) {
      endpoint = new Endpoint(info.id());
      byId.put(endpoint.id, endpoint);
    }
    endpoint.isFormer = !subset.contains(info.id());
    endpoint.isListed = !endpoint.isFormer && info.state() == EndpointState.UP;
    if (endpoint.isFormer) {
      former.add(endpoint);
    }
    boolean hasRestarted =
        endpoint.info != null && info.startedAtMs() > endpoint.info.startedAtMs();
    endpoint.info = info;
    slowStart.endpointListed(endpoint, info.startedAtMs());
    if (hasRestarted) {
      endpoint.forgetFaults();
    }
    return endpoint;
  }

  private void forgetFormer() {
    Iterator<Endpoint> iterator = former.iterator();
    while (iterator.hasNext()) {
      Endpoint endpoint = iterator.next();
      if (!endpoint.isFormer) {
        iterator.remove();
        continue;
      }
      endpoint.isListed = false;
      if (endpoint.inFlight.isEmpty() && byId.remove(endpoint.id, endpoint)) {
        iterator.remove();
      }
    }
  }

  private void collectSubset() {
    List<Endpoint> members = new ArrayList<>(byId.size());
    for (Endpoint endpoint : byId.values()) {
      if (!endpoint.isFormer) {
        members.add(endpoint);
      }
    }
    inSubset = members;
  }

  /** No endpoint could take a request: the subset may be too small. */
  void recordNoCapacity() {
    hadNoCapacity = true;
  }

  /** Widens or narrows the subset by what could be used of it. */
  void onQuotaTick() {
    if (subset.holdsAll()) {
      return;
    }
    double evenSize = subset.evenSize();
    double usable = usableCapacity();
    if (usable < WIDEN_BELOW_SHARE * evenSize) {
      width = Math.min(MAX_WIDTH_UNUSABLE, 2 * width);
    } else if (hadNoCapacity) {
      width = Math.max(width, Math.min(MAX_WIDTH_FULL, 2 * width));
    } else if (usable > NARROW_ABOVE_SHARE * evenSize) {
      width = Math.max(1, width * (1 - NARROWING_STEP));
    }
    hadNoCapacity = false;
    subset.setWidthFactor(width);
    applySubsetChanges(List.of());
  }

  /** Endpoints that can be used, those that warm up by the part of their capacity. */
  private double usableCapacity() {
    double nowMs = timers.nowMs();
    return inSubset.stream()
        .filter(endpoint -> endpoint.isListed && !endpoint.isEjected(nowMs))
        .mapToDouble(slowStart::capacityShare)
        .sum();
  }

  /**
   * Where the subset holds too few of the group that a request is bound to, brings in others until
   * the next tick.
   */
  void addGroupMembers(PendingRequest request) {
    Set<Object> groups = new LinkedHashSet<>();
    for (Attempt attempt : request.attempts) {
      groups.add(IdempotencyGroupRule.groupOf(request.requestClass(), attempt.sentTo));
    }
    for (Object group : groups) {
      for (EndpointInfo info : subset.groupMembers(group, MAX_GROUP_MEMBERS)) {
        if (!subset.contains(info.id())) {
          updateEndpoint(info).isListed = true;
        }
      }
    }
  }
}
