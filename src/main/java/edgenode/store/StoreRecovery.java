package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Opens the segments that the manifest names and loads their keys into the index. A torn end of the
 * last segment is cut off, files that an interrupted compaction left are deleted; damage is an
 * error that names file and offset, and changes nothing.
 */
final class StoreRecovery {
  private final StoreDirectory directory;
  private final VersionIndex index;
  private final StoreClock clock;
  private final List<String> messages;
  private final List<Segment> segments = new ArrayList<>();
  private long nextSegmentId;
  private long lastSequence;
  private long syncedOffset;

  /**
   * @param messages takes what operators should know, a line each
   */
  StoreRecovery(
      StoreDirectory directory, VersionIndex index, StoreClock clock, List<String> messages) {
    this.directory = directory;
    this.index = index;
    this.clock = clock;
    this.messages = messages;
  }

  /** The segments opened, the oldest first. */
  List<Segment> segments() {
    return segments;
  }

  long nextSegmentId() {
    return nextSegmentId;
  }

  /** The greatest sequence number found. */
  long lastSequence() {
    return lastSequence;
  }

  /** Up to which offset the last segment is durable. */
  long syncedOffset() {
    return syncedOffset;
  }

  /**
   * Checks that a directory without a manifest holds no data: only an empty first segment may be.
   */
  static void checkEmpty(StoreDirectory directory, List<String> fileNames)
      throws StorageIoException, StoreException {
    for (String name : fileNames) {
      if (name.endsWith(".seg")
          && StoreDirectory.fileBytes(directory, name) > SegmentFormat.SEGMENT_HEADER_BYTES) {
        throw new StoreException(
            Reason.DAMAGED, Manifest.FILE_NAME + " is missing and " + name + " exists");
      }
    }
  }

  /** Recovers the store. */
  void run(List<String> fileNames) throws StorageIoException, StoreException {
    Manifest manifest = Manifest.read(directory);
    nextSegmentId = manifest.nextSegmentId();
    Set<String> listedFiles = listedFiles(manifest, fileNames);
    List<Manifest.Entry> entries = manifest.segments();
    for (int i = 0; i < entries.size(); i++) {
      Segment segment = openSegment(entries.get(i).id());
      if (i == entries.size() - 1) {
        truncateTornEnd(segment, loadFrames(segment));
      } else {
        loadClosedSegment(segment, entries.get(i).sizeBytes(), fileNames);
      }
    }
    // left by a compaction or a new segment that was interrupted
    for (String name : fileNames) {
      if (!listedFiles.contains(name) && Segment.isStoreFile(name)) {
        directory.delete(name);
      }
    }
  }

  private static Set<String> listedFiles(Manifest manifest, List<String> fileNames)
      throws StoreException {
    Set<String> listed = new HashSet<>();
    listed.add(Manifest.FILE_NAME);
    for (Manifest.Entry entry : manifest.segments()) {
      String segmentName = Segment.fileName(entry.id());
      if (!fileNames.contains(segmentName)) {
        throw new StoreException(Reason.DAMAGED, segmentName + " is missing");
      }
      listed.add(segmentName);
      listed.add(Segment.hintFileName(entry.id()));
    }
    return listed;
  }

  private Segment openSegment(long id) throws StorageIoException, StoreException {
    StoreFile file = directory.open(Segment.fileName(id), false);
    long salt = SegmentFormat.readSalt(file, id, Segment.fileName(id));
    Segment segment = new Segment(id, salt, file);
    segments.add(segment);
    segment.sizeBytes = file.size();
    return segment;
  }

  private void loadClosedSegment(Segment segment, long closedBytes, List<String> fileNames)
      throws StorageIoException, StoreException {
    if (segment.sizeBytes != closedBytes) {
      throw new StoreException(
          Reason.DAMAGED,
          segment.fileName
              + ": "
              + segment.sizeBytes
              + " bytes, but "
              + closedBytes
              + " when it was closed");
    }
    Optional<HintFile.Contents> hint =
        fileNames.contains(segment.hintFileName())
            ? HintFile.read(directory, segment)
            : Optional.empty();
    segment.isHintDone = hint.isPresent();
    if (hint.isPresent()) {
      observe(hint.get().latestTimeMs(), hint.get().lastSequence());
      hint.get().records().forEach(record -> index.load(segment, record));
      return;
    }
    long endOffset = loadFrames(segment);
    if (endOffset < segment.sizeBytes) {
      throw new StoreException(
          Reason.DAMAGED, segment.fileName + ", offset " + endOffset + ": no intact frame");
    }
  }

  private void observe(long timeMs, long sequence) {
    clock.advance(timeMs);
    lastSequence = Math.max(lastSequence, sequence);
  }

  /** Loads the frames of a segment; returns where the last intact one ends. */
  private long loadFrames(Segment segment) throws StorageIoException {
    FrameReader reader = new FrameReader(segment);
    long offset = SegmentFormat.SEGMENT_HEADER_BYTES;
    long sequence = 0;
    Frame frame = reader.readFrame(offset);
    while (frame != null && frame.sequence() > sequence) {
      frame.records().forEach(record -> index.load(segment, record));
      observe(frame.timeMs(), frame.sequence());
      sequence = frame.sequence();
      offset = frame.endOffset();
      frame = reader.readFrame(offset);
    }
    return offset;
  }

  /**
   * Cuts off what follows the last intact frame of the last segment: it was being written when the
   * process ended. Where a later frame says that this place had been durable, it is damage instead.
   */
  private void truncateTornEnd(Segment segment, long endOffset)
      throws StorageIoException, StoreException {
    syncedOffset = endOffset;
    if (endOffset == segment.sizeBytes) {
      return;
    }
    FrameReader reader = new FrameReader(segment);
    Frame later = reader.findFrame(endOffset + 1);
    while (later != null) {
      if (later.durableOffset() > endOffset) {
        throw new StoreException(
            Reason.DAMAGED,
            segment.fileName
                + ", offset "
                + endOffset
                + ": no intact frame, though it was synced before offset "
                + later.offset()
                + " was written");
      }
      later = reader.findFrame(later.endOffset());
    }
    messages.add(
        segment.fileName
            + ": a torn end of "
            + (segment.sizeBytes - endOffset)
            + " bytes cut off at offset "
            + endOffset);
    segment.file.truncate(endOffset);
    segment.file.sync();
    segment.sizeBytes = endOffset;
  }
}
