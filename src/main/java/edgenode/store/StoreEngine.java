package edgenode.store;

import edgenode.store.SegmentFormat.StoredRecord;
import edgenode.store.StoreDirectory.StorageIoException;
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
final class StoreEngine implements AutoCloseable {
  /**
   * @param segmentBytes a segment that has reached it is followed by a new one
   */
  record EngineOptions(long segmentBytes) {
    /**
     * Its hint is written in one go, some 30 ms for records of 100 bytes; a million of those need
     * eleven.
     */
    static final EngineOptions DEFAULT = new EngineOptions(16 << 20);
  }

  /** What became of a batch: its version, and why it was not written where it is 0. */
  record AppendResult(long version, StoreException rejection) {}

  /** A value with its version. */
  record VersionedValue(byte[] bytes, long version) {}

  private record UnpublishedChange(StoreKey key, RecordVersion version) {}

  private final StoreDirectory directory;
  private final EngineOptions options;
  private final LongSupplier saltSource;

  /** What opening found to tell: a torn end that was cut off, hints that were of no use. */
  private final List<String> recoveryMessages = new ArrayList<>();

  private final ConcurrentNavigableMap<StoreKey, RecordVersion> index =
      new ConcurrentSkipListMap<>();
  private final ConcurrentNavigableMap<Long, Integer> openSnapshots = new ConcurrentSkipListMap<>();

  /** The oldest first; the last one grows. */
  private final List<Segment> segments = new ArrayList<>();

  private final List<UnpublishedChange> unpublished = new ArrayList<>();
  private final Map<StoreKey, RecordVersion> unpublishedByKey = new HashMap<>();

  /** Versions with a time to live, the next to expire first. */
  private final PriorityQueue<RecordVersion> expiryQueue =
      new PriorityQueue<>(Comparator.comparingLong((RecordVersion s) -> s.expiresAtMs));

  private Compaction compaction;
  private ByteBuffer writeBuffer = ByteBuffer.allocate(1 << 16);
  private long nextSegmentId = 1;
  private long lastSequence;
  private long syncedOffset;

  /** Bytes to be written before it is looked again whether a compaction is worthwhile. */
  private long bytesUntilCompactionCheck;

  /** The latest time seen (ms since 1970), also by the log: what has expired stays so. */
  private final AtomicLong latestTimeMs;

  private volatile long publishedSequence;

  /** Versions that no reader at this sequence number or later needs may be gone. */
  private volatile long trimmedSequence;

  private volatile String failed;

  /**
   * Opens what is in the folder, or begins anew in an empty one.
   *
   * @param now the time (ms since 1970); where it is before what the log has seen, that counts
   * @param salts a number for each segment that no other one is likely to have
   */
  StoreEngine(StoreDirectory disk, EngineOptions limits, long now, LongSupplier salts)
      throws StorageIoException, StoreException {
    this.directory = disk;
    this.options = limits;
    this.saltSource = salts;
    latestTimeMs = new AtomicLong(now);
    List<String> names = disk.fileNames();
    if (names.contains(Manifest.FILE_NAME)) {
      recover(names);
    } else {
      for (String name : names) {
        if (name.endsWith(".seg") && length(name) > SegmentFormat.SEGMENT_HEADER_BYTES) {
          throw new StoreException(
              Reason.DAMAGED, Manifest.FILE_NAME + " is missing and " + name + " is there");
        }
      }
      segments.add(createSegment());
      writeManifest(segments);
    }
    publishedSequence = lastSequence;
    trimmedSequence = lastSequence;
  }

  private long length(String name) throws StorageIoException {
    StoreDirectory.StoreFile file = directory.open(name, false);
    try {
      return file.size();
    } finally {
      file.close();
    }
  }

  // ---- opening ----

