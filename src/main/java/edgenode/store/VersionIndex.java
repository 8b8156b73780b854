package edgenode.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The ordered index of keys, each with its newest version and those older ones that a snapshot may
 * need (multi-version concurrency control). The writer thread stages versions and publishes them
 * together; all other threads read what was published and never wait for the writer. A look-up
 * costs O(log n).
 */
final class VersionIndex {
  /** The newest version of each key, also of deleted ones. */
  private final ConcurrentNavigableMap<StoreKey, RecordVersion> newest =
      new ConcurrentSkipListMap<>();

  /** Open snapshots: how many there are at each sequence number. */
  private final ConcurrentNavigableMap<Long, Integer> openSnapshots = new ConcurrentSkipListMap<>();

  /** Written to the log and not visible yet, in the order of writing. */
  private final List<RecordVersion> staged = new ArrayList<>();

  private final Map<StoreKey, RecordVersion> newestStaged = new HashMap<>();

  /** Versions with a time to live, the next to expire first; also such as have been replaced. */
  private final PriorityQueue<RecordVersion> expiryQueue =
      new PriorityQueue<>(Comparator.comparingLong((RecordVersion version) -> version.expiresAtMs));

  private volatile long publishedSequence;

  /** Versions that no reader at this sequence number or a later one needs may have been dropped. */
  private volatile long trimmedSequence;

  // ---- writer thread ----

  /** Enters a record while the store is opened; the later version of a key counts. */
  void load(Segment segment, StoredRecord record) {
    RecordVersion known = newest.get(record.key());
    if (known != null && known.sequence >= record.sequence()) {
      return;
    }
    if (known != null) {
      known.location.segment().removeVersion(known);
    }
    RecordVersion version = new RecordVersion(segment, record);
    newest.put(record.key(), version);
    count(version);
  }

  /** Ends loading: all up to this sequence number is visible. */
  void finishLoading(long sequence) {
    publishedSequence = sequence;
    trimmedSequence = sequence;
  }

  private void count(RecordVersion version) {
    version.location.segment().addVersion(version);
    if (version.expiresAtMs > 0) {
      expiryQueue.add(version);
    }
  }

  /** Takes a version that was written to the log; readers do not see it before it is published. */
  void stage(RecordVersion version) {
    staged.add(version);
    newestStaged.put(version.key(), version);
  }

  /** Drops what was staged: it may not have been written. */
  void discardStaged() {
    staged.clear();
    newestStaged.clear();
  }

  /** The version that a write to this key replaces, staged ones included; null where none is. */
  RecordVersion newestWritten(StoreKey key) {
    return newestStaged.getOrDefault(key, newest.get(key));
  }

  /** Makes all staged versions visible at once. */
  void publishStaged(long sequence) {
    for (RecordVersion version : staged) {
      version.previous = newest.get(version.key());
      newest.put(version.key(), version);
      count(version);
    }
    publishedSequence = sequence;
    staged.forEach(this::trim);
    discardStaged();
  }

  /** Drops older versions that neither a present reader nor an open snapshot can need. */
  private void trim(RecordVersion head) {
    // set before the snapshots are looked at, so that one taken meanwhile sees it
    trimmedSequence = publishedSequence;
    RecordVersion newer = head;
    for (RecordVersion older = head.previous; older != null; older = older.previous) {
      Long snapshot = openSnapshots.floorKey(newer.sequence - 1);
      if (snapshot != null && snapshot >= older.sequence) {
        newer = older;
      } else {
        older.location.segment().removeVersion(older);
        newer.previous = older.previous;
      }
    }
  }

  /** The version of this record if a reader may still need it, or null. */
  RecordVersion findVersion(StoredRecord record) {
    RecordVersion head = newest.get(record.key());
    if (head != null) {
      trim(head);
    }
    RecordVersion version = head;
    while (version != null && version.sequence != record.sequence()) {
      version = version.previous;
    }
    return version;
  }

  /** Removes the key of a record that was its only version. */
  void remove(StoredRecord record) {
    newest.computeIfPresent(
        record.key(),
        (key, head) -> head.sequence == record.sequence() && head.previous == null ? null : head);
  }

  /**
   * Marks the versions that have expired at this time (ms since 1970).
   *
   * @return bytes of their records
   */
  long expire(long nowMs) {
    long expiredBytes = 0;
    RecordVersion version = expiryQueue.peek();
    while (version != null && version.expiresAtMs <= nowMs) {
      expiryQueue.poll();
      StoredRecord record = version.location.storedRecord();
      if (!version.isDeletedOrExpired && findVersion(record) == version) {
        version.location.segment().markExpired(version);
        expiredBytes += record.lengthBytes();
      }
      version = expiryQueue.peek();
    }
    return expiredBytes;
  }

  // ---- any thread ----

  /** The sequence number up to which readers see all writes. */
  long publishedSequence() {
    return publishedSequence;
  }

  /** Takes a sequence number at which everything stays readable until it is released. */
  long openSnapshot() {
    while (true) {
      long sequence = publishedSequence;
      openSnapshots.merge(sequence, 1, Integer::sum);
      if (trimmedSequence <= sequence) {
        return sequence;
      }
      releaseSnapshot(sequence);
    }
  }

  void releaseSnapshot(long sequence) {
    openSnapshots.computeIfPresent(sequence, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** The version of a key at a sequence number, or null; one may have been trimmed since. */
  RecordVersion versionAt(StoreKey key, long sequence) {
    RecordVersion version = newest.get(key);
    while (version != null && version.sequence > sequence) {
      version = version.previous;
    }
    return version;
  }

  /** The keys from one up to, not including, another (null: without end), in order. */
  NavigableMap<StoreKey, RecordVersion> range(StoreKey from, StoreKey to) {
    return to == null ? newest.tailMap(from, true) : newest.subMap(from, true, to, false);
  }

  int size() {
    return newest.size();
  }
}
