package edgenode.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment (docs/design/store.md): a header, then frames, each of them one batch.
 * Checks are CRC32C (RFC 3720, appendix B.4), masked, over the segment's own salt and the place of
 * what they cover: bytes that were copied from elsewhere, as within a value, never pass.
 */
final class SegmentFormat {
  static final int FORMAT_VERSION = 1;
  static final int SEGMENT_HEADER_BYTES = 32;

  /** length 4, check 4, sequence 8, time 8, durable 8, count 4. */
  static final int FRAME_HEADER_BYTES = 36;

  /** kind 1, length of namespace 1, of key 2, of value 4, expires 8, check 4. */
  static final int RECORD_HEADER_BYTES = 20;

  private static final long MAGIC = 0x4e4b4c53544f5245L;
  private static final int MAX_RECORDS_BYTES = FRAME_HEADER_BYTES + WriteBatch.MAX_BATCH_BYTES;
  private static final byte PUT = 1;
  private static final byte TOMBSTONE = 2;

  /** Read ahead: a frame of an ordinary batch is a few hundred bytes. */
  private static final int READ_WINDOW_BYTES = 1 << 18;

  /** A record as it stands in a segment: place and length (bytes) are those of the whole record. */
  record StoredRecord(
      StoreKey key,
      long sequence,
      boolean isTombstone,
      long expiresAtMs,
      long offset,
      int lengthBytes) {}

  /**
   * A frame: what it holds, where it ends, and how far its segment was known to last when it was
   * written.
   */
  record Frame(
      long offset,
      long endOffset,
      long sequence,
      long timeMs,
      long durableOffset,
      List<StoredRecord> records) {}

  private SegmentFormat() {}

  static int recordBytes(StoreKey key, int value) {
    return RECORD_HEADER_BYTES
        + key.namespace().getBytes(StandardCharsets.UTF_8).length
        + key.bytes().length
        + value;
  }

