package edgenode.store;

import edgenode.store.SegmentFormat.StoredRecord;
import edgenode.store.StoreDirectory.StorageIoException;
import edgenode.store.StoreException.Reason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Copies what is still wanted of neighbouring segments into a new one, in steps. Sequence numbers
 * stay, so that it matters nowhere in which file a record stands. A tombstone stays while a segment
 * before these may hold an older record of its key; what has expired is kept as a tombstone, for
 * the same reason.
 */
final class Compaction {
  final List<Segment> inputs;
  final Segment output;
  final Map<RecordVersion, StoredRecord> copied = new LinkedHashMap<>();
  final List<StoredRecord> dropped = new ArrayList<>();
  private final boolean includesOldest;
  private final Function<StoredRecord, RecordVersion> currentVersion;
  private final long nowMs;
  private final ByteBuffer buffer =
      ByteBuffer.allocate(
          SegmentFormat.FRAME_HEADER_BYTES + WriteBatch.MAX_BATCH_BYTES + (1 << 16));
  private int inputIndex;
  private long inputOffset = SegmentFormat.SEGMENT_HEADER_BYTES;

  Compaction(
      List<Segment> run,
      boolean oldest,
      Segment output,
      Function<StoredRecord, RecordVersion> current,
      long now) {
    this.inputs = run;
    this.includesOldest = oldest;
    this.output = output;
    this.currentVersion = current;
    this.nowMs = now;
  }

  /**
   * Goes on for about so many bytes of the old segments; false when the new one is whole and lasts.
   */
  boolean step(int bytes) throws StorageIoException, StoreException {
    long left = bytes;
    while (left > 0 && inputIndex < inputs.size()) {
      Segment s = inputs.get(inputIndex);
      if (inputOffset >= s.sizeBytes) {
        inputIndex++;
        inputOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
        continue;
      }
      SegmentFormat.FrameReader reader = new SegmentFormat.FrameReader(s.file, s.salt, s.sizeBytes);
      while (left > 0 && inputOffset < s.sizeBytes) {
        SegmentFormat.Frame f = reader.readFrame(inputOffset);
        if (f == null) {
          throw new StoreException(
              Reason.DAMAGED, s.fileName + ", offset " + inputOffset + ": no whole frame");
        }
        copyFrame(s, f);
        left -= f.endOffset() - inputOffset;
        inputOffset = f.endOffset();
      }
    }
    flush();
    if (inputIndex < inputs.size()) {
      return true;
    }
    output.file.sync();
    return false;
  }

  private void copyFrame(Segment s, SegmentFormat.Frame f)
      throws StorageIoException, StoreException {
    int from = -1;
    int count = 0;
    for (StoredRecord r : f.records()) {
      RecordVersion slot = currentVersion.apply(r);
      if (slot == null) {
        continue;
      }
      boolean gone = slot.isAbsent(nowMs);
      if (gone && includesOldest && slot.previous == null) {
        dropped.add(r);
        continue;
      }
      byte[] value = gone ? null : SegmentFormat.readValue(s.file, s.salt, r, s.fileName);
      if (from < 0) {
        if (buffer.remaining() < SegmentFormat.FRAME_HEADER_BYTES + WriteBatch.MAX_BATCH_BYTES) {
          flush();
        }
        from = SegmentFormat.beginFrame(buffer, f.sequence(), f.timeMs(), 0);
      }
      copied.put(
          slot,
          SegmentFormat.writeRecord(
              buffer,
              output.salt,
              output.sizeBytes + buffer.position(),
              r.key(),
              r.sequence(),
              value,
              gone ? 0 : r.expiresAtMs()));
      count++;
    }
    if (from >= 0) {
      SegmentFormat.endFrame(buffer, from, output.salt, output.sizeBytes + from, count);
    }
  }

  private void flush() throws StorageIoException {
    buffer.flip();
    int length = buffer.limit();
    output.file.write(buffer, output.sizeBytes);
    output.sizeBytes += length;
    buffer.clear();
  }
}
