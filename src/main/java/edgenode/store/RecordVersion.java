package edgenode.store;

/**
 * A version of a key in the index: the place of its record, and the version before it as long as a
 * snapshot may need that.
 */
final class RecordVersion {
  final long sequence;
  final boolean isTombstone;

  /** When it expires (ms since 1970), 0 for never. */
  final long expiresAtMs;

  /** Writer thread only: whether it is a tombstone or was found to have expired. */
  boolean isDeletedOrExpired;

  volatile RecordLocation location;

  /** The next older version, or null. */
  volatile RecordVersion previous;

  RecordVersion(Segment segment, StoredRecord storedRecord) {
    sequence = storedRecord.sequence();
    isTombstone = storedRecord.isTombstone();
    isDeletedOrExpired = isTombstone;
    expiresAtMs = storedRecord.expiresAtMs();
    location = new RecordLocation(segment, storedRecord);
  }

  StoreKey key() {
    return location.storedRecord().key();
  }

  /** Whether the key has no value in this version at a time (ms since 1970). */
  boolean isAbsent(long nowMs) {
    return isTombstone || expiresAtMs != 0 && expiresAtMs <= nowMs;
  }
}
