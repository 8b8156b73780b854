package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.util.List;
import java.util.Map;

/**
 * Work between writes, in steps: hints for closed segments, expiry, and compaction. A crash at any
 * moment leaves either the inputs of a compaction or its output in the manifest. Writer thread
 * only.
 */
final class StoreMaintenance {
  /** How often compaction is considered while a segment's size is written. */
  private static final int CHECKS_PER_SEGMENT = 8;

  private final StoreDirectory directory;
  private final SegmentLog log;
  private final VersionIndex index;
  private final StoreClock clock;
  private final long segmentBytes;
  private final List<String> messages;

  /** The compaction under way, or null. */
  private Compaction compaction;

  /** Bytes to be written or to expire before compaction is considered again. */
  private long bytesUntilCheck;

  /**
   * @param segmentBytes the most bytes that a compaction copies
   * @param messages takes what operators should know, a line each
   */
  StoreMaintenance(
      StoreDirectory directory,
      SegmentLog log,
      VersionIndex index,
      StoreClock clock,
      long segmentBytes,
      List<String> messages) {
    this.directory = directory;
    this.log = log;
    this.index = index;
    this.clock = clock;
    this.segmentBytes = segmentBytes;
    this.messages = messages;
  }

  /**
   * Does one step.
   *
   * @param bytes about how many bytes a step of compaction reads
   * @return whether there may be more to do
   * @throws StoreException where a compaction was given up; all is as before it
   * @throws StorageIoException where it is not known what the directory holds: nothing may be
   *     written any more
   */
  boolean step(int bytes) throws StorageIoException, StoreException {
    bytesUntilCheck -= log.takeWrittenBytes();
    bytesUntilCheck -= index.expire(clock.latestMs());
    if (compaction == null) {
      if (writeNextHint()) {
        return true;
      }
      if (!beginCompaction()) {
        return false;
      }
    }
    if (!copyStep(bytes)) {
      replaceInputs();
    }
    return true;
  }

  private boolean writeNextHint() {
    for (Segment segment : log.segments()) {
      if (segment != log.activeSegment() && !segment.isHintDone) {
        segment.isHintDone = true; // tried once
        try {
          HintFile.write(directory, segment);
        } catch (StorageIoException e) {
          messages.add(segment.hintFileName() + " was not written: " + e.getMessage());
        }
        return true;
      }
    }
    return false;
  }

  private boolean beginCompaction() throws StorageIoException {
    if (bytesUntilCheck > 0) {
      return false;
    }
    List<Segment> inputs = CompactionPolicy.selectInputs(log.segments(), segmentBytes);
    if (inputs.isEmpty()) {
      bytesUntilCheck = segmentBytes / CHECKS_PER_SEGMENT;
      return false;
    }
    boolean includesOldest = inputs.get(0) == log.segments().get(0);
    compaction =
        new Compaction(inputs, includesOldest, log.createSegment(), index, clock.latestMs());
    return true;
  }

  /** Copies on; returns whether there is more to copy. */
  private boolean copyStep(int bytes) throws StoreException {
    try {
      return compaction.step(bytes);
    } catch (StoreException e) {
      giveUpCompaction();
      throw e;
    } catch (StorageIoException e) {
      giveUpCompaction();
      throw new StoreException(Reason.FAILED, "compaction was given up: " + e.getMessage(), e);
    }
  }

  private void giveUpCompaction() {
    Segment output = compaction.output();
    compaction = null;
    output.release();
    try {
      directory.delete(output.fileName);
    } catch (StorageIoException e) {
      messages.add(output.fileName + " stays until the next start: " + e.getMessage());
    }
  }

  /**
   * Puts the output in the place of the inputs and deletes these. First the log is synced: records
   * that supersede the dropped ones must be durable before the inputs are deleted.
   */
  private void replaceInputs() throws StorageIoException {
    log.sync();
    Compaction done = compaction;
    compaction = null;
    Segment output = done.output();
    log.replace(done.inputs(), output);
    for (Map.Entry<RecordVersion, StoredRecord> entry : done.copied().entrySet()) {
      RecordVersion version = entry.getKey();
      if (index.findVersion(version.location.storedRecord()) == version) {
        version.location = new RecordLocation(output, entry.getValue());
        output.addVersion(version);
      }
    }
    done.dropped().forEach(index::remove);
    for (Segment input : done.inputs()) {
      input.release();
      directory.delete(input.fileName);
      if (directory.fileNames().contains(input.hintFileName())) {
        directory.delete(input.hintFileName());
      }
    }
    if (output.sizeBytes == SegmentFormat.SEGMENT_HEADER_BYTES) {
      output.release();
      directory.delete(output.fileName);
    }
  }

  /** Closes the output of a compaction that was not finished; the next start deletes it. */
  void close() {
    if (compaction != null) {
      compaction.output().release();
    }
  }
}
