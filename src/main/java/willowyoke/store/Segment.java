package willowyoke.store;

import java.util.concurrent.atomic.AtomicInteger;

/** One file of the log. Its file stays open as long as a read uses it, also after compaction has taken it away. */
final class Segment {
    final long id;
    final String name;
    final long salt;
    final Disk.File file;
    /** The writer's: bytes in all, of them those that the index points at, and of these those of tombstones. */
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

    /** What stays if this is compacted, with the frames that hold it; with no older segment tombstones go too. */
    long kept(boolean oldest) {
        return live - (oldest ? tombstones : 0);
    }

    void count(Frames.Stored s, int sign) {
        live += sign * (long) (s.length() + Frames.FRAME);
        tombstones += s.tombstone() ? sign * (long) (s.length() + Frames.FRAME) : 0;
    }
}
