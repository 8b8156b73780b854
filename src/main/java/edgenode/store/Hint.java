package edgenode.store;

import edgenode.store.Disk.DiskException;
import edgenode.store.Frames.Stored;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The keys of a closed segment with their places, so that a start need not read the values. It is
 * only ever a help: one that does not fit its segment, to the byte, is as good as none.
 */
final class Hint {
  /** salt 8, size of the segment 8, last sequence 8, last time 8, records 4, check 4. */
  private static final int HEAD = 40;

  /** sequence 8, expires 8, place 8, length 4, tombstone 1, length of namespace 1, of key 2. */
  private static final int ENTRY = 32;

  /** Takes the latest time and sequence number of a segment. */
  interface Seen {
    void at(long time, long seq);
  }

  private Hint() {}

  private static int check(ByteBuffer b) {
    CRC32C crc = new CRC32C();
    crc.update(b.array(), 0, HEAD - 4);
    crc.update(b.array(), HEAD, b.limit() - HEAD);
    return (int) crc.getValue();
  }

  static void write(Disk disk, Segment s) throws DiskException {
    Frames.Reader reader = new Frames.Reader(s.file, s.salt, s.size);
    List<Stored> all = new ArrayList<>();
    long size = HEAD;
    long seq = 0;
    long time = 0;
    Frames.Frame f;
    for (long at = Frames.HEADER; at < s.size; at = f.end()) {
      f = reader.frame(at);
      if (f == null) {
        return; // the next start will say so
      }
      seq = Math.max(seq, f.seq());
      time = Math.max(time, f.time());
      for (Stored r : f.records()) {
        all.add(r);
        size += ENTRY + Frames.recordSize(r.key(), 0) - Frames.RECORD;
      }
    }
    if (size > Integer.MAX_VALUE - 8) {
      return;
    }
    ByteBuffer b = ByteBuffer.allocate((int) size);
    b.putLong(s.salt).putLong(s.size).putLong(seq).putLong(time).putInt(all.size()).putInt(0);
    for (Stored r : all) {
      byte[] space = r.key().space().getBytes(StandardCharsets.UTF_8);
      b.putLong(r.seq())
          .putLong(r.expires())
          .putLong(r.at())
          .putInt(r.length())
          .put((byte) (r.tombstone() ? 1 : 0))
          .put((byte) space.length)
          .putShort((short) r.key().bytes().length)
          .put(space)
          .put(r.key().bytes());
    }
    b.flip().putInt(HEAD - 4, check(b));
    Disk.File file = disk.open(s.hint() + ".new", true);
    try {
      file.write(b, 0);
      file.sync();
    } finally {
      file.close();
    }
    disk.rename(s.hint() + ".new", s.hint());
  }

  /** The records that a segment's hint names, or null where it is of no use. */
  static List<Stored> read(Disk disk, Segment s, Seen seen) throws DiskException {
    Disk.File file = disk.open(s.hint(), false);
    ByteBuffer b;
    try {
      if (file.size() < HEAD || file.size() > Integer.MAX_VALUE - 8) {
        return null;
      }
      b = ByteBuffer.allocate((int) file.size());
      file.read(b, 0);
    } finally {
      file.close();
    }
    b.flip();
    if (b.limit() < HEAD
        || b.getInt(HEAD - 4) != check(b)
        || b.getLong(0) != s.salt
        || b.getLong(8) != s.size) {
      return null;
    }
    List<Stored> all = new ArrayList<>();
    b.position(HEAD);
    for (int i = b.getInt(32); i > 0; i--) {
      int e = b.position();
      int space = b.get(e + 29);
      int from = e + ENTRY + space;
      int to = from + b.getShort(e + 30);
      Key key =
          new Key(
              new String(b.array(), e + ENTRY, space, StandardCharsets.UTF_8).intern(),
              Arrays.copyOfRange(b.array(), from, to));
      all.add(
          new Stored(
              key,
              b.getLong(e),
              b.get(e + 28) == 1,
              b.getLong(e + 8),
              b.getLong(e + 16),
              b.getInt(e + 24)));
      b.position(to);
    }
    seen.at(b.getLong(24), b.getLong(16));
    return all;
  }
}
