package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.function.LongSupplier;

/**
 * The store without its thread: the log and the index over it.
 *
 * <p>One thread writes: {@link #append}, then {@link #sync} where the writes must be durable, then
 * {@link #publish}, from when on all threads see them. Reads ({@code get}, {@code range},
 * snapshots) come from any thread and never wait for the writer: they look up the version of a key
 * at the last published sequence number, O(log n), and read its record from disk.
 *
 * <p>Durability: after a crash the store holds a prefix of the batches in the order of {@link
 * #append}, at least up to the last {@link #sync} that returned, each complete or not at all.
 */
final class StoreEngine implements AutoCloseable {
  /**
   * How the engine writes.
   *
   * @param segmentBytes a segment that has reached this size is followed by a new one
   */
  record Options(long segmentBytes) {
    /** The hint of a segment is written in one go, some 30 ms for records of 100 bytes. */
    static final Options DEFAULT = new Options(16 << 20);
  }

  /**
   * What became of a batch.
   *
   * @param version of its keys, or 0 where it was rejected
   * @param rejection why it was not written, or null
   */
  record AppendResult(long version, StoreException rejection) {}

  /** A value with its version. */
  record VersionedValue(byte[] bytes, long version) {}

  /**
   * The state of the engine.
   *
   * @param totalBytes of all segments
   * @param liveBytes of them, those that the index points at
   * @param version the sequence number up to which writes are visible
   * @param failure why nothing can be written any more, or null
   * @param messages what operators should know of opening and maintenance, a line each
   */
  record Metrics(
      int keyCount,
      int segmentCount,
      long totalBytes,
      long liveBytes,
      long version,
      String failure,
      List<String> messages) {}

  private final VersionIndex index = new VersionIndex();
  private final List<String> messages = new ArrayList<>();
  private final StoreClock clock;
  private final SegmentLog log;
  private final StoreMaintenance maintenance;

  /** Why nothing can be written any more, or null. */
  private volatile String failure;

  /**
   * Opens the store of a directory, or begins one in an empty directory.
   *
   * @param nowMs the time (ms since 1970); a later one in the log counts instead
   * @param saltSource gives each segment a number that hardly any other one has
   */
  StoreEngine(StoreDirectory directory, Options options, long nowMs, LongSupplier saltSource)
      throws StorageIoException, StoreException {
    clock = new StoreClock(nowMs);
    log = new SegmentLog(directory, options.segmentBytes(), saltSource);
    List<String> fileNames = directory.fileNames();
    if (fileNames.contains(Manifest.FILE_NAME)) {
      StoreRecovery recovery = new StoreRecovery(directory, index, clock, messages);
      recovery.run(fileNames);
      log.restore(recovery);
    } else {
      StoreRecovery.checkEmpty(directory, fileNames);
      log.create();
    }
    index.finishLoading(log.lastSequence());
    maintenance =
        new StoreMaintenance(directory, log, index, clock, options.segmentBytes(), messages);
  }

  // ---- writer thread ----

  private void checkWritable() throws StoreException {
    if (failure != null) {
      throw new StoreException(Reason.FAILED, failureMessage());
    }
  }

  private String failureMessage() {
    return "the disk failed: "
        + failure
        + "; nothing is written until the node is restarted (reads go on)";
  }

  /** Ends writing: what the files hold is not known after this error. */
  private StoreException failWrites(StorageIoException cause) {
    failure = cause.getMessage();
    index.discardStaged();
    return new StoreException(Reason.FAILED, failureMessage(), cause);
  }

  /**
   * Writes the batches whose conditions hold, one after the other; the conditions of each see what
   * those before it write.
   *
   * @param timeMs the time (ms since 1970)
   * @return a result for each batch, in order
   * @throws StoreException FAILED where the disk fails, now or before
   */
  List<AppendResult> append(List<WriteBatch> batches, long timeMs) throws StoreException {
    checkWritable();
    clock.advance(timeMs);
    List<AppendResult> results = new ArrayList<>(batches.size());
    try {
      log.clearBuffer();
      for (WriteBatch batch : batches) {
        StoreException conflict = findConflict(batch);
        results.add(conflict == null ? appendBatch(batch) : new AppendResult(0, conflict));
      }
      log.flush();
    } catch (StorageIoException e) {
      throw failWrites(e);
    }
    return results;
  }