  private static int checksum(long salt, long at, ByteBuffer bytes, int from, int to, int leftOut) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(16).putLong(salt).putLong(at).flip());
    crc.update(bytes.duplicate().limit(leftOut).position(from));
    crc.update(bytes.duplicate().limit(to).position(leftOut + 4));
    return Integer.rotateRight((int) crc.getValue(), 15) + 0xa282ead8;
  }

  static ByteBuffer segmentHeader(long id, long salt) {
    ByteBuffer b =
        ByteBuffer.allocate(SEGMENT_HEADER_BYTES)
            .putLong(MAGIC)
            .putInt(FORMAT_VERSION)
            .putLong(id)
            .putLong(salt);
    return b.putInt(checksum(0, 0, b, 0, SEGMENT_HEADER_BYTES, SEGMENT_HEADER_BYTES - 4)).flip();
  }

  /** The salt that a segment's header names. */
  static long readSalt(StoreDirectory.StoreFile file, long id, String name)
      throws StoreDirectory.StorageIoException, StoreException {
    ByteBuffer b = ByteBuffer.allocate(SEGMENT_HEADER_BYTES);
    file.read(b, 0);
    if (b.position() == SEGMENT_HEADER_BYTES
        && b.getLong(0) == MAGIC
        && b.getInt(8) > FORMAT_VERSION) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          name
              + " has format "
              + b.getInt(8)
              + "; this program knows formats up to "
              + FORMAT_VERSION);
    }
    if (b.position() < SEGMENT_HEADER_BYTES
        || b.getLong(0) != MAGIC
        || b.getInt(SEGMENT_HEADER_BYTES - 4)
            != checksum(0, 0, b, 0, SEGMENT_HEADER_BYTES, SEGMENT_HEADER_BYTES - 4)
        || b.getLong(12) != id) {
      throw new StoreException(
          StoreException.Reason.DAMAGED, name + ", offset 0: no header of a segment");
    }
    return b.getLong(20);
  }

  /** Begins a frame in the buffer; records and {@link #endFrame} follow. */
  static int beginFrame(ByteBuffer out, long seq, long time, long durable) {
    int at = out.position();
    out.putInt(0).putInt(0).putLong(seq).putLong(time).putLong(durable).putInt(0);
    return at;
  }

  /** One record, at this offset of the segment; no value: a tombstone. */
  static StoredRecord writeRecord(
      ByteBuffer out, long salt, long at, StoreKey key, long seq, byte[] value, long expires) {
    int from = out.position();
    byte[] space = key.namespace().getBytes(StandardCharsets.UTF_8);
    out.put(value == null ? TOMBSTONE : PUT)
        .put((byte) space.length)
        .putShort((short) key.bytes().length)
        .putInt(value == null ? 0 : value.length)
        .putLong(expires)
        .putInt(0)
        .put(space)
        .put(key.bytes());
    if (value != null) {
      out.put(value);
    }
    out.putInt(from + 16, checksum(salt, at, out, from, out.position(), from + 16));
    return new StoredRecord(key, seq, value == null, expires, at, out.position() - from);
  }

  static void endFrame(ByteBuffer out, int from, long salt, long at, int count) {
    out.putInt(from, out.position() - from - FRAME_HEADER_BYTES).putInt(from + 32, count);
    out.putInt(from + 4, checksum(salt, at, out, from, out.position(), from + 4));
  }

  /** The value of a record; damage is told and never given as one. */
  static byte[] readValue(StoreDirectory.StoreFile file, long salt, StoredRecord s, String name)
      throws StoreDirectory.StorageIoException, StoreException {
    ByteBuffer b = ByteBuffer.allocate(s.lengthBytes);
    file.read(b, s.offset);
    StoredRecord read = b.hasRemaining() ? null : parseRecord(b, 0, salt, s.offset, s.sequence);
    if (read == null || read.lengthBytes != s.lengthBytes || !read.key.equals(s.key)) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          name
              + ", offset "
              + s.offset
              + ": not the record of "
              + s.key
              + " that was written there");
    }
    return read.isTombstone
        ? null
        : Arrays.copyOfRange(b.array(), s.lengthBytes - b.getInt(4), s.lengthBytes);
  }

  private static StoredRecord parseRecord(ByteBuffer b, int from, long salt, long at, long seq) {
    int left = b.capacity() - from;
    if (left < RECORD_HEADER_BYTES) {
      return null;
    }
    int space = b.get(from + 1);
    int key = b.getShort(from + 2);
    int value = b.getInt(from + 4);
    if (space < 1
        || key < 0
        || value < 0
        || value > WriteBatch.MAX_VALUE_BYTES
        || left < RECORD_HEADER_BYTES + space + key + value
        || b.get(from) != PUT && b.get(from) != TOMBSTONE) {
      return null;
    }
    int length = RECORD_HEADER_BYTES + space + key + value;
    if (b.getInt(from + 16) != checksum(salt, at, b, from, from + length, from + 16)) {
      return null;
    }
    StoreKey k =
        new StoreKey(
            new String(b.array(), from + RECORD_HEADER_BYTES, space, StandardCharsets.UTF_8)
                .intern(),
            Arrays.copyOfRange(
                b.array(),
                from + RECORD_HEADER_BYTES + space,
                from + RECORD_HEADER_BYTES + space + key));
    return new StoredRecord(k, seq, b.get(from) == TOMBSTONE, b.getLong(from + 8), at, length);
  }

  /** Reads the frames of one segment, in order. */
  static final class FrameReader {
    private final StoreDirectory.StoreFile file;
    private final long salt;
    private final long segmentBytes;
    private ByteBuffer window = ByteBuffer.allocate(0);
    private long windowOffset;

    FrameReader(StoreDirectory.StoreFile file, long salt, long size) {
      this.file = file;
      this.salt = salt;
      this.segmentBytes = size;
    }

    /**
     * The index in the window of so many bytes from that place, or -1 where the segment ends
     * before.
     */
    private int windowIndex(long at, int length) throws StoreDirectory.StorageIoException {
      if (at + length > segmentBytes) {
        return -1;
      }
      if (at < windowOffset || at + length > windowOffset + window.limit()) {
        window =
            ByteBuffer.allocate(
                (int) Math.min(Math.max(length, READ_WINDOW_BYTES), segmentBytes - at));
        file.read(window, at);
        window.flip();
        windowOffset = at;
      }
      return at + length > windowOffset + window.limit() ? -1 : (int) (at - windowOffset);
    }

    /** The frame that stands there, or null where none does that is whole. */
    Frame readFrame(long at) throws StoreDirectory.StorageIoException {
      int i = windowIndex(at, FRAME_HEADER_BYTES);
      if (i < 0) {
        return null;
      }
      int length = window.getInt(i);
      int count = window.getInt(i + 32);
      if (length < 0
          || length > MAX_RECORDS_BYTES
          || count < 0
          || count > length / RECORD_HEADER_BYTES
          || at + FRAME_HEADER_BYTES + length > segmentBytes) {
        return null;
      }
      i = windowIndex(at, FRAME_HEADER_BYTES + length);
      if (i < 0
          || window.getInt(i + 4)
              != checksum(salt, at, window, i, i + FRAME_HEADER_BYTES + length, i + 4)) {
        return null;
      }
      ByteBuffer whole =
          ByteBuffer.wrap(Arrays.copyOfRange(window.array(), i, i + FRAME_HEADER_BYTES + length));
      List<StoredRecord> records = new ArrayList<>(count);
      int from = FRAME_HEADER_BYTES;
      for (int k = 0; k < count; k++) {
        StoredRecord s = parseRecord(whole, from, salt, at + from, whole.getLong(8));
        if (s == null) {
          return null;
        }
        records.add(s);
        from += s.lengthBytes;
      }
      return new Frame(
          at,
          at + FRAME_HEADER_BYTES + length,
          whole.getLong(8),
          whole.getLong(16),
          whole.getLong(24),
          records);
    }

    /** The first whole frame from there on, at any offset, or null. */
    Frame findFrame(long from) throws StoreDirectory.StorageIoException {
      for (long at = from; at + FRAME_HEADER_BYTES <= segmentBytes; at++) {
        Frame f = readFrame(at);
        if (f != null) {
          return f;
        }
      }
      return null;
    }
  }
}
