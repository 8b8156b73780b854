package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies the versions still needed of neighbouring segments into a new one, in steps. Sequence
 * numbers stay, so it does not matter in which segment a record stands. A tombstone stays while a
 * segment before the inputs may hold an older record of its key; for the same reason an expired
 * value becomes a tombstone. Writer thread only.
 */
final class Compaction {
  private static final int MAX_FRAME_BYTES =
      SegmentFormat.FRAME_HEADER_BYTES + WriteBatch.MAX_BATCH_BYTES;

  private static final int BUFFER_BYTES = MAX_FRAME_BYTES + (1 << 16);

  private final List<Segment> inputs;
  private final Segment output;

  /** Whether there is no older segment before the inputs. */
  private final boolean includesOldest;

  private final VersionIndex index;
  private final long nowMs;
  private final Map<RecordVersion, StoredRecord> copied = new LinkedHashMap<>();
  private final List<StoredRecord> dropped = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private int inputIndex;
  private long inputOffset = SegmentFormat.SEGMENT_HEADER_BYTES;

  /**
   * @param nowMs the time at which values count as expired (ms since 1970)
   */
  Compaction(
      List<Segment> inputs,
      boolean includesOldest,
      Segment output,
      VersionIndex index,
      long nowMs) {
    this.inputs = inputs;
    this.includesOldest = includesOldest;
    this.output = output;
    this.index = index;
    this.nowMs = nowMs;
  }

  List<Segment> inputs() {
    return inputs;
  }

  Segment output() {
    return output;
  }

  /** Where the records of the versions that were copied stand in the output. */
  Map<RecordVersion, StoredRecord> copied() {
    return copied;
  }

  /** Deleted and expired records that were left out. */
  List<StoredRecord> dropped() {
    return dropped;
  }

  /**
   * Copies on until about so many bytes of the inputs were read.
   *
   * @return whether there is more to copy; if not, the output is complete and durable
   * @throws StoreException DAMAGED where an input cannot be read
   */
  boolean step(int bytes) throws StorageIoException, StoreException {
    long remainingBytes = bytes;
    while (remainingBytes > 0 && inputIndex < inputs.size()) {
      Segment input = inputs.get(inputIndex);
      if (inputOffset >= input.sizeBytes) {
        inputIndex++;
        inputOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
        continue;
      }
      FrameReader reader = new FrameReader(input);
      while (remainingBytes > 0 && inputOffset < input.sizeBytes) {
        Frame frame = reader.readFrame(inputOffset);
        if (frame == null) {
          throw new StoreException(
              Reason.DAMAGED, input.fileName + ", offset " + inputOffset + ": no intact frame");
        }
        copyFrame(input, frame);
        remainingBytes -= frame.endOffset() - inputOffset;
        inputOffset = frame.endOffset();
      }
    }
    flush();
    if (inputIndex < inputs.size()) {
      return true;
    }
    output.file.sync();
    return false;
  }

  private void copyFrame(Segment input, Frame frame) throws StorageIoException, StoreException {
    FrameEncoder copy = null;
    for (StoredRecord record : frame.records()) {
      RecordVersion version = index.findVersion(record);
      if (version == null) {
        continue;
      }
      boolean isAbsent = version.isAbsent(nowMs);
      if (isAbsent && includesOldest && version.previous == null) {
        dropped.add(record);
        continue;
      }
      byte[] value = isAbsent ? null : SegmentFormat.readValue(input, record);
      if (copy == null) {
        if (buffer.remaining() < MAX_FRAME_BYTES) {
          flush();
        }
        copy = new FrameEncoder(buffer, output, frame.sequence(), frame.timeMs(), 0);
      }
      long expiresAtMs = isAbsent ? 0 : record.expiresAtMs();
      copied.put(version, copy.add(record.key(), value, expiresAtMs));
    }
    if (copy != null) {
      copy.finish();
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
