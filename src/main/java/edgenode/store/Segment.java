package edgenode.store;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One file of the log. The file stays open while a read uses it, also after compaction has deleted
 * it. Fields that are not final belong to the writer thread.
 */
final class Segment {
  private static final String SUFFIX = ".seg";
  private static final String HINT_SUFFIX = ".hint";
  private static final int ID_DIGITS = 16;

  final long id;
  final String fileName;
  final long salt;
  final StoreFile file;

  /** All bytes of the file. */
  long sizeBytes = SegmentFormat.SEGMENT_HEADER_BYTES;

  /** Bytes of records that the index points at, with a frame header for each. */
  long liveBytes;

  /** Of the live bytes, those of tombstones and of expired values. */
  long tombstoneBytes;

  /** Whether its hint was read, or written or tried to be. */
  boolean isHintDone;

  /** One of the engine, and one for each read under way. */
  private final AtomicInteger references = new AtomicInteger(1);

  Segment(long id, long salt, StoreFile file) {
    this.id = id;
    this.salt = salt;
    this.file = file;
    fileName = fileName(id);
  }

  static String fileName(long id) {
    return String.format("%016x", id) + SUFFIX;
  }

  static String hintFileName(long id) {
    return String.format("%016x", id) + HINT_SUFFIX;
  }

  String hintFileName() {
    return hintFileName(id);
  }

  /** Whether this is the name of a segment file. */
  static boolean isSegmentFile(String name) {
    return name.matches("[0-9a-f]{16}\\.seg");
  }

  /** Whether this is the name of a file that the store may create besides the manifest. */
  static boolean isStoreFile(String name) {
    return name.matches("[0-9a-f]{16}\\.(seg|hint)|.*\\.new");
  }

  /** The id in the name of a segment file. */
  static long idOf(String fileName) {
    return Long.parseLong(fileName.substring(0, ID_DIGITS), 16);
  }

  /** Keeps the file open until {@link #release}; false once it has been deleted. Any thread. */
  boolean tryRetain() {
    return references.getAndUpdate(count -> count > 0 ? count + 1 : 0) > 0;
  }

  /** Closes the file where this was the last reference. Any thread. */
  void release() {
    if (references.decrementAndGet() == 0) {
      file.close();
    }
  }

  /**
   * The bytes that remain if this segment is compacted.
   *
   * @param isOldest whether there is no older segment: then its tombstones are dropped as well
   */
  long bytesAfterCompaction(boolean isOldest) {
    return liveBytes - (isOldest ? tombstoneBytes : 0);
  }

  /** The index points at this version from now on. */
  void addVersion(RecordVersion version) {
    liveBytes += occupiedBytes(version);
    tombstoneBytes += version.isDeletedOrExpired ? occupiedBytes(version) : 0;
  }

  /** The index no longer points at this version. */
  void removeVersion(RecordVersion version) {
    liveBytes -= occupiedBytes(version);
    tombstoneBytes -= version.isDeletedOrExpired ? occupiedBytes(version) : 0;
  }

  private static long occupiedBytes(RecordVersion version) {
    return version.location.storedRecord().lengthBytes() + SegmentFormat.FRAME_HEADER_BYTES;
  }

  /** This version has expired: it counts as a tombstone from now on. */
  void markExpired(RecordVersion version) {
    removeVersion(version);
    version.isDeletedOrExpired = true;
    addVersion(version);
  }
}
