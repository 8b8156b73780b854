package edgenode.store;

import edgenode.store.Disk.DiskException;
import edgenode.store.Frames.Stored;
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
  final List<Segment> run;
  final Segment output;
  final Map<Slot, Stored> moved = new LinkedHashMap<>();
  final List<Stored> dropped = new ArrayList<>();
  private final boolean oldest;
  private final Function<Stored, Slot> current;
  private final long now;
  private final ByteBuffer out = ByteBuffer.allocate(Frames.FRAME + Batch.MOST + (1 << 16));
  private int segment;
  private long at = Frames.HEADER;

  Compaction(
      List<Segment> run, boolean oldest, Segment output, Function<Stored, Slot> current, long now) {
    this.run = run;
    this.oldest = oldest;
    this.output = output;
    this.current = current;
    this.now = now;
  }

  /**
   * Goes on for about so many bytes of the old segments; false when the new one is whole and lasts.
   */
  boolean step(int bytes) throws DiskException, StoreException {
    long left = bytes;
    while (left > 0 && segment < run.size()) {
      Segment s = run.get(segment);
      if (at >= s.size) {
        segment++;
        at = Frames.HEADER;
        continue;
      }
      Frames.Reader reader = new Frames.Reader(s.file, s.salt, s.size);
      while (left > 0 && at < s.size) {
        Frames.Frame f = reader.frame(at);
        if (f == null) {
          throw new StoreException(Reason.DAMAGED, s.name + ", offset " + at + ": no whole frame");
        }
        copy(s, f);
        left -= f.end() - at;
        at = f.end();
      }
    }
    flush();
    if (segment < run.size()) {
      return true;
    }
    output.file.sync();
    return false;
  }

  private void copy(Segment s, Frames.Frame f) throws DiskException, StoreException {
    int from = -1;
    int count = 0;
    for (Stored r : f.records()) {
      Slot slot = current.apply(r);
      if (slot == null) {
        continue;
      }
      boolean gone = slot.absent(now);
      if (gone && oldest && slot.prev == null) {
        dropped.add(r);
        continue;
      }
      byte[] value = gone ? null : Frames.value(s.file, s.salt, r, s.name);
      if (from < 0) {
        if (out.remaining() < Frames.FRAME + Batch.MOST) {
          flush();
        }
        from = Frames.open(out, f.seq(), f.time(), 0);
      }
      moved.put(
          slot,
          Frames.record(
              out,
              output.salt,
              output.size + out.position(),
              r.key(),
              r.seq(),
              value,
              gone ? 0 : r.expires()));
      count++;
    }
    if (from >= 0) {
      Frames.close(out, from, output.salt, output.size + from, count);
    }
  }

  private void flush() throws DiskException {
    out.flip();
    int length = out.limit();
    output.file.write(out, output.size);
    output.size += length;
    out.clear();
  }
}
