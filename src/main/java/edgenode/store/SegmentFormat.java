package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Format 1 of a segment file (docs/design/store.md): a header, then frames of records, big-endian.
 *
 * <p>Checksums are masked CRC32C (RFC 3720, appendix B.4). Each covers the salt of its segment and
 * the offset of what it checks, so that bytes copied from elsewhere, for example within a value, do
 * not pass as a frame.
 */
final class SegmentFormat {
  static final int FORMAT_VERSION = 1;

  /** Magic 8, format version 4, segment id 8, salt 8, checksum 4. */
  static final int SEGMENT_HEADER_BYTES = 32;

  /** Length of the records 4, checksum 4, sequence 8, time 8, durable offset 8, record count 4. */
  static final int FRAME_HEADER_BYTES = 36;

  /** Kind 1, namespace length 1, key length 2, value length 4, expiry 8, checksum 4. */
  static final int RECORD_HEADER_BYTES = 20;

  static final int FRAME_CHECKSUM_INDEX = 4;
  static final int FRAME_SEQUENCE_INDEX = 8;
  static final int FRAME_TIME_INDEX = 16;
  static final int FRAME_DURABLE_INDEX = 24;
  static final int FRAME_COUNT_INDEX = 32;

  static final int RECORD_CHECKSUM_INDEX = 16;
  static final byte PUT = 1;
  static final byte TOMBSTONE = 2;

  private static final int NAMESPACE_LENGTH_INDEX = 1;
  private static final int KEY_LENGTH_INDEX = 2;
  private static final int VALUE_LENGTH_INDEX = 4;
  private static final int EXPIRY_INDEX = 8;

  /** The bytes {@code NKLSTORE}. */
  private static final long MAGIC = 0x4e4b4c53544f5245L;

  private static final int FORMAT_VERSION_INDEX = 8;
  private static final int SEGMENT_ID_INDEX = 12;
  private static final int SALT_INDEX = 20;
  private static final int SEGMENT_CHECKSUM_INDEX = 28;

  private static final int CHECKSUM_BYTES = 4;
  private static final int CHECKSUM_ROTATION_BITS = 15;
  private static final int CHECKSUM_MASK = 0xa282ead8;

  private SegmentFormat() {}

  /** The length of a record (bytes) with a value of that many bytes. */
  static int recordBytes(StoreKey key, int valueBytes) {
    return RECORD_HEADER_BYTES
        + key.namespace().getBytes(StandardCharsets.UTF_8).length
        + key.bytes().length
        + valueBytes;
  }