  private void recover(List<String> names) throws StorageIoException, StoreException {
    Manifest manifest = Manifest.read(directory);
    nextSegmentId = manifest.nextSegmentId();
    Set<String> known = new HashSet<>(List.of(Manifest.FILE_NAME));
    for (long[] s : manifest.segments()) {
      known.add(Segment.fileName(s[0]));
      known.add(Segment.hintFileName(s[0]));
      if (!names.contains(Segment.fileName(s[0]))) {
        throw new StoreException(Reason.DAMAGED, Segment.fileName(s[0]) + " is missing");
      }
    }
    for (int i = 0; i < manifest.segments().size(); i++) {
      long[] told = manifest.segments().get(i);
      StoreDirectory.StoreFile file = directory.open(Segment.fileName(told[0]), false);
      Segment s =
          new Segment(
              told[0], SegmentFormat.readSalt(file, told[0], Segment.fileName(told[0])), file);
      segments.add(s);
      s.sizeBytes = file.size();
      if (i == manifest.segments().size() - 1) {
        truncateTornTail(s, loadFrames(s));
      } else if (s.sizeBytes != told[1]) {
        throw new StoreException(
            Reason.DAMAGED,
            s.fileName + ": " + s.sizeBytes + " bytes, of " + told[1] + " when it was closed");
      } else {
        List<StoredRecord> hint =
            names.contains(s.hintFileName()) ? HintFile.read(directory, s, this::seen) : null;
        s.isHintDone = hint != null;
        if (hint != null) {
          hint.forEach(r -> indexRecord(s, r));
        } else if (loadFrames(s) < s.sizeBytes) {
          throw new StoreException(
              Reason.DAMAGED, s.fileName + ", offset " + loadFrames(s) + ": no whole frame");
        }
      }
    }
    for (String name : names) { // left by a compaction or a roll that was cut off
      if (!known.contains(name) && name.matches("[0-9a-f]{16}\\.(seg|hint)|.*\\.new")) {
        directory.delete(name);
      }
    }
  }

  private void seen(long time, long seq) {
    advanceClock(time);
    lastSequence = Math.max(lastSequence, seq);
  }

  private long advanceClock(long time) {
    long known = latestTimeMs.get();
    return time > known ? latestTimeMs.accumulateAndGet(time, Math::max) : known;
  }

  /** Enters the frames of a segment; returns where the last whole one ends. */
  private long loadFrames(Segment s) throws StorageIoException {
    SegmentFormat.FrameReader reader = new SegmentFormat.FrameReader(s.file, s.salt, s.sizeBytes);
    long at = SegmentFormat.SEGMENT_HEADER_BYTES;
    long seq = 0;
    for (SegmentFormat.Frame f = reader.readFrame(at);
        f != null && f.sequence() > seq;
        f = reader.readFrame(at)) {
      f.records().forEach(r -> indexRecord(s, r));
      seen(f.timeMs(), f.sequence());
      seq = f.sequence();
      at = f.endOffset();
    }
    return at;
  }

  private void countVersion(RecordVersion s) {
    s.location.segment().addVersion(s, 1);
    if (s.expiresAtMs > 0) {
      expiryQueue.add(s);
    }
  }

  /** A key's later version counts, wherever it stands. */
  private void indexRecord(Segment s, StoredRecord r) {
    RecordVersion there = index.get(r.key());
    if (there == null || there.sequence < r.sequence()) {
      if (there != null) {
        there.location.segment().addVersion(there, -1);
      }
      RecordVersion slot = new RecordVersion(s, r);
      index.put(r.key(), slot);
      countVersion(slot);
    }
  }

  /**
   * What follows the last whole frame of the last segment was being written when all ended, and is
   * cut off, unless a later frame says that this place had lasted already: then it is damage.
   */
  private void truncateTornTail(Segment s, long end) throws StorageIoException, StoreException {
    syncedOffset = end;
    if (end == s.sizeBytes) {
      return;
    }
    SegmentFormat.FrameReader reader = new SegmentFormat.FrameReader(s.file, s.salt, s.sizeBytes);
    for (SegmentFormat.Frame f = reader.findFrame(end + 1);
        f != null;
        f = reader.findFrame(f.endOffset())) {
      if (f.durableOffset() > end) {
        throw new StoreException(
            Reason.DAMAGED,
            s.fileName
                + ", offset "
                + end
                + ": no whole frame, though it was synced before offset "
                + f.offset()
                + " was written");
      }
    }
    recoveryMessages.add(
        s.fileName + ": a torn end of " + (s.sizeBytes - end) + " bytes cut off at offset " + end);
    s.file.truncate(end);
    s.file.sync();
    s.sizeBytes = end;
  }

  // ---- writing ----

  private Segment createSegment() throws StorageIoException {
    long id = nextSegmentId++;
    long salt = saltSource.getAsLong();
    StoreDirectory.StoreFile file = directory.open(Segment.fileName(id), true);
    file.write(SegmentFormat.segmentHeader(id, salt), 0);
    file.sync();
    directory.syncDirectory();
    return new Segment(id, salt, file);
  }

  private void writeManifest(List<Segment> of) throws StorageIoException {
    List<long[]> list = new ArrayList<>();
    for (Segment s : of) {
      list.add(new long[] {s.id, s.sizeBytes});
    }
    new Manifest(nextSegmentId, list).write(directory);
  }

