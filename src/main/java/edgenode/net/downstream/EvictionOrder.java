package edgenode.net.downstream;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which connection makes room where all places are taken. A pure core: time (ms) is an argument and
 * never goes back. Each call costs O(1).
 *
 * <p>Crowds connect and say nothing, stop half way, or ask once and stay; ordinary clients come
 * back on connections that they keep, and some need two seconds for a command, with pauses. So one
 * that has never said a byte goes first: a client connects because it has something to ask. Then
 * one that has been idle longer than clients are promised; then one that stopped within a command;
 * then any idle one, the one used longest ago. One that waits for an answer never goes.
 *
 * @param <C> a connection
 */
final class EvictionOrder<C> {
  /** One that has said nothing at all may go after this (ms). */
  static final double SILENT_GRACE_MS = 500;

  /**
   * One on which no request is open may be ended after this (ms), whatever its client has in mind.
   */
  static final double IDLE_GRACE_MS = 2000;

  /**
   * One within a command may go when nothing has come for this long (ms): slow writers pause for up
   * to 0.6 s.
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

  /** By kind, the one that has been so for longest first. */
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

  /** A new connection, which has said nothing yet. */
  void connected(C connection, double nowMs) {
    Entry entry = new Entry();
    entries.put(connection, entry);
    setActivity(connection, entry, Activity.SILENT, nowMs);
  }

  /**
   * Bytes have come that are no whole command. Nothing changes for one that waits for an answer.
   */
  void partialCommandReceived(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null && entry.activity != Activity.AWAITING_RESPONSE) {
      setActivity(connection, entry, Activity.PARTIAL_COMMAND, nowMs);
    }
  }

  /** A whole command has come, or more of them: an answer is owed. */
  void commandReceived(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      setActivity(connection, entry, Activity.AWAITING_RESPONSE, nowMs);
    }
  }

  /** All that was owed is written. */
  void allResponsesWritten(C connection, double nowMs) {
    Entry entry = entries.get(connection);
    if (entry != null) {
      setActivity(connection, entry, Activity.IDLE, nowMs);
    }
  }

  /**
   * It is gone, or on its way out.
   *
   * @return since when it was what it was (ms), or infinity where it is not here any more
   */
  double remove(C connection) {
    Entry entry = entries.remove(connection);
    if (entry == null) {
      return Double.POSITIVE_INFINITY;
    }
    setActivity(
        connection, entry, Activity.AWAITING_RESPONSE, entry.sinceMs); // in no order any more
    return entry.sinceMs;
  }

  /**
   * The one that is to go so that another may come, or null where each waits for an answer or is
   * new.
   */
  C nextToEvict(double nowMs) {
    C first = oldest(silent, nowMs - SILENT_GRACE_MS);
    first = first != null ? first : oldest(idle, nowMs - IDLE_GRACE_MS);
    first = first != null ? first : oldest(withPartialCommand, nowMs - PARTIAL_COMMAND_GRACE_MS);
    return first != null ? first : oldest(idle, nowMs);
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
