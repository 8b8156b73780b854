package edgenode.simulation.fleet;

import edgenode.emulator.DiscoveryAgentEmulator;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One list of discovery's, thinly: versions, and watches to which changes are pushed in the real
 * form over a link of so many bytes a ms that all share.
 */
final class DiscoveryModel {
  /**
   * Changes kept for watches that go on from an older version; before them the whole list is sent.
   */
  private static final int KEPT = 4096;

  /**
   * What it does wrong all the time: whole lists or all entries for each change, or every other
   * change not told.
   */
  enum Fault {
    NONE,
    WHOLE_ALWAYS,
    ALL_AS_CHANGES,
    TELLS_HALF
  }

  /** The link that all lists' messages take, one after another. */
  static final class Link {
    private final double bytesPerMs;
    private double freeAt;

    Link(double bytesPerMs) {
      this.bytesPerMs = bytesPerMs;
    }

    double through(double now, int bytes) {
      freeAt = Math.max(now, freeAt) + bytes / bytesPerMs;
      return freeAt + Assumed.WAY;
    }
  }

  private final Agenda agenda;
  private final Tally tally;
  private final Link link;
  private final AppServer[] servers;
  private final int from;
  private final int size;

  /** The server that changed at version {@code i + 1}. */
  private final List<Integer> log = new ArrayList<>();

  private final Set<ModelNode> watches = new LinkedHashSet<>();
  private long pushed;
  private boolean arming;
  private long pushes;

  /** Entries that the last message of changes had to tell. */
  private int due;

  private WireForms.Listed last;
  private Fault fault = Fault.NONE;

  DiscoveryModel(Agenda agenda, Tally tally, Link link, AppServer[] servers, int from, int size) {
    this.agenda = agenda;
    this.tally = tally;
    this.link = link;
    this.servers = servers;
    this.from = from;
    this.size = size;
  }

  /** Planted for tests of the judges. */
  void plant(Fault planted) {
    fault = planted;
  }

  int from() {
    return from;
  }

  int size() {
    return size;
  }

  long seq() {
    return log.size();
  }

  private DiscoveryAgentEmulator.Host host(int index) {
    AppServer s = servers[index];
    return new DiscoveryAgentEmulator.Host(
        "s" + index,
        s.dial,
        s.health.name().toLowerCase(Locale.ROOT),
        s.bornAt,
        s.zone,
        index / Assumed.RACK + (s.changes & 1) * servers.length);
  }

  /**
   * The whole list as it stands; the same object while nothing changes, as all nodes are told the
   * same bytes.
   */
  WireForms.Listed whole() {
    if (last == null || last.seq() != seq()) {
      List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>(size);
      for (int i = from; i < from + size; i++) {
        if (servers[i].health != AppServer.Health.LEFT) {
          hosts.add(host(i));
        }
      }
      last = WireForms.listed(seq(), true, hosts);
      tally.listBytes = Math.max(tally.listBytes, last.bytes());
    }
    return last;
  }

  private WireForms.Listed since(long version) {
    if (fault == Fault.WHOLE_ALWAYS
        || version < 0
        || version > seq()
        || seq() - version > Math.max(KEPT, size)) {
      return whole();
    }
    Set<Integer> changed = new LinkedHashSet<>(log.subList((int) version, log.size()));
    due = changed.size();
    for (int i = from; i < from + size && fault == Fault.ALL_AS_CHANGES; i++) {
      changed.add(i);
    }
    List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>();
    for (int index : changed) {
      hosts.add(host(index));
    }
    return WireForms.listed(seq(), false, hosts);
  }

  /** A server has changed: the watches are told shortly, with what else changes meanwhile. */
  void changed(AppServer s) {
    s.changedAt = agenda.now();
    s.changes++;
    log.add(s.index);
    tally.changesMade++;
    if (!arming) {
      arming = true;
      agenda.after(Assumed.BATCH, this::push);
    }
  }

  private void push() {
    arming = false;
    WireForms.Listed message = since(pushed);
    pushed = seq();
    if (fault == Fault.TELLS_HALF && ++pushes % 2 == 0) {
      return;
    }
    for (ModelNode node : watches) {
      send(node, message);
    }
  }

  private void send(ModelNode node, WireForms.Listed message) {
    tally.changesDue += message.whole() ? 0 : due;
    agenda.at(link.through(agenda.now(), message.bytes()), () -> node.listed(message));
  }

  /** A node's watch stands from now on, from the version that it has; -1 for none. */
  void watch(ModelNode node, long version) {
    if (version != seq()) {
      send(node, since(version));
    } else {
      agenda.after(Assumed.WAY, node::heard);
    }
    watches.add(node);
  }

  void unwatch(ModelNode node) {
    watches.remove(node);
  }

  /**
   * It tells something wrong, or right again, to all: the first so many servers as the whole list.
   */
  void tellWrong(double share, long back) {
    List<DiscoveryAgentEmulator.Host> hosts = new ArrayList<>();
    for (int i = from; i < from + (int) (share * size); i++) {
      if (servers[i].health != AppServer.Health.LEFT) {
        hosts.add(host(i));
      }
    }
    if (back == 0) {
      log.add(from);
      pushed = seq();
    }
    WireForms.Listed message = WireForms.listed(Math.max(0, seq() - back), true, hosts);
    watches.forEach(node -> send(node, message));
  }

  /** The whole list to all, as a version of its own. */
  void tellRight() {
    log.add(from);
    pushed = seq();
    watches.forEach(node -> send(node, whole()));
  }

  /** A node asks for all of it. */
  void askAnew(ModelNode node) {
    if (watches.contains(node)) {
      agenda.after(2 * Assumed.WAY, () -> send(node, whole()));
    }
  }
}
