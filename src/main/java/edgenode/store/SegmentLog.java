package edgenode.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The append path: the segments of a directory, of which the last, the active one, is written to,
 * and the manifest that names them. Writer thread only. After a {@link StorageIoException} what the
 * files hold is not known, and nothing more may be written.
 */
final class SegmentLog {
  private static final int INITIAL_BUFFER_BYTES = 1 << 16;

  private final StoreDirectory directory;

  /** A segment of this size is followed by a new one. */
  private final long maxSegmentBytes;

  private final LongSupplier saltSource;

  /** The oldest first; the last one is the active one. */
  private final List<Segment> segments = new ArrayList<>();

  /** Frames that are not in the file yet. */
  private ByteBuffer writeBuffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  private long nextSegmentId = 1;
  private long lastSequence;

  /** Up to which offset the active segment is durable. */
  private long syncedOffset;

  private long writtenBytes;

  /**
   * @param saltSource gives each segment a number that hardly any other one has
   */
  SegmentLog(StoreDirectory directory, long maxSegmentBytes, LongSupplier saltSource) {
    this.directory = directory;
    this.maxSegmentBytes = maxSegmentBytes;
    this.saltSource = saltSource;
  }

  /** Begins the log of an empty directory. */
  void create() throws StorageIoException {
    segments.add(createSegment());
    writeManifest(segments);
  }

  /** Continues the log that recovery found. */
  void restore(StoreRecovery recovery) {
    segments.addAll(recovery.segments());
    nextSegmentId = recovery.nextSegmentId();
    lastSequence = recovery.lastSequence();
    syncedOffset = recovery.syncedOffset();
  }

  /** A new, empty segment that no manifest names yet; durable on return. */
  Segment createSegment() throws StorageIoException {
    long id = nextSegmentId++;
    long salt = saltSource.getAsLong();
    StoreFile file = directory.open(Segment.fileName(id), true);
    file.write(SegmentFormat.segmentHeader(id, salt), 0);
    file.sync();
    directory.syncDirectory();
    return new Segment(id, salt, file);
  }

  private void writeManifest(List<Segment> listed) throws StorageIoException {
    List<Manifest.Entry> entries = new ArrayList<>();
    for (Segment segment : listed) {
      entries.add(new Manifest.Entry(segment.id, segment.sizeBytes));
    }
    new Manifest(nextSegmentId, entries).write(directory);
  }

  /** All segments, the oldest first; not to be changed. */
  List<Segment> segments() {
    return segments;
  }

  Segment activeSegment() {
    return segments.get(segments.size() - 1);
  }

  /** The sequence number of the last frame. */
  long lastSequence() {
    return lastSequence;
  }

  /** Bytes written since the last call. */
  long takeWrittenBytes() {
    long bytes = writtenBytes;
    writtenBytes = 0;
    return bytes;
  }

  /** Discards what is in the buffer. */
  void clearBuffer() {
    writeBuffer.clear();
  }

  /**
   * Appends a batch as one frame, with the next sequence number. It may stay in the buffer until
   * {@link #flush}.
   *
   * @return the versions written, in the batch's order
   */
  List<RecordVersion> append(WriteBatch batch, long timeMs) throws StorageIoException {
    int frameBytes = SegmentFormat.FRAME_HEADER_BYTES;
    for (Map.Entry<StoreKey, WriteBatch.Mutation> entry : batch.mutations.entrySet()) {
      frameBytes += SegmentFormat.recordBytes(entry.getKey(), entry.getValue().valueBytes());
    }
    if (activeSegment().sizeBytes + writeBuffer.position() >= maxSegmentBytes) {
      flush();
      roll();
    }
    if (writeBuffer.remaining() < frameBytes) {
      flush();
      writeBuffer =
          writeBuffer.capacity() < frameBytes ? ByteBuffer.allocate(frameBytes) : writeBuffer;
    }
    Segment segment = activeSegment();
    FrameEncoder frame =
        new FrameEncoder(writeBuffer, segment, ++lastSequence, timeMs, syncedOffset);
    List<RecordVersion> versions = new ArrayList<>(batch.size());
    for (Map.Entry<StoreKey, WriteBatch.Mutation> entry : batch.mutations.entrySet()) {
      WriteBatch.Mutation mutation = entry.getValue();
      StoredRecord record = frame.add(entry.getKey(), mutation.value(), mutation.expiresAtMs());
      versions.add(new RecordVersion(segment, record));
    }
    frame.finish();
    return versions;
  }

  /** Writes the buffer to the active segment. */
  void flush() throws StorageIoException {
    if (writeBuffer.position() > 0) {
      writeBuffer.flip();
      int length = writeBuffer.limit();
      activeSegment().file.write(writeBuffer, activeSegment().sizeBytes);
      activeSegment().sizeBytes += length;
      writtenBytes += length;
      writeBuffer.clear();
    }
  }

  /**
   * Begins a new active segment. The full one is made durable first, so that only the last segment
   * can have a torn end.
   */
  private void roll() throws StorageIoException {
    activeSegment().file.sync();
    segments.add(createSegment());
    syncedOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
    writeManifest(segments);
  }

  /** Returns once everything flushed is durable. */
  void sync() throws StorageIoException {
    activeSegment().file.sync();
    syncedOffset = activeSegment().sizeBytes;
  }

  /**
   * Ends the log with an empty frame. It says that all before was durable, so that later damage at
   * the end is distinguished from a torn write.
   */
  void appendCloseMarker(long timeMs) throws StorageIoException {
    clearBuffer();
    new FrameEncoder(writeBuffer, activeSegment(), ++lastSequence, timeMs, syncedOffset).finish();
    flush();
    activeSegment().file.sync();
  }

  /**
   * Puts the output of a compaction in the place of its inputs, which neighbour each other; the
   * output is dropped where it is empty. Durable on return; the files stay.
   */
  void replace(List<Segment> inputs, Segment output) throws StorageIoException {
    List<Segment> replaced = new ArrayList<>(segments);
    replaced.add(replaced.indexOf(inputs.get(0)), output);
    replaced.removeAll(inputs);
    if (output.sizeBytes == SegmentFormat.SEGMENT_HEADER_BYTES) {
      replaced.remove(output);
    }
    writeManifest(replaced);
    segments.clear();
    segments.addAll(replaced);
  }

  /** Closes the files, except those that a read still uses. */
  void releaseSegments() {
    segments.forEach(Segment::release);
  }
}
