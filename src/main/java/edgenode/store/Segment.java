package edgenode.store;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One file of the log. Its file stays open as long as a read uses it, also after compaction has
 * taken it away.
 */
final class Segment {
  final long id;
  final String name;
  final long salt;
  final Disk.File file;

  /**
   * The writer's: bytes in all, of them those that the index points at, and of these those of
   * tombstones.
   */
  long size;

  long live;
  long tombstones;
  boolean hinted;
  private final AtomicInteger uses = new AtomicInteger(1);

  Segment(long id, long salt, Disk.File file) {
    this.id = id;
    this.salt = salt;
    this.file = file;
    name = name(id);
    size = Frames.HEADER;
  }

  static String name(long id) {
    return String.format("%016x.seg", id);
  }

  String hint() {
    return hint(id);
  }

  static String hint(long id) {
    return String.format("%016x.hint", id);
  }

  /** False once it has been taken away: what was sought has moved. */
  boolean use() {
    return uses.getAndUpdate(n -> n > 0 ? n + 1 : 0) > 0;
  }

  void leave() {
    if (uses.decrementAndGet() == 0) {
      file.close();
    }
  }

  /**
   * What stays if this is compacted, with the frames that hold it; with no older segment tombstones
   * go too.
   */
  long kept(boolean oldest) {
    return live - (oldest ? tombstones : 0);
  }

  /** A version that the index points at has come (1) or gone (-1). */
  void count(Slot s, int sign) {
    long bytes = s.place.stored().length() + Frames.FRAME;
    live += sign * bytes;
    tombstones += s.gone ? sign * bytes : 0;
  }

  /** One of them has expired: it is as good as a tombstone from now on. */
  void expired(Slot s) {
    count(s, -1);
    s.gone = true;
    count(s, 1);
  }
}
