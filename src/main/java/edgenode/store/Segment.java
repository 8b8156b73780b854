package edgenode.store;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One file of the log. Its file stays open as long as a read uses it, also after compaction has
 * taken it away.
 */
final class Segment {
  final long id;
  final String fileName;
  final long salt;
  final StoreDirectory.StoreFile file;

  /**
   * The writer's: bytes in all, of them those that the index points at, and of these those of
   * tombstones.
   */
  long sizeBytes;

  long liveBytes;
  long tombstoneBytes;
  boolean isHintDone;
  private final AtomicInteger references = new AtomicInteger(1);

  Segment(long id, long salt, StoreDirectory.StoreFile file) {
    this.id = id;
    this.salt = salt;
    this.file = file;
    fileName = fileName(id);
    sizeBytes = SegmentFormat.SEGMENT_HEADER_BYTES;
  }

  static String fileName(long id) {
    return String.format("%016x.seg", id);
  }

  String hintFileName() {
    return hintFileName(id);
  }

  static String hintFileName(long id) {
    return String.format("%016x.hint", id);
  }

  /** False once it has been taken away: what was sought has moved. */
  boolean tryRetain() {
    return references.getAndUpdate(n -> n > 0 ? n + 1 : 0) > 0;
  }

  void release() {
    if (references.decrementAndGet() == 0) {
      file.close();
    }
  }

  /**
   * What stays if this is compacted, with the frames that hold it; with no older segment tombstones
   * go too.
   */
  long bytesAfterCompaction(boolean oldest) {
    return liveBytes - (oldest ? tombstoneBytes : 0);
  }

  /** A version that the index points at has come (1) or gone (-1). */
  void addVersion(RecordVersion s, int sign) {
    long bytes = s.location.storedRecord().lengthBytes() + SegmentFormat.FRAME_HEADER_BYTES;
    liveBytes += sign * bytes;
    tombstoneBytes += s.isDeletedOrExpired ? sign * bytes : 0;
  }

  /** One of them has expired: it is as good as a tombstone from now on. */
  void markExpired(RecordVersion s) {
    addVersion(s, -1);
    s.isDeletedOrExpired = true;
    addVersion(s, 1);
  }
}
