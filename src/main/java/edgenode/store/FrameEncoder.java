package edgenode.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes one frame at the end of a buffer that will be written at the end of a segment. Records
 * are added in order, then {@link #finish} fills in the header. The caller sees to it that the
 * buffer has room.
 */
final class FrameEncoder {
  private final ByteBuffer target;
  private final long salt;
  private final long sequence;

  /** Where the frame begins in the buffer. */
  private final int startIndex;

  /** Where it will begin in the segment (bytes). */
  private final long startOffset;

  private int recordCount;

  /**
   * Begins a frame.
   *
   * @param timeMs the time of writing (ms since 1970)
   * @param durableOffset up to which offset the segment is known to be durable
   */
  FrameEncoder(ByteBuffer target, Segment segment, long sequence, long timeMs, long durableOffset) {
    this.target = target;
    this.sequence = sequence;
    salt = segment.salt;
    startIndex = target.position();
    startOffset = segment.sizeBytes + startIndex;
    target.putInt(0).putInt(0).putLong(sequence).putLong(timeMs).putLong(durableOffset).putInt(0);
  }

  /**
   * Adds a record.
   *
   * @param value null for a tombstone
   * @param expiresAtMs when the value expires (ms since 1970), 0 for never
   */
  StoredRecord add(StoreKey key, byte[] value, long expiresAtMs) {
    int index = target.position();
    long offset = startOffset + index - startIndex;
    byte[] namespace = key.namespace().getBytes(StandardCharsets.UTF_8);
    target
        .put(value == null ? SegmentFormat.TOMBSTONE : SegmentFormat.PUT)
        .put((byte) namespace.length)
        .putShort((short) key.bytes().length)
        .putInt(value == null ? 0 : value.length)
        .putLong(expiresAtMs)
        .putInt(0)
        .put(namespace)
        .put(key.bytes());
    if (value != null) {
      target.put(value);
    }
    int checksumAt = index + SegmentFormat.RECORD_CHECKSUM_INDEX;
    target.putInt(
        checksumAt,
        SegmentFormat.checksum(salt, offset, target, index, target.position(), checksumAt));
    recordCount++;
    return new StoredRecord(
        key, sequence, value == null, expiresAtMs, offset, target.position() - index);
  }

  /** Ends the frame. */
  void finish() {
    int checksumAt = startIndex + SegmentFormat.FRAME_CHECKSUM_INDEX;
    int recordsBytes = target.position() - startIndex - SegmentFormat.FRAME_HEADER_BYTES;
    target.putInt(startIndex, recordsBytes);
    target.putInt(startIndex + SegmentFormat.FRAME_COUNT_INDEX, recordCount);
    target.putInt(
        checksumAt,
        SegmentFormat.checksum(
            salt, startOffset, target, startIndex, target.position(), checksumAt));
  }
}
