package edgenode.simulation.fleet;

import edgenode.emulator.DiscoveryAgentEmulator;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Model of one endpoint list at discovery: a version for each change, and nodes that watch it.
 * Messages have their real form, and take the time of their bytes on a link that all lists share.
 */
final class DiscoveryModel {
  /** A watch that resumes from further back (changes) gets the complete list. */
  private static final int MAX_CHANGE_LOG = 4096;

  /** A permanent fault, for tests of the verdicts. */
  enum Fault {
    NONE,
    ALWAYS_SENDS_COMPLETE_LIST,
    SENDS_ALL_AS_CHANGES,
    DROPS_EVERY_SECOND_CHANGE
  }

  /** The link that the messages of all lists take, one after another. */
  static final class Link {
    private final double bytesPerMs;
    private double freeAtMs;

    Link(double bytesPerMs) {
      this.bytesPerMs = bytesPerMs;
    }

    /** Queues a message and returns when it arrives (ms). */
    double deliveryTimeMs(double nowMs, int bytes) {
      freeAtMs = Math.max(nowMs, freeAtMs) + bytes / bytesPerMs;
      return freeAtMs + FleetAssumptions.ONE_WAY_LATENCY_MS;
    }
  }

  private final VirtualTimeline timeline;
  private final FleetCounters counters;
  private final Link link;
  private final AppServerModel[] servers;
  private final int firstServer;
  private final int size;

  /** The server that changed at version {@code i + 1}. */
  private final List<Integer> changeLog = new ArrayList<>();

  private final Set<ModelNode> watchers = new LinkedHashSet<>();
  private long pushedVersion;
  private boolean isPushScheduled;
  private long pushCount;

  /** Entries that the last message of changes had to contain. */
  private int dueEntries;

  private WireFormats.ListMessage completeList;
  private Fault fault = Fault.NONE;

  DiscoveryModel(
      VirtualTimeline timeline,
      FleetCounters counters,
      Link link,
      AppServerModel[] servers,
      int firstServer,
      int size) {
    this.timeline = timeline;
    this.counters = counters;
    this.link = link;
    this.servers = servers;
    this.firstServer = firstServer;
    this.size = size;
  }

  /** For tests of the verdicts. */
  void injectFault(Fault injected) {
    fault = injected;
  }

  int firstServer() {
    return firstServer;
  }

  int size() {
    return size;
  }

  long version() {
    return changeLog.size();
  }

  private DiscoveryAgentEmulator.Host host(int index) {
    AppServerModel server = servers[index];
    return new DiscoveryAgentEmulator.Host(
        "s" + index,
        server.address,
        server.health.name().toLowerCase(Locale.ROOT),
        server.startedAtMs,
        server.zone,
        index / FleetAssumptions.SERVERS_PER_RACK + (server.changeCount & 1) * servers.length);
  }

  /** The complete list at the present version; the same object until the next change. */
  WireFormats.ListMessage completeList() {
    if (completeList == null || completeList.version() != version()) {
      List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>(size);
      for (int i = firstServer; i < firstServer + size; i++) {
        if (servers[i].health != AppServerModel.Health.LEFT) {
          hosts.add(host(i));
        }
      }
      completeList = WireFormats.listMessage(version(), true, hosts);
      counters.listBytes = Math.max(counters.listBytes, completeList.bytes());
    }
    return completeList;
  }

  private WireFormats.ListMessage changesSince(long version) {
    if (fault == Fault.ALWAYS_SENDS_COMPLETE_LIST
        || version < 0
        || version > version()
        || version() - version > Math.max(MAX_CHANGE_LOG, size)) {
      return completeList();
    }
    Set<Integer> changed = new LinkedHashSet<>(changeLog.subList((int) version, changeLog.size()));
    dueEntries = changed.size();
    for (int i = firstServer; i < firstServer + size && fault == Fault.SENDS_ALL_AS_CHANGES; i++) {
      changed.add(i);
    }
    List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>();
    for (int index : changed) {
      hosts.add(host(index));
    }
    return WireFormats.listMessage(version(), false, hosts);
  }

  /** Lists a change of a server: the watchers get it with the other changes of a short time. */
  void serverChanged(AppServerModel server) {
    server.changedAtMs = timeline.nowMs();
    server.changeCount++;
    changeLog.add(server.index);
    counters.changesMade++;
    if (!isPushScheduled) {
      isPushScheduled = true;
      timeline.scheduleAfter(FleetAssumptions.CHANGE_BATCH_MS, this::push);
    }
  }

  private void push() {
    isPushScheduled = false;
    WireFormats.ListMessage message = changesSince(pushedVersion);
    pushedVersion = version();
    if (fault == Fault.DROPS_EVERY_SECOND_CHANGE && ++pushCount % 2 == 0) {
      return;
    }
    for (ModelNode node : watchers) {
      send(node, message);
    }
  }

  private void send(ModelNode node, WireFormats.ListMessage message) {
    counters.changesDue += message.isComplete() ? 0 : dueEntries;
    timeline.scheduleAt(
        link.deliveryTimeMs(timeline.nowMs(), message.bytes()), () -> node.listReceived(message));
  }

  /** Subscribes a node from the version that it has; -1 where it has no list. */
  void watch(ModelNode node, long version) {
    if (version != version()) {
      send(node, changesSince(version));
    } else {
      timeline.scheduleAfter(FleetAssumptions.ONE_WAY_LATENCY_MS, node::heartbeatReceived);
    }
    watchers.add(node);
  }

  void unwatch(ModelNode node) {
    watchers.remove(node);
  }

  /**
   * Sends a wrong complete list to all watchers.
   *
   * @param listShare part of the servers that it contains, 0 to 1
   * @param versionsBack how far its version is behind; 0 for a new version
   */
  void sendWrongList(double listShare, long versionsBack) {
    List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>();
    for (int i = firstServer; i < firstServer + (int) (listShare * size); i++) {
      if (servers[i].health != AppServerModel.Health.LEFT) {
        hosts.add(host(i));
      }
    }
    if (versionsBack == 0) {
      changeLog.add(firstServer);
      pushedVersion = version();
    }
    WireFormats.ListMessage message =
        WireFormats.listMessage(Math.max(0, version() - versionsBack), true, hosts);
    watchers.forEach(node -> send(node, message));
  }

  /** Sends the correct complete list to all watchers, as a new version. */
  void sendCorrectList() {
    changeLog.add(firstServer);
    pushedVersion = version();
    watchers.forEach(node -> send(node, completeList()));
  }

  /** A node asks for the complete list; ignored where it has no watch. */
  void resync(ModelNode node) {
    if (watchers.contains(node)) {
      timeline.scheduleAfter(
          2 * FleetAssumptions.ONE_WAY_LATENCY_MS, () -> send(node, completeList()));
    }
  }
}