  /**
   * The checksum of a range of the buffer, without the four bytes at the place of the checksum.
   *
   * @param offset where the range stands in its segment (bytes)
   */
  static int checksum(long salt, long offset, ByteBuffer bytes, int from, int to, int checksumAt) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(salt).putLong(offset).flip());
    crc.update(bytes.duplicate().limit(checksumAt).position(from));
    crc.update(bytes.duplicate().limit(to).position(checksumAt + CHECKSUM_BYTES));
    return Integer.rotateRight((int) crc.getValue(), CHECKSUM_ROTATION_BITS) + CHECKSUM_MASK;
  }

  /** The header of a new segment, ready to be written. */
  static ByteBuffer segmentHeader(long segmentId, long salt) {
    ByteBuffer header =
        ByteBuffer.allocate(SEGMENT_HEADER_BYTES)
            .putLong(MAGIC)
            .putInt(FORMAT_VERSION)
            .putLong(segmentId)
            .putLong(salt);
    return header.putInt(headerChecksum(header)).flip();
  }

  private static int headerChecksum(ByteBuffer header) {
    return checksum(0, 0, header, 0, SEGMENT_HEADER_BYTES, SEGMENT_CHECKSUM_INDEX);
  }

  /** Checks the header of a segment file and returns the salt that it names. */
  static long readSalt(StoreFile file, long segmentId, String fileName)
      throws StorageIoException, StoreException {
    ByteBuffer header = ByteBuffer.allocate(SEGMENT_HEADER_BYTES);
    file.read(header, 0);
    boolean isSegment = header.position() == SEGMENT_HEADER_BYTES && header.getLong(0) == MAGIC;
    if (isSegment && header.getInt(FORMAT_VERSION_INDEX) > FORMAT_VERSION) {
      throw newerFormat(fileName, header.getInt(FORMAT_VERSION_INDEX));
    }
    if (!isSegment
        || header.getInt(SEGMENT_CHECKSUM_INDEX) != headerChecksum(header)
        || header.getLong(SEGMENT_ID_INDEX) != segmentId) {
      throw new StoreException(Reason.DAMAGED, fileName + ", offset 0: no header of a segment");
    }
    return header.getLong(SALT_INDEX);
  }

  /** The error for a file that a later version of the program wrote. */
  static StoreException newerFormat(String fileName, int version) {
    return new StoreException(
        Reason.NEWER,
        fileName
            + " has format "
            + version
            + "; this program knows formats up to "
            + FORMAT_VERSION);
  }

  /**
   * Reads the value of a record from its segment.
   *
   * @return null for a tombstone
   * @throws StoreException (DAMAGED) where another record, or none, stands at its place
   */
  static byte[] readValue(Segment segment, StoredRecord record)
      throws StorageIoException, StoreException {
    ByteBuffer bytes = ByteBuffer.allocate(record.lengthBytes());
    segment.file.read(bytes, record.offset());
    StoredRecord found =
        bytes.hasRemaining()
            ? null
            : parseRecord(bytes, 0, segment.salt, record.offset(), record.sequence());
    if (found == null
        || found.lengthBytes() != record.lengthBytes()
        || !found.key().equals(record.key())) {
      throw new StoreException(
          Reason.DAMAGED,
          segment.fileName
              + ", offset "
              + record.offset()
              + ": not the record of "
              + record.key()
              + " that was written there");
    }
    if (found.isTombstone()) {
      return null;
    }
    int valueBytes = bytes.getInt(VALUE_LENGTH_INDEX);
    return Arrays.copyOfRange(
        bytes.array(), record.lengthBytes() - valueBytes, record.lengthBytes());
  }

  /**
   * The record at this index of the buffer, or null where none is intact.
   *
   * @param offset where it stands in its segment (bytes)
   * @param sequence of the frame that holds it
   */
  static StoredRecord parseRecord(
      ByteBuffer bytes, int index, long salt, long offset, long sequence) {
    int availableBytes = bytes.capacity() - index;
    if (availableBytes < RECORD_HEADER_BYTES) {
      return null;
    }
    byte kind = bytes.get(index);
    int namespaceBytes = bytes.get(index + NAMESPACE_LENGTH_INDEX);
    int keyBytes = bytes.getShort(index + KEY_LENGTH_INDEX);
    int valueBytes = bytes.getInt(index + VALUE_LENGTH_INDEX);
    if (namespaceBytes < 1
        || keyBytes < 0
        || valueBytes < 0
        || valueBytes > WriteBatch.MAX_VALUE_BYTES
        || availableBytes < RECORD_HEADER_BYTES + namespaceBytes + keyBytes + valueBytes
        || kind != PUT && kind != TOMBSTONE) {
      return null;
    }
    int length = RECORD_HEADER_BYTES + namespaceBytes + keyBytes + valueBytes;
    int checksumAt = index + RECORD_CHECKSUM_INDEX;
    if (bytes.getInt(checksumAt)
        != checksum(salt, offset, bytes, index, index + length, checksumAt)) {
      return null;
    }
    StoreKey key = parseKey(bytes, index + RECORD_HEADER_BYTES, namespaceBytes, keyBytes);
    long expiresAtMs = bytes.getLong(index + EXPIRY_INDEX);
    return new StoredRecord(key, sequence, kind == TOMBSTONE, expiresAtMs, offset, length);
  }

  /** The key whose namespace begins at this index; namespaces are few, so their text is shared. */
  static StoreKey parseKey(ByteBuffer bytes, int index, int namespaceBytes, int keyBytes) {
    String namespace =
        new String(bytes.array(), index, namespaceBytes, StandardCharsets.UTF_8).intern();
    int keyIndex = index + namespaceBytes;
    return new StoreKey(
        namespace, Arrays.copyOfRange(bytes.array(), keyIndex, keyIndex + keyBytes));
  }
}