  private Segment activeSegment() {
    return segments.get(segments.size() - 1);
  }

  private StoreException failWrites(StorageIoException e) {
    failed = e.getMessage();
    unpublished.clear();
    unpublishedByKey.clear();
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
  List<AppendResult> append(List<WriteBatch> batches, long time) throws StoreException {
    checkWritable();
    advanceClock(time);
    List<AppendResult> outcomes = new ArrayList<>(batches.size());
    try {
      writeBuffer.clear();
      for (WriteBatch b : batches) {
        StoreException conflict = findConflict(b);
        outcomes.add(new AppendResult(conflict == null ? appendFrame(b) : 0, conflict));
      }
      flush();
    } catch (StorageIoException e) {
      throw failWrites(e);
    }
    return outcomes;
  }

  private StoreException findConflict(WriteBatch b) {
    for (Map.Entry<StoreKey, Long> e : b.requiredVersions.entrySet()) {
      RecordVersion slot = unpublishedByKey.getOrDefault(e.getKey(), index.get(e.getKey()));
      long version = slot == null || slot.isAbsent(latestTimeMs.get()) ? 0 : slot.sequence;
      if (version != e.getValue()) {
        return new StoreException(
            Reason.CONFLICT, e.getKey() + " has version " + version + ", not " + e.getValue());
      }
    }
    return null;
  }

  private long appendFrame(WriteBatch b) throws StorageIoException {
    int size = SegmentFormat.FRAME_HEADER_BYTES;
    for (Map.Entry<StoreKey, WriteBatch.Mutation> e : b.mutations.entrySet()) {
      size +=
          SegmentFormat.recordBytes(
              e.getKey(), e.getValue().value() == null ? 0 : e.getValue().value().length);
    }
    if (activeSegment().sizeBytes + writeBuffer.position() >= options.segmentBytes()) {
      flush();
      rollSegment();
    }
    if (writeBuffer.remaining() < size) {
      flush();
      writeBuffer = writeBuffer.capacity() < size ? ByteBuffer.allocate(size) : writeBuffer;
    }
    Segment s = activeSegment();
    int from =
        SegmentFormat.beginFrame(writeBuffer, ++lastSequence, latestTimeMs.get(), syncedOffset);
    for (Map.Entry<StoreKey, WriteBatch.Mutation> e : b.mutations.entrySet()) {
      StoredRecord r =
          SegmentFormat.writeRecord(
              writeBuffer,
              s.salt,
              s.sizeBytes + writeBuffer.position(),
              e.getKey(),
              lastSequence,
              e.getValue().value(),
              e.getValue().expiresAtMs());
      RecordVersion slot = new RecordVersion(s, r);
      unpublished.add(new UnpublishedChange(e.getKey(), slot));
      unpublishedByKey.put(e.getKey(), slot);
    }
    SegmentFormat.endFrame(writeBuffer, from, s.salt, s.sizeBytes + from, b.mutations.size());
    return lastSequence;
  }

  private void flush() throws StorageIoException {
    if (writeBuffer.position() > 0) {
      writeBuffer.flip();
      int length = writeBuffer.limit();
      activeSegment().file.write(writeBuffer, activeSegment().sizeBytes);
      activeSegment().sizeBytes += length;
      bytesUntilCompactionCheck -= length;
      writeBuffer.clear();
    }
  }

  /**
   * The full segment lasts before another one is begun, so that only the last one can have a torn
   * end.
   */
  private void rollSegment() throws StorageIoException {
    activeSegment().file.sync();
    segments.add(createSegment());
    syncedOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
    writeManifest(segments);
  }

  /**
   * Returns when all that was appended lasts. A sync that failed is not tried again: what it
   * covered may be lost.
   */
  void sync() throws StoreException {
    checkWritable();
    try {
      activeSegment().file.sync();
      syncedOffset = activeSegment().sizeBytes;
    } catch (StorageIoException e) {
      throw failWrites(e);
    }
  }

  /** All readers see what was appended, each batch whole. */
  void publish() {
    for (UnpublishedChange c : unpublished) {
      RecordVersion old = index.get(c.key);
      c.version.previous = old;
      index.put(c.key, c.version);
      countVersion(c.version);
    }
    publishedSequence = lastSequence;
    unpublished.forEach(c -> trimVersions(c.version));
    unpublished.clear();
    unpublishedByKey.clear();
  }

  /** Lets versions go that neither the readers of today nor a snapshot can want. */
  private void trimVersions(RecordVersion head) {
    trimmedSequence =
        publishedSequence; // before the snapshots are looked at: one that is taken meanwhile sees
    // it
    RecordVersion newer = head;
    for (RecordVersion old = head.previous; old != null; old = old.previous) {
      Long wanting = openSnapshots.floorKey(newer.sequence - 1);
      if (wanting != null && wanting >= old.sequence) {
        newer = old;
      } else {
        old.location.segment().addVersion(old, -1);
        newer.previous = old.previous;
      }
    }
  }

  // ---- reading ----

  /** A sequence number at which all stays readable until it is {@link #release}d. */
  long snapshot() {
    while (true) {
      long at = publishedSequence;
      openSnapshots.merge(at, 1, Integer::sum);
      if (trimmedSequence <= at) {
        return at;
      }
      release(at);
    }
  }

  void release(long snapshot) {
    openSnapshots.computeIfPresent(snapshot, (at, n) -> n > 1 ? n - 1 : null);
  }

  private RecordVersion versionAt(RecordVersion head, long seq) {
    RecordVersion s = head;
    while (s != null && s.sequence > seq) {
      s = s.previous;
    }
    return s;
  }

  /** The value now, or null. */
  VersionedValue get(StoreKey key, long time) throws StorageIoException, StoreException {
    while (true) {
      long seq = publishedSequence;
      RecordVersion s = versionAt(index.get(key), seq);
      if (s == null && publishedSequence != seq) {
        continue; // it may have been trimmed since
      }
      VersionedValue v = s == null ? null : read(s, time);
      if (v != null || s == null || s.isAbsent(advanceClock(time)) || publishedSequence == seq) {
        return v;
      }
    }
  }

  /** The value as of a snapshot, or null. */
  VersionedValue get(StoreKey key, long time, long snapshot)
      throws StorageIoException, StoreException {
    RecordVersion s = versionAt(index.get(key), snapshot);
    return s == null ? null : read(s, time);
  }

  private VersionedValue read(RecordVersion s, long time)
      throws StorageIoException, StoreException {
    while (!s.isAbsent(advanceClock(time))) {
      RecordVersion.RecordLocation p = s.location;
      if (p.segment().tryRetain()) {
        try {
          return new VersionedValue(
              SegmentFormat.readValue(
                  p.segment().file, p.segment().salt, p.storedRecord(), p.segment().fileName),
              s.sequence);
        } finally {
          p.segment().release();
        }
      }
      if (p == s.location) {
        return null; // trimmed, and its segment is gone
      }
    }
    return null;
  }

  /** The keys of a namespace from one to before another (null: to its end), in order. */
  NavigableMap<StoreKey, RecordVersion> range(StoreKey from, StoreKey to) {
    return to == null ? index.tailMap(from, true) : index.subMap(from, true, to, false);
  }

  // ---- compaction ----

  /**
   * Goes on with tidying up for about so many bytes: hints for segments that have none, and
   * compaction where it gains enough. Returns false when there is nothing to do. At any moment a
   * cut leaves the old segments or the new one.
   */
  boolean runMaintenance(int bytes, long time) throws StoreException {
    checkWritable();
    advanceClock(time);
    expireVersions();
    if (compaction == null) {
      for (Segment s : segments) {
        if (s != activeSegment() && !s.isHintDone) {
          writeHint(s);
          return true;
        }
      }
      List<Segment> run = bytesUntilCompactionCheck > 0 ? List.of() : selectInputs();
      if (run.isEmpty()) {
        bytesUntilCompactionCheck =
            bytesUntilCompactionCheck > 0 ? bytesUntilCompactionCheck : options.segmentBytes() / 8;
        return false;
      }
      try {
        compaction =
            new Compaction(
                run,
                run.get(0) == segments.get(0),
                createSegment(),
                this::findVersion,
                latestTimeMs.get());
      } catch (StorageIoException e) {
        throw failWrites(e); // whether the folder has it is not known
      }
    }
    try {
      if (compaction.step(bytes)) {
        return true;
      }
    } catch (StorageIoException | StoreException e) { // the old ones are as they were
      Segment of = compaction.output;
      compaction = null;
      of.release();
      try {
        directory.delete(of.fileName);
      } catch (StorageIoException again) {
        recoveryMessages.add(of.fileName + " stays until the next start: " + again.getMessage());
      }
      throw e instanceof StoreException s
          ? s
          : new StoreException(Reason.FAILED, "compaction was given up: " + e.getMessage(), e);
    }
    try {
      replaceInputs();
    } catch (StorageIoException e) {
      throw failWrites(e); // it is not known which manifest there is
    }
    return true;
  }

  /** What has expired is room to be had. */
  private void expireVersions() {
    for (RecordVersion s = expiryQueue.peek();
        s != null && s.expiresAtMs <= latestTimeMs.get();
        s = expiryQueue.peek()) {
      expiryQueue.poll();
      if (!s.isDeletedOrExpired && findVersion(s.location.storedRecord()) == s) {
        s.location.segment().markExpired(s);
        bytesUntilCompactionCheck -= s.location.storedRecord().lengthBytes();
      }
    }
  }

  private void writeHint(Segment s) throws StoreException {
    s.isHintDone = true; // tried once
    try {
      HintFile.write(directory, s);
    } catch (StorageIoException e) {
      recoveryMessages.add(s.hintFileName() + " was not written: " + e.getMessage());
    }
  }

  /** The key's version of that record if it is still wanted, or null. */
  private RecordVersion findVersion(StoredRecord r) {
    RecordVersion head = index.get(r.key());
    if (head != null) {
      trimVersions(head);
    }
    for (RecordVersion s = head; s != null; s = s.previous) {
      if (s.sequence == r.sequence()) {
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
  private List<Segment> selectInputs() {
    List<Segment> best = List.of();
    double most = 1;
    for (int i = 0; i < segments.size() - 1; i++) {
      long size = 0;
      long kept = 0;
      for (int j = i; j < segments.size() - 1; j++) {
        size += segments.get(j).sizeBytes;
        kept += segments.get(j).bytesAfterCompaction(i == 0);
        double gain = (size - kept) / (double) Math.max(1, kept);
        if (kept <= options.segmentBytes() && gain > most) {
          most = gain;
          best = new ArrayList<>(segments.subList(i, j + 1));
        }
      }
    }
    return best;
  }

  /** What took the place of records that were left out must last before these go. */
  private void replaceInputs() throws StorageIoException {
    activeSegment().file.sync();
    syncedOffset = activeSegment().sizeBytes;
    Compaction done = compaction;
    compaction = null;
    List<Segment> after = new ArrayList<>(segments);
    after.add(after.indexOf(done.inputs.get(0)), done.output);
    after.removeAll(done.inputs);
    if (done.output.sizeBytes == SegmentFormat.SEGMENT_HEADER_BYTES) {
      after.remove(done.output);
    }
    writeManifest(after);
    segments.clear();
    segments.addAll(after);
    done.copied.forEach(
        (slot, stored) -> {
          if (findVersion(slot.location.storedRecord()) == slot) {
            slot.location = new RecordVersion.RecordLocation(done.output, stored);
            done.output.addVersion(slot, 1);
          }
        });
    done.dropped.forEach(
        r ->
            index.computeIfPresent(
                r.key(),
                (k, head) -> head.sequence == r.sequence() && head.previous == null ? null : head));
    for (Segment s : done.inputs) {
      s.release();
      directory.delete(s.fileName);
      if (directory.fileNames().contains(s.hintFileName())) {
        directory.delete(s.hintFileName());
      }
    }
    if (done.output.sizeBytes == SegmentFormat.SEGMENT_HEADER_BYTES) {
      done.output.release();
      directory.delete(done.output.fileName);
    }
  }

  // ---- the rest ----

  /** What the store is like. Bytes on the disk, and of those what the index points at. */
  record EngineMetrics(
      int keyCount,
      int segmentCount,
      long totalBytes,
      long liveBytes,
      long version,
      String failure,
      List<String> recoveryMessages) {}

  EngineMetrics metrics() {
    long bytes = 0;
    long live = 0;
    for (Segment s : segments) {
      bytes += s.sizeBytes;
      live += s.liveBytes;
    }
    return new EngineMetrics(
        index.size(),
        segments.size(),
        bytes,
        live,
        publishedSequence,
        failed,
        List.copyOf(recoveryMessages));
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
        writeBuffer.clear();
        SegmentFormat.endFrame(
            writeBuffer,
            SegmentFormat.beginFrame(writeBuffer, ++lastSequence, latestTimeMs.get(), syncedOffset),
            activeSegment().salt,
            activeSegment().sizeBytes,
            0);
        flush();
        activeSegment().file.sync();
      }
    } catch (StoreException | StorageIoException e) {
      recoveryMessages.add(
          "not closed well: " + e.getMessage()); // as after a crash: what was synced is there
    } finally {
      if (compaction != null) {
        compaction.output.release();
      }
      segments.forEach(Segment::release);
    }
  }
}