  private AppendResult appendBatch(WriteBatch batch) throws StorageIoException {
    for (RecordVersion version : log.append(batch, clock.latestMs())) {
      index.stage(version);
    }
    return new AppendResult(log.lastSequence(), null);
  }

  private StoreException findConflict(WriteBatch batch) {
    for (Map.Entry<StoreKey, Long> required : batch.requiredVersions.entrySet()) {
      RecordVersion known = index.newestWritten(required.getKey());
      long version = known == null || known.isAbsent(clock.latestMs()) ? 0 : known.sequence;
      if (version != required.getValue()) {
        return new StoreException(
            Reason.CONFLICT,
            required.getKey() + " has version " + version + ", not " + required.getValue());
      }
    }
    return null;
  }

  /**
   * Returns once everything appended is durable. A sync that failed is not tried again, as the
   * system may have dropped what it covered.
   */
  void sync() throws StoreException {
    checkWritable();
    try {
      log.sync();
    } catch (StorageIoException e) {
      throw failWrites(e);
    }
  }

  /** Makes everything appended visible to readers, each batch as a whole. */
  void publish() {
    index.publishStaged(log.lastSequence());
  }

  /**
   * Does one step of maintenance: a hint, or a part of a compaction.
   *
   * @param bytes about how many bytes a step of compaction reads
   * @param timeMs the time (ms since 1970)
   * @return whether there may be more to do
   */
  boolean runMaintenance(int bytes, long timeMs) throws StoreException {
    checkWritable();
    clock.advance(timeMs);
    try {
      return maintenance.step(bytes);
    } catch (StorageIoException e) {
      throw failWrites(e);
    }
  }

  /** The state now. */
  Metrics metrics() {
    long totalBytes = 0;
    long liveBytes = 0;
    for (Segment segment : log.segments()) {
      totalBytes += segment.sizeBytes;
      liveBytes += segment.liveBytes;
    }
    return new Metrics(
        index.size(),
        log.segments().size(),
        totalBytes,
        liveBytes,
        index.publishedSequence(),
        failure,
        List.copyOf(messages));
  }

  /** Makes everything durable, marks the log as closed, and closes its files. */
  @Override
  public void close() {
    try {
      if (failure == null) {
        sync();
        publish();
        log.appendCloseMarker(clock.latestMs());
      }
    } catch (StoreException | StorageIoException e) {
      // the next start finds what a crash would leave
      messages.add("not closed cleanly: " + e.getMessage());
    } finally {
      maintenance.close();
      log.releaseSegments();
    }
  }

  // ---- any thread ----

  /** Takes a sequence number at which everything stays readable until {@link #releaseSnapshot}. */
  long openSnapshot() {
    return index.openSnapshot();
  }

  void releaseSnapshot(long snapshot) {
    index.releaseSnapshot(snapshot);
  }

  /** The present value of a key, or null. */
  VersionedValue get(StoreKey key, long timeMs) throws StorageIoException, StoreException {
    while (true) {
      long sequence = index.publishedSequence();
      RecordVersion version = index.versionAt(key, sequence);
      if (version == null) {
        if (index.publishedSequence() == sequence) {
          return null;
        }
        continue; // it may have been trimmed meanwhile
      }
      VersionedValue value = read(version, timeMs);
      if (value != null
          || version.isAbsent(clock.advance(timeMs))
          || index.publishedSequence() == sequence) {
        return value;
      }
    }
  }

  /** The value of a key as of a snapshot, or null. */
  VersionedValue get(StoreKey key, long timeMs, long snapshot)
      throws StorageIoException, StoreException {
    RecordVersion version = index.versionAt(key, snapshot);
    return version == null ? null : read(version, timeMs);
  }

  private VersionedValue read(RecordVersion version, long timeMs)
      throws StorageIoException, StoreException {
    while (!version.isAbsent(clock.advance(timeMs))) {
      RecordLocation location = version.location;
      Segment segment = location.segment();
      if (segment.tryRetain()) {
        try {
          byte[] bytes = SegmentFormat.readValue(segment, location.storedRecord());
          return new VersionedValue(bytes, version.sequence);
        } finally {
          segment.release();
        }
      }
      if (location == version.location) {
        return null; // trimmed, and its segment is deleted
      }
    }
    return null;
  }

  /** The keys from one up to, not including, another (null: without end), in order. */
  NavigableMap<StoreKey, RecordVersion> range(StoreKey from, StoreKey to) {
    return index.range(from, to);
  }
}
