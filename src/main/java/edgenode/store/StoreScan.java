package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads everything readable of a directory without changing it: the base of {@code store check},
 * {@code stats}, {@code dump} and {@code repair}. The latest intact record of a key counts; a later
 * one may have stood at a place that is damaged.
 */
final class StoreScan {
  /** A record with the segment that holds it. */
  record ScannedRecord(Segment segment, StoredRecord storedRecord) {
    byte[] readValue() throws StorageIoException, StoreException {
      return SegmentFormat.readValue(segment, storedRecord);
    }
  }

  /**
   * A range of bytes that cannot be read.
   *
   * @param endOffset the first byte after it
   * @param isTornEnd whether it is the end of the last segment, as after a crash
   */
  record UnreadableRange(
      String fileName, long startOffset, long endOffset, String reason, boolean isTornEnd) {}

  private static final int NONE = -1;

  private final StoreDirectory directory;
  private final Map<StoreKey, ScannedRecord> latestByKey = new TreeMap<>();
  private final List<UnreadableRange> unreadableRanges = new ArrayList<>();
  private long frameCount;
  private long recordCount;
  private long totalBytes;
  private long latestTimeMs;

  private StoreScan(StoreDirectory directory) {
    this.directory = directory;
  }

  /**
   * Reads a directory.
   *
   * @param onSegment is given the name of each segment before it is read
   * @throws StoreException NEWER where a later version of the program wrote it
   */
  static StoreScan scan(StoreDirectory directory, Consumer<String> onSegment)
      throws StorageIoException, StoreException {
    StoreScan scan = new StoreScan(directory);
    List<String> fileNames = directory.fileNames();
    List<Long> segmentIds = new ArrayList<>();
    long lastId = NONE;
    try {
      List<Manifest.Entry> entries = Manifest.read(directory).segments();
      entries.forEach(entry -> segmentIds.add(entry.id()));
      lastId = segmentIds.get(segmentIds.size() - 1);
      scan.checkSizes(entries, fileNames);
    } catch (StorageIoException | StoreException e) {
      if (isNewer(e)) {
        throw e;
      }
      scan.addUnreadable(
          Manifest.FILE_NAME, 0, 0, e.getMessage() + "; every segment found is read");
      fileNames.stream()
          .filter(Segment::isSegmentFile)
          .forEach(name -> segmentIds.add(Segment.idOf(name)));
    }
    for (long id : segmentIds) {
      if (fileNames.contains(Segment.fileName(id))) {
        onSegment.accept(Segment.fileName(id));
        scan.scanSegment(id, id == lastId);
      }
    }
    return scan;
  }

  private static boolean isNewer(Exception error) {
    return error instanceof StoreException known && known.reason() == Reason.NEWER;
  }

  private void addUnreadable(String fileName, long startOffset, long endOffset, String reason) {
    unreadableRanges.add(new UnreadableRange(fileName, startOffset, endOffset, reason, false));
  }

  /** Compares the sizes of closed segments with those in the manifest. */
  private void checkSizes(List<Manifest.Entry> entries, List<String> fileNames)
      throws StorageIoException {
    long lastId = entries.get(entries.size() - 1).id();
    for (Manifest.Entry entry : entries) {
      String name = Segment.fileName(entry.id());
      long size = fileNames.contains(name) ? StoreDirectory.fileBytes(directory, name) : 0;
      if (size == 0 || entry.id() != lastId && size != entry.sizeBytes()) {
        addUnreadable(
            name,
            Math.min(size, entry.sizeBytes()),
            Math.max(size, entry.sizeBytes()),
            size + " bytes, but " + entry.sizeBytes() + " when it was closed");
      }
    }
  }

  private void scanSegment(long id, boolean isLast) throws StorageIoException, StoreException {
    StoreFile file = directory.open(Segment.fileName(id), false);
    Segment segment;
    try {
      segment = new Segment(id, SegmentFormat.readSalt(file, id, Segment.fileName(id)), file);
    } catch (StoreException e) {
      if (isNewer(e)) {
        throw e;
      }
      addUnreadable(
          Segment.fileName(id), 0, file.size(), "no header: its frames cannot be checked");
      file.close();
      return;
    }
    segment.sizeBytes = file.size();
    totalBytes += segment.sizeBytes;
    scanFrames(segment, isLast);
  }

  private void scanFrames(Segment segment, boolean isLast) throws StorageIoException {
    FrameReader reader = new FrameReader(segment);
    long offset = SegmentFormat.SEGMENT_HEADER_BYTES;
    // the first unreadable range of which no later frame says that it had been durable
    int firstUnconfirmed = NONE;
    while (offset < segment.sizeBytes) {
      Frame frame = reader.readFrame(offset);
      if (frame == null) {
        frame = reader.findFrame(offset + 1);
        long endOffset = frame == null ? segment.sizeBytes : frame.offset();
        unreadableRanges.add(
            new UnreadableRange(segment.fileName, offset, endOffset, "no intact frame", isLast));
        firstUnconfirmed =
            firstUnconfirmed == NONE ? unreadableRanges.size() - 1 : firstUnconfirmed;
        if (frame == null) {
          return;
        }
      }
      if (firstUnconfirmed != NONE
          && frame.durableOffset() > unreadableRanges.get(firstUnconfirmed).startOffset()) {
        markDamaged(firstUnconfirmed);
        firstUnconfirmed = NONE;
      }
      offset = frame.endOffset();
      frameCount++;
      latestTimeMs = Math.max(latestTimeMs, frame.timeMs());
      // what follows a torn place was never completed
      if (firstUnconfirmed == NONE || !unreadableRanges.get(firstUnconfirmed).isTornEnd()) {
        addRecords(segment, frame);
      }
    }
  }

  /** A later frame says that these ranges had been durable: they are damage, no torn end. */
  private void markDamaged(int fromIndex) {
    for (int i = fromIndex; i < unreadableRanges.size(); i++) {
      UnreadableRange range = unreadableRanges.get(i);
      unreadableRanges.set(
          i,
          new UnreadableRange(
              range.fileName,
              range.startOffset,
              range.endOffset,
              "no intact frame, though it was synced",
              false));
    }
  }

  private void addRecords(Segment segment, Frame frame) {
    for (StoredRecord record : frame.records()) {
      recordCount++;
      latestByKey.merge(record.key(), new ScannedRecord(segment, record), StoreScan::laterOf);
    }
  }

  private static ScannedRecord laterOf(ScannedRecord known, ScannedRecord other) {
    return known.storedRecord.sequence() > other.storedRecord.sequence() ? known : other;
  }

  /** The latest intact record of each key, tombstones included, in the order of the keys. */
  Map<StoreKey, ScannedRecord> latestByKey() {
    return latestByKey;
  }

  /** What cannot be read, in the order of reading. */
  List<UnreadableRange> unreadableRanges() {
    return unreadableRanges;
  }

  long frameCount() {
    return frameCount;
  }

  long recordCount() {
    return recordCount;
  }

  /** Bytes of all segments read. */
  long totalBytes() {
    return totalBytes;
  }

  /** The latest time of a frame (ms since 1970). */
  long latestTimeMs() {
    return latestTimeMs;
  }

  /** Whether anything but a torn end cannot be read. */
  boolean isDamaged() {
    return unreadableRanges.stream().anyMatch(range -> !range.isTornEnd());
  }
}
