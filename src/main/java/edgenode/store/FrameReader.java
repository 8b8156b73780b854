package edgenode.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads the frames of one segment through a window, mostly in ascending order. */
final class FrameReader {
  /** Read ahead; the frame of an ordinary batch has a few hundred bytes. */
  private static final int READ_WINDOW_BYTES = 1 << 18;

  /** The most bytes of records that a frame is taken to have; beyond it the length is damaged. */
  private static final int MAX_RECORDS_BYTES =
      SegmentFormat.FRAME_HEADER_BYTES + WriteBatch.MAX_BATCH_BYTES;

  private final StoreFile file;
  private final long salt;
  private final long segmentBytes;
  private ByteBuffer window = ByteBuffer.allocate(0);
  private long windowOffset;

  /** Reads up to the size that the segment has now. */
  FrameReader(Segment segment) {
    file = segment.file;
    salt = segment.salt;
    segmentBytes = segment.sizeBytes;
  }

  /**
   * Brings these bytes of the segment into the window; returns their index in it, or -1 where the
   * segment ends before.
   */
  private int windowIndex(long offset, int length) throws StorageIoException {
    if (offset + length > segmentBytes) {
      return -1;
    }
    if (offset < windowOffset || offset + length > windowOffset + window.limit()) {
      int windowBytes = (int) Math.min(Math.max(length, READ_WINDOW_BYTES), segmentBytes - offset);
      window = ByteBuffer.allocate(windowBytes);
      file.read(window, offset);
      window.flip();
      windowOffset = offset;
    }
    boolean isShort = offset + length > windowOffset + window.limit();
    return isShort ? -1 : (int) (offset - windowOffset);
  }

  /** The frame that begins at this offset (bytes), or null where none is intact. */
  Frame readFrame(long offset) throws StorageIoException {
    int headerIndex = windowIndex(offset, SegmentFormat.FRAME_HEADER_BYTES);
    if (headerIndex < 0) {
      return null;
    }
    int recordsBytes = window.getInt(headerIndex);
    int recordCount = window.getInt(headerIndex + SegmentFormat.FRAME_COUNT_INDEX);
    if (recordsBytes < 0
        || recordsBytes > MAX_RECORDS_BYTES
        || recordCount < 0
        || recordCount > recordsBytes / SegmentFormat.RECORD_HEADER_BYTES
        || offset + SegmentFormat.FRAME_HEADER_BYTES + recordsBytes > segmentBytes) {
      return null;
    }
    int frameBytes = SegmentFormat.FRAME_HEADER_BYTES + recordsBytes;
    int index = windowIndex(offset, frameBytes);
    if (index < 0 || !hasValidChecksum(offset, index, frameBytes)) {
      return null;
    }
    ByteBuffer bytes =
        ByteBuffer.wrap(Arrays.copyOfRange(window.array(), index, index + frameBytes));
    List<StoredRecord> records = parseRecords(bytes, offset, recordCount);
    if (records == null) {
      return null;
    }
    return new Frame(
        offset,
        offset + frameBytes,
        bytes.getLong(SegmentFormat.FRAME_SEQUENCE_INDEX),
        bytes.getLong(SegmentFormat.FRAME_TIME_INDEX),
        bytes.getLong(SegmentFormat.FRAME_DURABLE_INDEX),
        records);
  }

  private boolean hasValidChecksum(long offset, int index, int frameBytes) {
    int checksumAt = index + SegmentFormat.FRAME_CHECKSUM_INDEX;
    return window.getInt(checksumAt)
        == SegmentFormat.checksum(salt, offset, window, index, index + frameBytes, checksumAt);
  }

  /** The records of a frame, or null where one is damaged. */
  private List<StoredRecord> parseRecords(ByteBuffer frame, long offset, int recordCount) {
    List<StoredRecord> records = new ArrayList<>(recordCount);
    long sequence = frame.getLong(SegmentFormat.FRAME_SEQUENCE_INDEX);
    int index = SegmentFormat.FRAME_HEADER_BYTES;
    for (int i = 0; i < recordCount; i++) {
      StoredRecord record = SegmentFormat.parseRecord(frame, index, salt, offset + index, sequence);
      if (record == null) {
        return null;
      }
      records.add(record);
      index += record.lengthBytes();
    }
    return records;
  }

  /** The first intact frame that begins at this offset or at any later one, or null. */
  Frame findFrame(long fromOffset) throws StorageIoException {
    for (long offset = fromOffset;
        offset + SegmentFormat.FRAME_HEADER_BYTES <= segmentBytes;
        offset++) {
      Frame frame = readFrame(offset);
      if (frame != null) {
        return frame;
      }
    }
    return null;
  }
}
