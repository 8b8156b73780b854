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
final class Places<C> {
  /** One that has said nothing at all may go after this (ms). */
  static final double ASKS_WITHIN = 500;

  /**
   * One on which no request is open may be ended after this (ms), whatever its client has in mind.
   */
  static final double KEPT = 2000;

  /**
   * One within a command may go when nothing has come for this long (ms): slow writers pause for up
   * to 0.6 s.
   */
  static final double PAUSE = 1000;

  private enum Kind {
    SILENT,
    HALF,
    IDLE,
    BUSY
  }

  private static final class Place {
    private Kind kind = Kind.BUSY;
    private double since;
  }

  private final Map<C, Place> places = new HashMap<>();

  /** By kind, the one that has been so for longest first. */
  private final Set<C> silent = new LinkedHashSet<>();

  private final Set<C> half = new LinkedHashSet<>();
  private final Set<C> idle = new LinkedHashSet<>();

  private Set<C> of(Kind kind) {
    return switch (kind) {
      case SILENT -> silent;
      case HALF -> half;
      case IDLE -> idle;
      default -> null;
    };
  }

  private void put(C c, Place place, Kind kind, double now) {
    if (place.kind != Kind.BUSY) {
      of(place.kind).remove(c);
    }
    place.kind = kind;
    place.since = now;
    if (kind != Kind.BUSY) {
      of(kind).add(c);
    }
  }

  /** A new connection, which has said nothing yet. */
  void entered(C c, double now) {
    Place place = new Place();
    places.put(c, place);
    put(c, place, Kind.SILENT, now);
  }

  /**
   * Bytes have come that are no whole command. Nothing changes for one that waits for an answer.
   */
  void bytes(C c, double now) {
    Place place = places.get(c);
    if (place != null && place.kind != Kind.BUSY) {
      put(c, place, Kind.HALF, now);
    }
  }

  /** A whole command has come, or more of them: an answer is owed. */
  void owed(C c, double now) {
    Place place = places.get(c);
    if (place != null) {
      put(c, place, Kind.BUSY, now);
    }
  }

  /** All that was owed is written. */
  void answered(C c, double now) {
    Place place = places.get(c);
    if (place != null) {
      put(c, place, Kind.IDLE, now);
    }
  }

  /**
   * It is gone, or on its way out.
   *
   * @return since when it was what it was (ms), or infinity where it is not here any more
   */
  double left(C c) {
    Place place = places.remove(c);
    if (place == null) {
      return Double.POSITIVE_INFINITY;
    }
    put(c, place, Kind.BUSY, place.since); // in no order any more
    return place.since;
  }

  /**
   * The one that is to go so that another may come, or null where each waits for an answer or is
   * new.
   */
  C goes(double now) {
    C first = longest(silent, now - ASKS_WITHIN);
    first = first != null ? first : longest(idle, now - KEPT);
    first = first != null ? first : longest(half, now - PAUSE);
    return first != null ? first : longest(idle, now);
  }

  private C longest(Set<C> kind, double before) {
    Iterator<C> it = kind.iterator();
    if (!it.hasNext()) {
      return null;
    }
    C first = it.next();
    return places.get(first).since <= before ? first : null;
  }
}
