package edgenode.store;

/**
 * A version of a key: where it stands, and the one before it as long as a snapshot may want that.
 */
final class Slot {
  /** Where the record stands now; compaction moves it. */
  record Place(Segment segment, Frames.Stored stored) {}

  final long seq;
  final boolean tombstone;
  final long expires;

  /** The writer's: a tombstone, or known to have expired. */
  boolean gone;

  volatile Place place;
  volatile Slot prev;

  Slot(Segment segment, Frames.Stored stored) {
    seq = stored.seq();
    tombstone = stored.tombstone();
    gone = tombstone;
    expires = stored.expires();
    place = new Place(segment, stored);
  }

  boolean absent(long now) {
    return tombstone || expires != 0 && expires <= now;
  }
}
