package edgenode.net.downstream;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which connection is closed to make room for a new one. A pure core: time (ms) is an argument and
 * never decreases. Each call costs O(1).
 *
 * <p>In an overload, clients connect and send nothing, stop within a command, or send one command
 * and stay idle. Ordinary clients reuse their connections, and some need two seconds with pauses
 * for a command. The order is therefore: connections that never sent a byte, as a client connects
 * to ask something; connections that are idle for longer than clients are promised; connections
 * that stopped within a command; any idle connection, the least recently used first. A connection
 * that awaits a response is never evicted.
 *
 * @param <C> a connection
 */
final class EvictionOrder<C> {
  /** Time (ms) after which a connection that never sent a byte may be evicted. */
  static final double SILENT_GRACE_MS = 500;

  /** Time (ms) for which clients are promised that an idle connection stays open. */
  static final double IDLE_GRACE_MS = 2000;

  /**
   * Time (ms) without a byte after which a connection within a command may be evicted; slow clients
   * pause for up to 600 ms.
   */
  static final double PARTIAL_COMMAND_GRACE_MS = 1000;

  private enum Activity {
    SILENT,
    PARTIAL_COMMAND,
    IDLE,
    AWAITING_RESPONSE
  }

  private static final class Entry {
    private Activity activity = Activity.AWAITING_RESPONSE;
    private double sinceMs;
  }

  private final Map<C, Entry> entries = new HashMap<>();

  /** Connections by activity, each set in the order in which the activity began. */
  private final Set<C> silent = new LinkedHashSet<>();

  private final Set<C> withPartialCommand = new LinkedHashSet<>();
  private final Set<C> idle = new LinkedHashSet<>();

  private Set<C> orderOf(Activity activity) {
    return switch (activity) {
      case SILENT -> silent;
      case PARTIAL_COMMAND -> withPartialCommand;
      case IDLE -> idle;
      default -> null;
    };
  }

  private void setActivity(C connection, Entry entry, Activity activity, double nowMs) {
    if (entry.activity != Activity.AWAITING_RESPONSE) {
      orderOf(entry.activity).remove(connection);
    }
    entry.activity = activity;
    entry.sinceMs = nowMs;
    if (activity != Activity.AWAITING_RESPONSE) {
      orderOf(activity).add(connection);
    }
  }

  /** Adds a new connection. */
  void connected(C connection, double nowMs) {
    Entry entry = new Entry();
    entries.put(connection, entry);
    setActivity(connection, entry, Activity.SILENT, nowMs);
  }

  /** Part of a command was received. Changes nothing for a connection that awaits a response. */
  void partialCommandReceived(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null && entry.activity != Activity.AWAITING_RESPONSE) {
      setActivity(connection, entry, Activity.PARTIAL_COMMAND, nowMs);
    }
  }

  /** One or more complete commands were received. */
  void commandReceived(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      setActivity(connection, entry, Activity.AWAITING_RESPONSE, nowMs);
    }
  }

  /** All commands are answered. */
  void allResponsesWritten(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      setActivity(connection, entry, Activity.IDLE, nowMs);
    }
  }

  /**
   * Removes a connection that is closed or closing.
   *
   * @return when its last activity began (ms), or infinity where it was not known
   */
  double remove(C connection) {
    Entry entry = entries.remove(connection);
    if (entry == null) {
      return Double.POSITIVE_INFINITY;
    }
    setActivity(connection, entry, Activity.AWAITING_RESPONSE, entry.sinceMs); // leaves its set
    return entry.sinceMs;
  }

  /**
   * Returns the connection to evict, or null where each awaits a response or is within its grace
   * period.
   */
  C nextToEvict(double nowMs) {
    C first = oldest(silent, nowMs - SILENT_GRACE_MS);
    first = first != null ? first : oldest(idle, nowMs - IDLE_GRACE_MS);
    first = first != null ? first : oldest(withPartialCommand, nowMs - PARTIAL_COMMAND_GRACE_MS);
    return first != null ? first : oldest(idle, nowMs);
  }

  /**
   * Returns when {@link #nextToEvict} is not null by time alone, which may have passed; infinity
   * where each connection awaits a response.
   */
  double nextEvictableMs() {
    double silentMs = beginOfOldest(silent) + SILENT_GRACE_MS;
    double partialMs = beginOfOldest(withPartialCommand) + PARTIAL_COMMAND_GRACE_MS;
    return Math.min(beginOfOldest(idle), Math.min(silentMs, partialMs));
  }

  private double beginOfOldest(Set<C> order) {
    Iterator<C> iterator = order.iterator();
    return iterator.hasNext() ? entries.get(iterator.next()).sinceMs : Double.POSITIVE_INFINITY;
  }

  private C oldest(Set<C> order, double sinceLimitMs) {
    Iterator<C> iterator = order.iterator();
    if (!iterator.hasNext()) {
      return null;
    }
    C first = iterator.next();
    return entries.get(first).sinceMs <= sinceLimitMs ? first : null;
  }
}
