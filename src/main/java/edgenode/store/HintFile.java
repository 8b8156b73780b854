package edgenode.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The keys of a closed segment with the places of their records, so that opening the store need not
 * read the values. A hint that does not match its segment is ignored.
 */
final class HintFile {
  /**
   * What a hint says of its segment.
   *
   * @param lastSequence the greatest sequence number
   * @param latestTimeMs the latest time of a frame (ms since 1970)
   * @param records in the order of the segment
   */
  record Contents(long lastSequence, long latestTimeMs, List<StoredRecord> records) {}

  /** Salt 8, segment size 8, last sequence 8, latest time 8, record count 4, checksum 4. */
  private static final int HEADER_BYTES = 40;

  private static final int SALT_INDEX = 0;
  private static final int SEGMENT_BYTES_INDEX = 8;
  private static final int LAST_SEQUENCE_INDEX = 16;
  private static final int LATEST_TIME_INDEX = 24;
  private static final int COUNT_INDEX = 32;
  private static final int CHECKSUM_INDEX = 36;

  /**
   * Sequence 8, expiry 8, offset 8, length 4, tombstone 1, namespace length 1, key length 2. The
   * namespace and the key follow.
   */
  private static final int ENTRY_HEADER_BYTES = 32;

  private static final int EXPIRY_INDEX = 8;
  private static final int OFFSET_INDEX = 16;
  private static final int LENGTH_INDEX = 24;
  private static final int TOMBSTONE_INDEX = 28;
  private static final int NAMESPACE_LENGTH_INDEX = 29;
  private static final int KEY_LENGTH_INDEX = 30;

  /** The largest array that every virtual machine can allocate. */
  private static final int MAX_BYTES = Integer.MAX_VALUE - 8;

  private static final String TEMPORARY_SUFFIX = ".new";

  private HintFile() {}

  private static int checksum(ByteBuffer hint) {
    CRC32C crc = new CRC32C();
    crc.update(hint.array(), 0, CHECKSUM_INDEX);
    crc.update(hint.array(), HEADER_BYTES, hint.limit() - HEADER_BYTES);
    return (int) crc.getValue();
  }

  /** Writes the hint of a closed segment; none where the segment is damaged or too large. */
  static void write(StoreDirectory directory, Segment segment) throws StorageIoException {
    Optional<Contents> contents = scan(segment);
    if (contents.isEmpty()) {
      return;
    }
    long hintBytes = HEADER_BYTES;
    for (StoredRecord record : contents.get().records()) {
      hintBytes += entryBytes(record);
    }
    if (hintBytes > MAX_BYTES) {
      return;
    }
    ByteBuffer hint = encode(segment, contents.get(), (int) hintBytes);
    String temporaryName = segment.hintFileName() + TEMPORARY_SUFFIX;
    StoreFile file = directory.open(temporaryName, true);
    try {
      file.write(hint, 0);
      file.sync();
    } finally {
      file.close();
    }
    directory.rename(temporaryName, segment.hintFileName());
  }

  /** Empty where a frame is damaged: the next opening of the store reports it. */
  private static Optional<Contents> scan(Segment segment) throws StorageIoException {
    FrameReader reader = new FrameReader(segment);
    List<StoredRecord> records = new ArrayList<>();
    long lastSequence = 0;
    long latestTimeMs = 0;
    long offset = SegmentFormat.SEGMENT_HEADER_BYTES;
    while (offset < segment.sizeBytes) {
      Frame frame = reader.readFrame(offset);
      if (frame == null) {
        return Optional.empty();
      }
      lastSequence = Math.max(lastSequence, frame.sequence());
      latestTimeMs = Math.max(latestTimeMs, frame.timeMs());
      records.addAll(frame.records());
      offset = frame.endOffset();
    }
    return Optional.of(new Contents(lastSequence, latestTimeMs, records));
  }

  private static int entryBytes(StoredRecord record) {
    return ENTRY_HEADER_BYTES
        + SegmentFormat.recordBytes(record.key(), 0)
        - SegmentFormat.RECORD_HEADER_BYTES;
  }

  private static ByteBuffer encode(Segment segment, Contents contents, int hintBytes) {
    ByteBuffer hint = ByteBuffer.allocate(hintBytes);
    hint.putLong(segment.salt)
        .putLong(segment.sizeBytes)
        .putLong(contents.lastSequence())
        .putLong(contents.latestTimeMs())
        .putInt(contents.records().size())
        .putInt(0);
    for (StoredRecord record : contents.records()) {
      byte[] namespace = record.key().namespace().getBytes(StandardCharsets.UTF_8);
      hint.putLong(record.sequence())
          .putLong(record.expiresAtMs())
          .putLong(record.offset())
          .putInt(record.lengthBytes())
          .put((byte) (record.isTombstone() ? 1 : 0))
          .put((byte) namespace.length)
          .putShort((short) record.key().bytes().length)
          .put(namespace)
          .put(record.key().bytes());
    }
    return hint.flip().putInt(CHECKSUM_INDEX, checksum(hint));
  }

  /** Reads the hint of a segment; empty where it does not match the segment. */
  static Optional<Contents> read(StoreDirectory directory, Segment segment)
      throws StorageIoException {
    StoreFile file = directory.open(segment.hintFileName(), false);
    ByteBuffer hint;
    try {
      if (file.size() < HEADER_BYTES || file.size() > MAX_BYTES) {
        return Optional.empty();
      }
      hint = ByteBuffer.allocate((int) file.size());
      file.read(hint, 0);
    } finally {
      file.close();
    }
    hint.flip();
    if (hint.limit() < HEADER_BYTES
        || hint.getInt(CHECKSUM_INDEX) != checksum(hint)
        || hint.getLong(SALT_INDEX) != segment.salt
        || hint.getLong(SEGMENT_BYTES_INDEX) != segment.sizeBytes) {
      return Optional.empty();
    }
    return Optional.of(decode(hint));
  }

  private static Contents decode(ByteBuffer hint) {
    List<StoredRecord> records = new ArrayList<>();
    int index = HEADER_BYTES;
    for (int remaining = hint.getInt(COUNT_INDEX); remaining > 0; remaining--) {
      int namespaceBytes = hint.get(index + NAMESPACE_LENGTH_INDEX);
      int keyBytes = hint.getShort(index + KEY_LENGTH_INDEX);
      records.add(
          new StoredRecord(
              SegmentFormat.parseKey(hint, index + ENTRY_HEADER_BYTES, namespaceBytes, keyBytes),
              hint.getLong(index),
              hint.get(index + TOMBSTONE_INDEX) == 1,
              hint.getLong(index + EXPIRY_INDEX),
              hint.getLong(index + OFFSET_INDEX),
              hint.getInt(index + LENGTH_INDEX)));
      index += ENTRY_HEADER_BYTES + namespaceBytes + keyBytes;
    }
    return new Contents(
        hint.getLong(LAST_SEQUENCE_INDEX), hint.getLong(LATEST_TIME_INDEX), records);
  }
}
