package edgenode.store;

import edgenode.store.SegmentFormat.StoredRecord;
import edgenode.store.StoreDirectory.StorageIoException;
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
final class HintFile {
  /** salt 8, size of the segment 8, last sequence 8, last time 8, records 4, check 4. */
  private static final int HEADER_BYTES = 40;

  /** sequence 8, expires 8, place 8, length 4, tombstone 1, length of namespace 1, of key 2. */
  private static final int ENTRY_HEADER_BYTES = 32;

  /** Takes the latest time and sequence number of a segment. */
  interface ProgressListener {
    void onProgress(long time, long seq);
  }

  private HintFile() {}

  private static int checksum(ByteBuffer b) {
    CRC32C crc = new CRC32C();
    crc.update(b.array(), 0, HEADER_BYTES - 4);
    crc.update(b.array(), HEADER_BYTES, b.limit() - HEADER_BYTES);
    return (int) crc.getValue();
  }

  static void write(StoreDirectory disk, Segment s) throws StorageIoException {
    SegmentFormat.FrameReader reader = new SegmentFormat.FrameReader(s.file, s.salt, s.sizeBytes);
    List<StoredRecord> all = new ArrayList<>();
    long size = HEADER_BYTES;
    long seq = 0;
    long time = 0;
    SegmentFormat.Frame f;
    for (long at = SegmentFormat.SEGMENT_HEADER_BYTES; at < s.sizeBytes; at = f.endOffset()) {
      f = reader.readFrame(at);
      if (f == null) {
        return; // the next start will say so
      }
      seq = Math.max(seq, f.sequence());
      time = Math.max(time, f.timeMs());
      for (StoredRecord r : f.records()) {
        all.add(r);
        size +=
            ENTRY_HEADER_BYTES
                + SegmentFormat.recordBytes(r.key(), 0)
                - SegmentFormat.RECORD_HEADER_BYTES;
      }
    }
    if (size > Integer.MAX_VALUE - 8) {
      return;
    }
    ByteBuffer b = ByteBuffer.allocate((int) size);
    b.putLong(s.salt).putLong(s.sizeBytes).putLong(seq).putLong(time).putInt(all.size()).putInt(0);
    for (StoredRecord r : all) {
      byte[] space = r.key().namespace().getBytes(StandardCharsets.UTF_8);
      b.putLong(r.sequence())
          .putLong(r.expiresAtMs())
          .putLong(r.offset())
          .putInt(r.lengthBytes())
          .put((byte) (r.isTombstone() ? 1 : 0))
          .put((byte) space.length)
          .putShort((short) r.key().bytes().length)
          .put(space)
          .put(r.key().bytes());
    }
    b.flip().putInt(HEADER_BYTES - 4, checksum(b));
    StoreDirectory.StoreFile file = disk.open(s.hintFileName() + ".new", true);
    try {
      file.write(b, 0);
      file.sync();
    } finally {
      file.close();
    }
    disk.rename(s.hintFileName() + ".new", s.hintFileName());
  }

  /** The records that a segment's hint names, or null where it is of no use. */
  static List<StoredRecord> read(StoreDirectory disk, Segment s, ProgressListener seen)
      throws StorageIoException {
    StoreDirectory.StoreFile file = disk.open(s.hintFileName(), false);
    ByteBuffer b;
    try {
      if (file.size() < HEADER_BYTES || file.size() > Integer.MAX_VALUE - 8) {
        return null;
      }
      b = ByteBuffer.allocate((int) file.size());
      file.read(b, 0);
    } finally {
      file.close();
    }
    b.flip();
    if (b.limit() < HEADER_BYTES
        || b.getInt(HEADER_BYTES - 4) != checksum(b)
        || b.getLong(0) != s.salt
        || b.getLong(8) != s.sizeBytes) {
      return null;
    }
    List<StoredRecord> all = new ArrayList<>();
    b.position(HEADER_BYTES);
    for (int i = b.getInt(32); i > 0; i--) {
      int e = b.position();
      int space = b.get(e + 29);
      int from = e + ENTRY_HEADER_BYTES + space;
      int to = from + b.getShort(e + 30);
      StoreKey key =
          new StoreKey(
              new String(b.array(), e + ENTRY_HEADER_BYTES, space, StandardCharsets.UTF_8).intern(),
              Arrays.copyOfRange(b.array(), from, to));
      all.add(
          new StoredRecord(
              key,
              b.getLong(e),
              b.get(e + 28) == 1,
              b.getLong(e + 8),
              b.getLong(e + 16),
              b.getInt(e + 24)));
      b.position(to);
    }
    seen.onProgress(b.getLong(24), b.getLong(16));
    return all;
  }
}
