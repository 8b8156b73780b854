package edgenode.store;

import edgenode.store.Disk.DiskException;
import edgenode.store.Frames.Stored;
import edgenode.store.StoreException.Reason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The log and its index. One thread writes: {@link #append}, then {@link #sync} where it must last,
 * then {@link #publish}, from when on all threads read it. Reads come from any thread and never
 * wait for the writer: they look up a key's version at the last published sequence number
 * (multi-version concurrency control), O(log n), and read its record from its place.
 *
 * <p>What lasts: a prefix of the batches in the order of {@link #append}, at least up to the last
 * {@link #sync} that returned, each whole or not at all.
 */
final class Engine implements AutoCloseable {
  /**
   * @param segmentBytes a segment that has reached it is followed by a new one
   */
  record Limits(long segmentBytes) {
    /**
     * Its hint is written in one go, some 30 ms for records of 100 bytes; a million of those need
     * eleven.
     */
    static final Limits DEFAULT = new Limits(16 << 20);
  }

  /** What became of a batch: its version, and why it was not written where it is 0. */
  record Outcome(long version, StoreException why) {}

  /** A value with its version. */
  record Value(byte[] bytes, long version) {}

  private record Change(Key key, Slot slot) {}

  private final Disk disk;
  private final Limits limits;
  private final LongSupplier salts;

  /** What opening found to tell: a torn end that was cut off, hints that were of no use. */
  private final List<String> told = new ArrayList<>();

  private final ConcurrentNavigableMap<Key, Slot> index = new ConcurrentSkipListMap<>();
  private final ConcurrentNavigableMap<Long, Integer> snapshots = new ConcurrentSkipListMap<>();

  /** The oldest first; the last one grows. */
  private final List<Segment> segments = new ArrayList<>();

  private final List<Change> pending = new ArrayList<>();
  private final Map<Key, Slot> pendingByKey = new HashMap<>();

  /** Versions with a time to live, the next to expire first. */
  private final PriorityQueue<Slot> expiring =
      new PriorityQueue<>(Comparator.comparingLong((Slot s) -> s.expires));

  private Compaction compaction;
  private ByteBuffer out = ByteBuffer.allocate(1 << 16);
  private long nextId = 1;
  private long lastSeq;
  private long synced;

  /** Bytes to be written before it is looked again whether a compaction is worthwhile. */
  private long quiet;

  /** The latest time seen (ms since 1970), also by the log: what has expired stays so. */
  private final AtomicLong clock;

  private volatile long visible;

  /** Versions that no reader at this sequence number or later needs may be gone. */
  private volatile long trimmedAt;

  private volatile String failed;

  /**
   * Opens what is in the folder, or begins anew in an empty one.
   *
   * @param now the time (ms since 1970); where it is before what the log has seen, that counts
   * @param salts a number for each segment that no other one is likely to have
   */
  Engine(Disk disk, Limits limits, long now, LongSupplier salts)
      throws DiskException, StoreException {
    this.disk = disk;
    this.limits = limits;
    this.salts = salts;
    clock = new AtomicLong(now);
    List<String> names = disk.names();
    if (names.contains(Manifest.NAME)) {
      recover(names);
    } else {
      for (String name : names) {
        if (name.endsWith(".seg") && length(name) > Frames.HEADER) {
          throw new StoreException(
              Reason.DAMAGED, Manifest.NAME + " is missing and " + name + " is there");
        }
      }
      segments.add(create());
      manifest(segments);
    }
    visible = lastSeq;
    trimmedAt = lastSeq;
  }

  private long length(String name) throws DiskException {
    Disk.File file = disk.open(name, false);
    try {
      return file.size();
    } finally {
      file.close();
    }
  }

  // ---- opening ----

  private void recover(List<String> names) throws DiskException, StoreException {
    Manifest manifest = Manifest.read(disk);
    nextId = manifest.next();
    Set<String> known = new HashSet<>(List.of(Manifest.NAME));
    for (long[] s : manifest.segments()) {
      known.add(Segment.name(s[0]));
      known.add(Segment.hint(s[0]));
      if (!names.contains(Segment.name(s[0]))) {
        throw new StoreException(Reason.DAMAGED, Segment.name(s[0]) + " is missing");
      }
    }
    for (int i = 0; i < manifest.segments().size(); i++) {
      long[] told = manifest.segments().get(i);
      Disk.File file = disk.open(Segment.name(told[0]), false);
      Segment s = new Segment(told[0], Frames.salt(file, told[0], Segment.name(told[0])), file);
      segments.add(s);
      s.size = file.size();
      if (i == manifest.segments().size() - 1) {
        cut(s, load(s));
      } else if (s.size != told[1]) {
        throw new StoreException(
            Reason.DAMAGED,
            s.name + ": " + s.size + " bytes, of " + told[1] + " when it was closed");
      } else {
        List<Stored> hint = names.contains(s.hint()) ? Hint.read(disk, s, this::seen) : null;
        s.hinted = hint != null;
        if (hint != null) {
          hint.forEach(r -> enter(s, r));
        } else if (load(s) < s.size) {
          throw new StoreException(
              Reason.DAMAGED, s.name + ", offset " + load(s) + ": no whole frame");
        }
      }
    }
    for (String name : names) { // left by a compaction or a roll that was cut off
      if (!known.contains(name) && name.matches("[0-9a-f]{16}\\.(seg|hint)|.*\\.new")) {
        disk.delete(name);
      }
    }
  }

  private void seen(long time, long seq) {
    later(time);
    lastSeq = Math.max(lastSeq, seq);
  }

  private long later(long time) {
    long known = clock.get();
    return time > known ? clock.accumulateAndGet(time, Math::max) : known;
  }

  /** Enters the frames of a segment; returns where the last whole one ends. */
  private long load(Segment s) throws DiskException {
    Frames.Reader reader = new Frames.Reader(s.file, s.salt, s.size);
    long at = Frames.HEADER;
    long seq = 0;
    for (Frames.Frame f = reader.frame(at); f != null && f.seq() > seq; f = reader.frame(at)) {
      f.records().forEach(r -> enter(s, r));
      seen(f.time(), f.seq());
      seq = f.seq();
      at = f.end();
    }
    return at;
  }

  private void entered(Slot s) {
    s.place.segment().count(s, 1);
    if (s.expires > 0) {
      expiring.add(s);
    }
  }

  /** A key's later version counts, wherever it stands. */
  private void enter(Segment s, Stored r) {
    Slot there = index.get(r.key());
    if (there == null || there.seq < r.seq()) {
      if (there != null) {
        there.place.segment().count(there, -1);
      }
      Slot slot = new Slot(s, r);
      index.put(r.key(), slot);
      entered(slot);
    }
  }

  /**
   * What follows the last whole frame of the last segment was being written when all ended, and is
   * cut off, unless a later frame says that this place had lasted already: then it is damage.
   */
  private void cut(Segment s, long end) throws DiskException, StoreException {
    synced = end;
    if (end == s.size) {
      return;
    }
    Frames.Reader reader = new Frames.Reader(s.file, s.salt, s.size);
    for (Frames.Frame f = reader.next(end + 1); f != null; f = reader.next(f.end())) {
      if (f.durable() > end) {
        throw new StoreException(
            Reason.DAMAGED,
            s.name
                + ", offset "
                + end
                + ": no whole frame, though it was synced before offset "
                + f.at()
                + " was written");
      }
    }
    told.add(s.name + ": a torn end of " + (s.size - end) + " bytes cut off at offset " + end);
    s.file.truncate(end);
    s.file.sync();
    s.size = end;
  }

  // ---- writing ----

  private Segment create() throws DiskException {
    long id = nextId++;
    long salt = salts.getAsLong();
    Disk.File file = disk.open(Segment.name(id), true);
    file.write(Frames.header(id, salt), 0);
    file.sync();
    disk.syncFolder();
    return new Segment(id, salt, file);
  }

  private void manifest(List<Segment> of) throws DiskException {
    List<long[]> list = new ArrayList<>();
    for (Segment s : of) {
      list.add(new long[] {s.id, s.size});
    }
    new Manifest(nextId, list).write(disk);
  }

  private Segment last() {
    return segments.get(segments.size() - 1);
  }

  private StoreException fail(DiskException e) {
    failed = e.getMessage();
    pending.clear();
    pendingByKey.clear();
    return new StoreException(
        Reason.FAILED, "the disk failed, nothing is written any more: " + failed, e);
  }

  private void checkWritable() throws StoreException {
    if (failed != null) {
      throw new StoreException(
          Reason.FAILED, "the disk failed, nothing is written any more: " + failed);
    }
  }

  /**
   * Writes the batches whose conditions hold, one after the other; what one writes the next one's
   * conditions see.
   */
  List<Outcome> append(List<Batch> batches, long time) throws StoreException {
    checkWritable();
    later(time);
    List<Outcome> outcomes = new ArrayList<>(batches.size());
    try {
      out.clear();
      for (Batch b : batches) {
        StoreException conflict = conflict(b);
        outcomes.add(new Outcome(conflict == null ? frame(b) : 0, conflict));
      }
      flush();
    } catch (DiskException e) {
      throw fail(e);
    }
    return outcomes;
  }

  private StoreException conflict(Batch b) {
    for (Map.Entry<Key, Long> e : b.wanted.entrySet()) {
      Slot slot = pendingByKey.getOrDefault(e.getKey(), index.get(e.getKey()));
      long version = slot == null || slot.absent(clock.get()) ? 0 : slot.seq;
      if (version != e.getValue()) {
        return new StoreException(
            Reason.CONFLICT, e.getKey() + " has version " + version + ", not " + e.getValue());
      }
    }
    return null;
  }

  private long frame(Batch b) throws DiskException {
    int size = Frames.FRAME;
    for (Map.Entry<Key, Batch.Op> e : b.ops.entrySet()) {
      size +=
          Frames.recordSize(
              e.getKey(), e.getValue().value() == null ? 0 : e.getValue().value().length);
    }
    if (last().size + out.position() >= limits.segmentBytes()) {
      flush();
      roll();
    }
    if (out.remaining() < size) {
      flush();
      out = out.capacity() < size ? ByteBuffer.allocate(size) : out;
    }
    Segment s = last();
    int from = Frames.open(out, ++lastSeq, clock.get(), synced);
    for (Map.Entry<Key, Batch.Op> e : b.ops.entrySet()) {
      Stored r =
          Frames.record(
              out,
              s.salt,
              s.size + out.position(),
              e.getKey(),
              lastSeq,
              e.getValue().value(),
              e.getValue().expires());
      Slot slot = new Slot(s, r);
      pending.add(new Change(e.getKey(), slot));
      pendingByKey.put(e.getKey(), slot);
    }
    Frames.close(out, from, s.salt, s.size + from, b.ops.size());
    return lastSeq;
  }

  private void flush() throws DiskException {
    if (out.position() > 0) {
      out.flip();
      int length = out.limit();
      last().file.write(out, last().size);
      last().size += length;
      quiet -= length;
      out.clear();
    }
  }

  /**
   * The full segment lasts before another one is begun, so that only the last one can have a torn
   * end.
   */
  private void roll() throws DiskException {
    last().file.sync();
    segments.add(create());
    synced = Frames.HEADER;
    manifest(segments);
  }

  /**
   * Returns when all that was appended lasts. A sync that failed is not tried again: what it
   * covered may be lost.
   */
  void sync() throws StoreException {
    checkWritable();
    try {
      last().file.sync();
      synced = last().size;
    } catch (DiskException e) {
      throw fail(e);
    }
  }

  /** All readers see what was appended, each batch whole. */
  void publish() {
    for (Change c : pending) {
      Slot old = index.get(c.key);
      c.slot.prev = old;
      index.put(c.key, c.slot);
      entered(c.slot);
    }
    visible = lastSeq;
    pending.forEach(c -> trim(c.slot));
    pending.clear();
    pendingByKey.clear();
  }

  /** Lets versions go that neither the readers of today nor a snapshot can want. */
  private void trim(Slot head) {
    trimmedAt = visible; // before the snapshots are looked at: one that is taken meanwhile sees it
    Slot newer = head;
    for (Slot old = head.prev; old != null; old = old.prev) {
      Long wanting = snapshots.floorKey(newer.seq - 1);
      if (wanting != null && wanting >= old.seq) {
        newer = old;
      } else {
        old.place.segment().count(old, -1);
        newer.prev = old.prev;
      }
    }
  }

  // ---- reading ----

  /** A sequence number at which all stays readable until it is {@link #release}d. */
  long snapshot() {
    while (true) {
      long at = visible;
      snapshots.merge(at, 1, Integer::sum);
      if (trimmedAt <= at) {
        return at;
      }
      release(at);
    }
  }

  void release(long snapshot) {
    snapshots.computeIfPresent(snapshot, (at, n) -> n > 1 ? n - 1 : null);
  }

  private Slot at(Slot head, long seq) {
    Slot s = head;
    while (s != null && s.seq > seq) {
      s = s.prev;
    }
    return s;
  }

  /** The value now, or null. */
  Value get(Key key, long time) throws DiskException, StoreException {
    while (true) {
      long seq = visible;
      Slot s = at(index.get(key), seq);
      if (s == null && visible != seq) {
        continue; // it may have been trimmed since
      }
      Value v = s == null ? null : read(s, time);
      if (v != null || s == null || s.absent(later(time)) || visible == seq) {
        return v;
      }
    }
  }

  /** The value as of a snapshot, or null. */
  Value get(Key key, long time, long snapshot) throws DiskException, StoreException {
    Slot s = at(index.get(key), snapshot);
    return s == null ? null : read(s, time);
  }

  private Value read(Slot s, long time) throws DiskException, StoreException {
    while (!s.absent(later(time))) {
      Slot.Place p = s.place;
      if (p.segment().use()) {
        try {
          return new Value(
              Frames.value(p.segment().file, p.segment().salt, p.stored(), p.segment().name),
              s.seq);
        } finally {
          p.segment().leave();
        }
      }
      if (p == s.place) {
        return null; // trimmed, and its segment is gone
      }
    }
    return null;
  }

  /** The keys of a namespace from one to before another (null: to its end), in order. */
  NavigableMap<Key, Slot> range(Key from, Key to) {
    return to == null ? index.tailMap(from, true) : index.subMap(from, true, to, false);
  }

  // ---- compaction ----

  /**
   * Goes on with tidying up for about so many bytes: hints for segments that have none, and
   * compaction where it gains enough. Returns false when there is nothing to do. At any moment a
   * cut leaves the old segments or the new one.
   */
  boolean tidy(int bytes, long time) throws StoreException {
    checkWritable();
    later(time);
    expire();
    if (compaction == null) {
      for (Segment s : segments) {
        if (s != last() && !s.hinted) {
          hint(s);
          return true;
        }
      }
      List<Segment> run = quiet > 0 ? List.of() : worthwhile();
      if (run.isEmpty()) {
        quiet = quiet > 0 ? quiet : limits.segmentBytes() / 8;
        return false;
      }
      try {
        compaction =
            new Compaction(
                run, run.get(0) == segments.get(0), create(), this::current, clock.get());
      } catch (DiskException e) {
        throw fail(e); // whether the folder has it is not known
      }
    }
    try {
      if (compaction.step(bytes)) {
        return true;
      }
    } catch (DiskException | StoreException e) { // the old ones are as they were
      Segment of = compaction.output;
      compaction = null;
      of.leave();
      try {
        disk.delete(of.name);
      } catch (DiskException again) {
        told.add(of.name + " stays until the next start: " + again.getMessage());
      }
      throw e instanceof StoreException s
          ? s
          : new StoreException(Reason.FAILED, "compaction was given up: " + e.getMessage(), e);
    }
    try {
      replace();
    } catch (DiskException e) {
      throw fail(e); // it is not known which manifest there is
    }
    return true;
  }

  /** What has expired is room to be had. */
  private void expire() {
    for (Slot s = expiring.peek(); s != null && s.expires <= clock.get(); s = expiring.peek()) {
      expiring.poll();
      if (!s.gone && current(s.place.stored()) == s) {
        s.place.segment().expired(s);
        quiet -= s.place.stored().length();
      }
    }
  }

  private void hint(Segment s) throws StoreException {
    s.hinted = true; // tried once
    try {
      Hint.write(disk, s);
    } catch (DiskException e) {
      told.add(s.hint() + " was not written: " + e.getMessage());
    }
  }

  /** The key's version of that record if it is still wanted, or null. */
  private Slot current(Stored r) {
    Slot head = index.get(r.key());
    if (head != null) {
      trim(head);
    }
    for (Slot s = head; s != null; s = s.prev) {
      if (s.seq == r.seq()) {
        return s;
      }
    }
    return null;
  }

  /**
   * The neighbours whose compaction gains most for what it copies, at least as much as it copies.
   * With it the closed segments take at most twice what they hold, and a compaction one segment
   * more.
   */
  private List<Segment> worthwhile() {
    List<Segment> best = List.of();
    double most = 1;
    for (int i = 0; i < segments.size() - 1; i++) {
      long size = 0;
      long kept = 0;
      for (int j = i; j < segments.size() - 1; j++) {
        size += segments.get(j).size;
        kept += segments.get(j).kept(i == 0);
        double gain = (size - kept) / (double) Math.max(1, kept);
        if (kept <= limits.segmentBytes() && gain > most) {
          most = gain;
          best = new ArrayList<>(segments.subList(i, j + 1));
        }
      }
    }
    return best;
  }

  /** What took the place of records that were left out must last before these go. */
  private void replace() throws DiskException {
    last().file.sync();
    synced = last().size;
    Compaction done = compaction;
    compaction = null;
    List<Segment> after = new ArrayList<>(segments);
    after.add(after.indexOf(done.run.get(0)), done.output);
    after.removeAll(done.run);
    if (done.output.size == Frames.HEADER) {
      after.remove(done.output);
    }
    manifest(after);
    segments.clear();
    segments.addAll(after);
    done.moved.forEach(
        (slot, stored) -> {
          if (current(slot.place.stored()) == slot) {
            slot.place = new Slot.Place(done.output, stored);
            done.output.count(slot, 1);
          }
        });
    done.dropped.forEach(
        r ->
            index.computeIfPresent(
                r.key(), (k, head) -> head.seq == r.seq() && head.prev == null ? null : head));
    for (Segment s : done.run) {
      s.leave();
      disk.delete(s.name);
      if (disk.names().contains(s.hint())) {
        disk.delete(s.hint());
      }
    }
    if (done.output.size == Frames.HEADER) {
      done.output.leave();
      disk.delete(done.output.name);
    }
  }

  // ---- the rest ----

  /** What the store is like. Bytes on the disk, and of those what the index points at. */
  record Figures(
      int keys,
      int segments,
      long bytes,
      long live,
      long version,
      String failed,
      List<String> told) {}

  Figures figures() {
    long bytes = 0;
    long live = 0;
    for (Segment s : segments) {
      bytes += s.size;
      live += s.live;
    }
    return new Figures(
        index.size(), segments.size(), bytes, live, visible, failed, List.copyOf(told));
  }

  List<Segment> segments() {
    return segments;
  }

  /**
   * Makes all last and says so in the log, so that damage at its end can be told from a torn one.
   */
  @Override
  public void close() {
    try {
      if (failed == null) {
        sync();
        publish();
        out.clear();
        Frames.close(
            out, Frames.open(out, ++lastSeq, clock.get(), synced), last().salt, last().size, 0);
        flush();
        last().file.sync();
      }
    } catch (StoreException | DiskException e) {
      told.add("not closed well: " + e.getMessage()); // as after a crash: what was synced is there
    } finally {
      if (compaction != null) {
        compaction.output.leave();
      }
      segments.forEach(Segment::leave);
    }
  }
}
