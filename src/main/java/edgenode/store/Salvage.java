package edgenode.store;

import edgenode.store.Disk.DiskException;
import edgenode.store.Frames.Stored;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads all that can be read of a folder, changing nothing: what {@code store check}, {@code dump}
 * and {@code repair} stand on. A key's latest version that is whole counts; where a place is
 * damaged, a later one may have stood there.
 */
final class Salvage {
  /** A record with the segment it stands in. */
  record Found(Segment segment, Stored stored) {}

  /**
   * A place that cannot be read: bytes from, to before. Torn: at the end of the last segment, as
   * after a crash.
   */
  record Lost(String file, long from, long to, String why, boolean torn) {}

  final Map<Key, Found> latest = new TreeMap<>();
  final List<Lost> lost = new ArrayList<>();
  long frames;
  long records;
  long bytes;
  long time;

  /**
   * @param progress is told of each segment before it is read
   */
  static Salvage of(Disk disk, Consumer<String> progress) throws DiskException, StoreException {
    Salvage s = new Salvage();
    List<Long> ids = new ArrayList<>();
    List<String> names = disk.names();
    long last = -1;
    try {
      List<long[]> told = Manifest.read(disk).segments();
      told.forEach(t -> ids.add(t[0]));
      last = ids.get(ids.size() - 1);
      for (long[] t : told) {
        long size = names.contains(Segment.name(t[0])) ? size(disk, Segment.name(t[0])) : 0;
        if (size == 0 || t[0] != last && size != t[1]) {
          s.lost.add(
              new Lost(
                  Segment.name(t[0]),
                  Math.min(size, t[1]),
                  Math.max(size, t[1]),
                  size + " bytes, of " + t[1] + " when it was closed",
                  false));
        }
      }
    } catch (DiskException | StoreException e) {
      if (e instanceof StoreException known && known.reason() == StoreException.Reason.NEWER) {
        throw e;
      }
      s.lost.add(
          new Lost(Manifest.NAME, 0, 0, e.getMessage() + "; every segment there is read", false));
      names.stream()
          .filter(n -> n.matches("[0-9a-f]{16}\\.seg"))
          .forEach(n -> ids.add(Long.parseLong(n.substring(0, 16), 16)));
    }
    for (long id : ids) {
      if (names.contains(Segment.name(id))) {
        progress.accept(Segment.name(id));
        s.segment(disk, id, id == last);
      }
    }
    return s;
  }

  private static long size(Disk disk, String name) throws DiskException {
    Disk.File file = disk.open(name, false);
    try {
      return file.size();
    } finally {
      file.close();
    }
  }

  private void segment(Disk disk, long id, boolean last) throws DiskException, StoreException {
    Disk.File file = disk.open(Segment.name(id), false);
    Segment s;
    try {
      s = new Segment(id, Frames.salt(file, id, Segment.name(id)), file);
    } catch (StoreException e) {
      if (e.reason() == StoreException.Reason.NEWER) {
        throw e;
      }
      lost.add(
          new Lost(
              Segment.name(id), 0, file.size(), "no header: its frames cannot be told", false));
      file.close();
      return;
    }
    s.size = file.size();
    bytes += s.size;
    Frames.Reader reader = new Frames.Reader(file, s.salt, s.size);
    long at = Frames.HEADER;
    int open =
        -1; // the last place that was lost, while no later frame says that it had been synced
    while (at < s.size) {
      Frames.Frame f = reader.frame(at);
      if (f == null) {
        f = reader.next(at + 1);
        lost.add(new Lost(s.name, at, f == null ? s.size : f.at(), "no whole frame", last));
        open = open < 0 ? lost.size() - 1 : open;
        if (f == null) {
          return;
        }
      }
      if (open >= 0 && f.durable() > lost.get(open).from()) {
        for (int i = open; i < lost.size(); i++) {
          Lost l = lost.get(i);
          lost.set(
              i, new Lost(l.file, l.from, l.to, "no whole frame, though it was synced", false));
        }
        open = -1;
      }
      at = f.end();
      frames++;
      time = Math.max(time, f.time());
      if (open < 0 || !lost.get(open).torn) { // what follows a torn place was never to be there
        for (Stored r : f.records()) {
          records++;
          latest.merge(r.key(), new Found(s, r), (a, b) -> a.stored.seq() > b.stored.seq() ? a : b);
        }
      }
    }
  }

  boolean damaged() {
    return lost.stream().anyMatch(l -> !l.torn);
  }

  byte[] value(Found f) throws DiskException, StoreException {
    return Frames.value(f.segment.file, f.segment.salt, f.stored, f.segment.name);
  }
}
