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
final class Frames {
  static final int VERSION = 1;
  static final int HEADER = 32;

  /** length 4, check 4, sequence 8, time 8, durable 8, count 4. */
  static final int FRAME = 36;

  /** kind 1, length of namespace 1, of key 2, of value 4, expires 8, check 4. */
  static final int RECORD = 20;

  private static final long MAGIC = 0x4e4b4c53544f5245L;
  private static final int MOST = FRAME + Batch.MOST;
  private static final byte PUT = 1;
  private static final byte TOMBSTONE = 2;

  /** Read ahead: a frame of an ordinary batch is a few hundred bytes. */
  private static final int WINDOW = 1 << 18;

  /** A record as it stands in a segment: place and length (bytes) are those of the whole record. */
  record Stored(Key key, long seq, boolean tombstone, long expires, long at, int length) {}

  /**
   * A frame: what it holds, where it ends, and how far its segment was known to last when it was
   * written.
   */
  record Frame(long at, long end, long seq, long time, long durable, List<Stored> records) {}

  private Frames() {}

  static int recordSize(Key key, int value) {
    return RECORD
        + key.space().getBytes(StandardCharsets.UTF_8).length
        + key.bytes().length
        + value;
  }

  private static int check(long salt, long at, ByteBuffer bytes, int from, int to, int leftOut) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(16).putLong(salt).putLong(at).flip());
    crc.update(bytes.duplicate().limit(leftOut).position(from));
    crc.update(bytes.duplicate().limit(to).position(leftOut + 4));
    return Integer.rotateRight((int) crc.getValue(), 15) + 0xa282ead8;
  }

  static ByteBuffer header(long id, long salt) {
    ByteBuffer b =
        ByteBuffer.allocate(HEADER).putLong(MAGIC).putInt(VERSION).putLong(id).putLong(salt);
    return b.putInt(check(0, 0, b, 0, HEADER, HEADER - 4)).flip();
  }

  /** The salt that a segment's header names. */
  static long salt(Disk.File file, long id, String name) throws Disk.DiskException, StoreException {
    ByteBuffer b = ByteBuffer.allocate(HEADER);
    file.read(b, 0);
    if (b.position() == HEADER && b.getLong(0) == MAGIC && b.getInt(8) > VERSION) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          name + " has format " + b.getInt(8) + "; this program knows formats up to " + VERSION);
    }
    if (b.position() < HEADER
        || b.getLong(0) != MAGIC
        || b.getInt(HEADER - 4) != check(0, 0, b, 0, HEADER, HEADER - 4)
        || b.getLong(12) != id) {
      throw new StoreException(
          StoreException.Reason.DAMAGED, name + ", offset 0: no header of a segment");
    }
    return b.getLong(20);
  }

  /** Begins a frame in the buffer; records and {@link #close} follow. */
  static int open(ByteBuffer out, long seq, long time, long durable) {
    int at = out.position();
    out.putInt(0).putInt(0).putLong(seq).putLong(time).putLong(durable).putInt(0);
    return at;
  }

  /** One record, at this offset of the segment; no value: a tombstone. */
  static Stored record(
      ByteBuffer out, long salt, long at, Key key, long seq, byte[] value, long expires) {
    int from = out.position();
    byte[] space = key.space().getBytes(StandardCharsets.UTF_8);
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
    out.putInt(from + 16, check(salt, at, out, from, out.position(), from + 16));
    return new Stored(key, seq, value == null, expires, at, out.position() - from);
  }

  static void close(ByteBuffer out, int from, long salt, long at, int count) {
    out.putInt(from, out.position() - from - FRAME).putInt(from + 32, count);
    out.putInt(from + 4, check(salt, at, out, from, out.position(), from + 4));
  }

  /** The value of a record; damage is told and never given as one. */
  static byte[] value(Disk.File file, long salt, Stored s, String name)
      throws Disk.DiskException, StoreException {
    ByteBuffer b = ByteBuffer.allocate(s.length);
    file.read(b, s.at);
    Stored read = b.hasRemaining() ? null : parse(b, 0, salt, s.at, s.seq);
    if (read == null || read.length != s.length || !read.key.equals(s.key)) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          name + ", offset " + s.at + ": not the record of " + s.key + " that was written there");
    }
    return read.tombstone ? null : Arrays.copyOfRange(b.array(), s.length - b.getInt(4), s.length);
  }

  private static Stored parse(ByteBuffer b, int from, long salt, long at, long seq) {
    int left = b.capacity() - from;
    if (left < RECORD) {
      return null;
    }
    int space = b.get(from + 1);
    int key = b.getShort(from + 2);
    int value = b.getInt(from + 4);
    if (space < 1
        || key < 0
        || value < 0
        || value > Batch.MOST_VALUE
        || left < RECORD + space + key + value
        || b.get(from) != PUT && b.get(from) != TOMBSTONE) {
      return null;
    }
    int length = RECORD + space + key + value;
    if (b.getInt(from + 16) != check(salt, at, b, from, from + length, from + 16)) {
      return null;
    }
    Key k =
        new Key(
            new String(b.array(), from + RECORD, space, StandardCharsets.UTF_8).intern(),
            Arrays.copyOfRange(b.array(), from + RECORD + space, from + RECORD + space + key));
    return new Stored(k, seq, b.get(from) == TOMBSTONE, b.getLong(from + 8), at, length);
  }

  /** Reads the frames of one segment, in order. */
  static final class Reader {
    private final Disk.File file;
    private final long salt;
    private final long size;
    private ByteBuffer window = ByteBuffer.allocate(0);
    private long windowAt;

    Reader(Disk.File file, long salt, long size) {
      this.file = file;
      this.salt = salt;
      this.size = size;
    }

    /**
     * The index in the window of so many bytes from that place, or -1 where the segment ends
     * before.
     */
    private int at(long at, int length) throws Disk.DiskException {
      if (at + length > size) {
        return -1;
      }
      if (at < windowAt || at + length > windowAt + window.limit()) {
        window = ByteBuffer.allocate((int) Math.min(Math.max(length, WINDOW), size - at));
        file.read(window, at);
        window.flip();
        windowAt = at;
      }
      return at + length > windowAt + window.limit() ? -1 : (int) (at - windowAt);
    }

    /** The frame that stands there, or null where none does that is whole. */
    Frame frame(long at) throws Disk.DiskException {
      int i = at(at, FRAME);
      if (i < 0) {
        return null;
      }
      int length = window.getInt(i);
      int count = window.getInt(i + 32);
      if (length < 0
          || length > MOST
          || count < 0
          || count > length / RECORD
          || at + FRAME + length > size) {
        return null;
      }
      i = at(at, FRAME + length);
      if (i < 0 || window.getInt(i + 4) != check(salt, at, window, i, i + FRAME + length, i + 4)) {
        return null;
      }
      ByteBuffer whole = ByteBuffer.wrap(Arrays.copyOfRange(window.array(), i, i + FRAME + length));
      List<Stored> records = new ArrayList<>(count);
      int from = FRAME;
      for (int k = 0; k < count; k++) {
        Stored s = parse(whole, from, salt, at + from, whole.getLong(8));
        if (s == null) {
          return null;
        }
        records.add(s);
        from += s.length;
      }
      return new Frame(
          at, at + FRAME + length, whole.getLong(8), whole.getLong(16), whole.getLong(24), records);
    }

    /** The first whole frame from there on, at any offset, or null. */
    Frame next(long from) throws Disk.DiskException {
      for (long at = from; at + FRAME <= size; at++) {
        Frame f = frame(at);
        if (f != null) {
          return f;
        }
      }
      return null;
    }
  }
}
