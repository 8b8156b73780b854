package edgenode.store;

import edgenode.store.SegmentFormat.StoredRecord;
import edgenode.store.StoreDirectory.StorageIoException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads all that can be read of a folder, changing nothing: what {@code store check}, {@code dump}
 * and {@code repair} stand on. A key's latest version that is whole counts; where a place is
 * damaged, a later one may have stood there.
 */
final class StoreScan {
  /** A record with the segment it stands in. */
  record ScannedRecord(Segment segment, StoredRecord storedRecord) {}

  /**
   * A place that cannot be read: bytes from, to before. Torn: at the end of the last segment, as
   * after a crash.
   */
  record UnreadableRange(
      String fileName, long startOffset, long endOffset, String reason, boolean isTornTail) {}

  final Map<StoreKey, ScannedRecord> latestByKey = new TreeMap<>();
  final List<UnreadableRange> unreadableRanges = new ArrayList<>();
  long frameCount;
  long recordCount;
  long totalBytes;
  long latestTimeMs;

  /**
   * @param progress is told of each segment before it is read
   */
  static StoreScan scan(StoreDirectory disk, Consumer<String> progress)
      throws StorageIoException, StoreException {
    StoreScan s = new StoreScan();
    List<Long> ids = new ArrayList<>();
    List<String> names = disk.fileNames();
    long last = -1;
    try {
      List<long[]> told = Manifest.read(disk).segments();
      told.forEach(t -> ids.add(t[0]));
      last = ids.get(ids.size() - 1);
      for (long[] t : told) {
        long size =
            names.contains(Segment.fileName(t[0])) ? fileBytes(disk, Segment.fileName(t[0])) : 0;
        if (size == 0 || t[0] != last && size != t[1]) {
          s.unreadableRanges.add(
              new UnreadableRange(
                  Segment.fileName(t[0]),
                  Math.min(size, t[1]),
                  Math.max(size, t[1]),
                  size + " bytes, of " + t[1] + " when it was closed",
                  false));
        }
      }
    } catch (StorageIoException | StoreException e) {
      if (e instanceof StoreException known && known.reason() == StoreException.Reason.NEWER) {
        throw e;
      }
      s.unreadableRanges.add(
          new UnreadableRange(
              Manifest.FILE_NAME, 0, 0, e.getMessage() + "; every segment there is read", false));
      names.stream()
          .filter(n -> n.matches("[0-9a-f]{16}\\.seg"))
          .forEach(n -> ids.add(Long.parseLong(n.substring(0, 16), 16)));
    }
    for (long id : ids) {
      if (names.contains(Segment.fileName(id))) {
        progress.accept(Segment.fileName(id));
        s.scanSegment(disk, id, id == last);
      }
    }
    return s;
  }

  private static long fileBytes(StoreDirectory disk, String name) throws StorageIoException {
    StoreDirectory.StoreFile file = disk.open(name, false);
    try {
      return file.size();
    } finally {
      file.close();
    }
  }

  private void scanSegment(StoreDirectory disk, long id, boolean last)
      throws StorageIoException, StoreException {
    StoreDirectory.StoreFile file = disk.open(Segment.fileName(id), false);
    Segment s;
    try {
      s = new Segment(id, SegmentFormat.readSalt(file, id, Segment.fileName(id)), file);
    } catch (StoreException e) {
      if (e.reason() == StoreException.Reason.NEWER) {
        throw e;
      }
      unreadableRanges.add(
          new UnreadableRange(
              Segment.fileName(id), 0, file.size(), "no header: its frames cannot be told", false));
      file.close();
      return;
    }
    s.sizeBytes = file.size();
    totalBytes += s.sizeBytes;
    SegmentFormat.FrameReader reader = new SegmentFormat.FrameReader(file, s.salt, s.sizeBytes);
    long at = SegmentFormat.SEGMENT_HEADER_BYTES;
    int open =
        -1; // the last place that was lost, while no later frame says that it had been synced
    while (at < s.sizeBytes) {
      SegmentFormat.Frame f = reader.readFrame(at);
      if (f == null) {
        f = reader.findFrame(at + 1);
        unreadableRanges.add(
            new UnreadableRange(
                s.fileName, at, f == null ? s.sizeBytes : f.offset(), "no whole frame", last));
        open = open < 0 ? unreadableRanges.size() - 1 : open;
        if (f == null) {
          return;
        }
      }
      if (open >= 0 && f.durableOffset() > unreadableRanges.get(open).startOffset()) {
        for (int i = open; i < unreadableRanges.size(); i++) {
          UnreadableRange l = unreadableRanges.get(i);
          unreadableRanges.set(
              i,
              new UnreadableRange(
                  l.fileName,
                  l.startOffset,
                  l.endOffset,
                  "no whole frame, though it was synced",
                  false));
        }
        open = -1;
      }
      at = f.endOffset();
      frameCount++;
      latestTimeMs = Math.max(latestTimeMs, f.timeMs());
      if (open < 0
          || !unreadableRanges.get(open)
              .isTornTail) { // what follows a torn place was never to be there
        for (StoredRecord r : f.records()) {
          recordCount++;
          latestByKey.merge(
              r.key(),
              new ScannedRecord(s, r),
              (a, b) -> a.storedRecord.sequence() > b.storedRecord.sequence() ? a : b);
        }
      }
    }
  }

  boolean isDamaged() {
    return unreadableRanges.stream().anyMatch(l -> !l.isTornTail);
  }

  byte[] readValue(ScannedRecord f) throws StorageIoException, StoreException {
    return SegmentFormat.readValue(
        f.segment.file, f.segment.salt, f.storedRecord, f.segment.fileName);
  }
}
