package edgenode.simulation;

import edgenode.emulator.CapacityModel;
import java.util.ArrayList;
import java.util.List;

/**
 * A day to rehearse: how large the installation is, what its campuses ask over time, and what goes
 * wrong when. The draw (which campuses ask how much, when, of which node, and which server a fault
 * hits where it says "any") comes from a seed.
 *
 * @param lengthMs how long the campuses ask; then all that is open may end
 * @param loadBalancerNoticeMs how long the front goes on sending to an edge node that has died
 * @param load requests a second over time: straight lines between these points, steady after the
 *     last
 */
public record Scenario(
    String name,
    String title,
    double lengthMs,
    int nodes,
    int servers,
    CapacityModel.Size size,
    int customers,
    double loadBalancerNoticeMs,
    List<LoadPoint> load,
    List<Fault> faults) {
  /** All that can go wrong; the design note tells each. */
  public enum FaultKind {
    DIE,
    DRAIN,
    SILENT,
    DEAF,
    NOISE,
    FAILING,
    NEIGHBOUR,
    KILL,
    RESTART,
    RELOAD,
    DISCOVERY_SILENT,
    DISCOVERY_LAG,
    DISCOVERY_STALL,
    DISCOVERY_EMPTY,
    COUNTER_SILENT,
    COUNTER_FULL,
    COUNTER_NOISE,
    COUNTER_EMPTY,
    COUNTER_RESET,
    CROWD,
    RESHUFFLE;

    /** Of what it hits one: a server, an edge node, or neither. */
    Target target() {
      return ordinal() <= NEIGHBOUR.ordinal()
          ? Target.SERVER
          : ordinal() <= RELOAD.ordinal() || this == CROWD ? Target.NODE : Target.NONE;
    }

    /** As scenarios have it. */
    String word() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  enum Target {
    SERVER,
    NODE,
    NONE
  }

  /** A rate at a time: ms from the start, requests a second. */
  public record LoadPoint(double atMs, double perSecond) {}

  /**
   * @param atMs ms from the start
   * @param index of the server or edge node, from 0; -1 for any
   * @param durationMs how long (ms); what has no length of its own takes no notice of it
   * @param share of a neighbour or a crowd, 0 to 1
   * @param lagMs what discovery needs to learn of it (ms)
   * @param movesAddress whether a server that died comes back at another address, and a new one at
   *     its old
   */
  public record Fault(
      FaultKind kind,
      double atMs,
      int index,
      double durationMs,
      double share,
      double lagMs,
      boolean movesAddress) {
    String text() {
      return kind.word()
          + (kind.target() == Target.NONE ? "" : index < 0 ? " any" : " " + index)
          + (durationMs > 0 ? " for " + Math.round(durationMs) + " ms" : "");
    }
  }

  /** Requests a second at a time (ms from the start). */
  double rate(double ms) {
    LoadPoint before = load.get(0);
    for (LoadPoint p : load) {
      if (p.atMs > ms) {
        return ms <= before.atMs
            ? before.perSecond
            : before.perSecond
                + (p.perSecond - before.perSecond) * (ms - before.atMs) / (p.atMs - before.atMs);
      }
      before = p;
    }
    return before.perSecond;
  }

  double maxPerSecond() {
    return load.stream().mapToDouble(LoadPoint::perSecond).max().orElse(0);
  }

  Scenario withNodes(int count) {
    return new Scenario(
        name, title, lengthMs, count, servers, size, customers, loadBalancerNoticeMs, load, faults);
  }

  Scenario withServers(int count) {
    return new Scenario(
        name, title, lengthMs, nodes, count, size, customers, loadBalancerNoticeMs, load, faults);
  }

  Scenario withLength(double ms) {
    return new Scenario(
        name, title, ms, nodes, servers, size, customers, loadBalancerNoticeMs, load, faults);
  }

  Scenario without(Fault fault) {
    List<Fault> rest = new ArrayList<>(faults);
    rest.remove(fault);
    return new Scenario(
        name,
        title,
        lengthMs,
        nodes,
        servers,
        size,
        customers,
        loadBalancerNoticeMs,
        load,
        List.copyOf(rest));
  }

  /** What cannot be together, a line each; empty where all is well. */
  List<String> contradictions() {
    List<String> all = new ArrayList<>();
    for (Fault f : faults) {
      int there = f.kind.target() == Target.SERVER ? servers : nodes;
      if (f.kind.target() != Target.NONE && f.index >= there) {
        all.add(f.kind.word() + " of number " + f.index + ", and there are " + there + " (from 0)");
      }
      if (f.atMs > lengthMs) {
        all.add(f.kind.word() + " at " + f.atMs / 1000 + " s, after the end");
      }
    }
    return all;
  }
}
