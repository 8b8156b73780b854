package edgenode.store;

/**
 * A version of a key: where it stands, and the one before it as long as a snapshot may want that.
 */
final class RecordVersion {
  /** Where the record stands now; compaction moves it. */
  record RecordLocation(Segment segment, SegmentFormat.StoredRecord storedRecord) {}

  final long sequence;
  final boolean isTombstone;
  final long expiresAtMs;

  /** The writer's: a tombstone, or known to have expired. */
  boolean isDeletedOrExpired;

  volatile RecordLocation location;
  volatile RecordVersion previous;

  RecordVersion(Segment segment, SegmentFormat.StoredRecord stored) {
    sequence = stored.sequence();
    isTombstone = stored.isTombstone();
    isDeletedOrExpired = isTombstone;
    expiresAtMs = stored.expiresAtMs();
    location = new RecordLocation(segment, stored);
  }

  boolean isAbsent(long now) {
    return isTombstone || expiresAtMs != 0 && expiresAtMs <= now;
  }
}
