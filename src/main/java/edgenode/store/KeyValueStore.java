package edgenode.store;

import edgenode.store.StoreDirectory.StorageIoException;
import edgenode.store.StoreException.Reason;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keys and values that survive a power cut, in one folder, in one process. For all threads.
 *
 * <p>Writes go to one thread, which writes what has come meanwhile together and syncs it once
 * (group commit). No call here waits for it: its future is completed on the writer's thread, so
 * that what hangs on it must be short. Reads see each write from the completion of its future on,
 * and no part of a batch without the rest; {@code SYNC} writes are seen only once they last. After
 * a crash the store holds a prefix of the writes in the order in which their futures completed,
 * with every one whose {@code durable} had; it never holds part of a batch.
 */
public final class KeyValueStore implements AutoCloseable {
  /** When a write's future is completed. */
  public enum Durability {
    /** Once it lasts: when a sync that covers it has returned. */
    SYNC,
    /** Once it is written: the end of the process does not harm it, the machine's may. */
    ASYNC
  }

  /**
   * A write under way; the futures give its version or a {@link StoreException}.
   *
   * @param completed as its {@link Durability} says
   * @param durable once it lasts; of an ASYNC write at most {@link Options#maxSyncDelayMs} later
   */
  public record PendingWrite(CompletableFuture<Long> completed, CompletableFuture<Long> durable) {}

  /** A key with its value; a later version is a greater number. */
  public record Entry(byte[] key, byte[] value, long version) {}

  /**
   * @param segmentBytes size at which a file of the log is followed by the next, 4 KiB to 1 GiB
   * @param maxQueuedWrites writes that may wait at once; further ones are refused at once
   * @param maxSyncDelayMs ASYNC writes last after so long without SYNC ones (ms)
   * @param compactionBytesPerSecond that compaction reads at most
   */
  public record Options(
      long segmentBytes, int maxQueuedWrites, long maxSyncDelayMs, long compactionBytesPerSecond) {
    public static final Options DEFAULT =
        new Options(StoreEngine.EngineOptions.DEFAULT.segmentBytes(), 10_000, 100, 8 << 20);
  }

  /**
   * All that can be read, as it was when this was taken. What it may want stays on the disk until
   * it is closed.
   */
  public final class Snapshot implements AutoCloseable {
    private final long sequence = engine.snapshot();
    private boolean isClosed;

    public Entry get(String namespace, byte[] key) throws StoreException {
      return toEntry(
          key,
          translateFailure(
              () -> engine.get(StoreKey.of(namespace, key), clockMs.getAsLong(), sequence)));
    }

    /**
     * Gives the entries of a namespace in the order of their keys (unsigned bytes) until the
     * visitor has enough.
     *
     * @param from the first key
     * @param to the first key that is left out; null: none is
     */
    public void scan(String namespace, byte[] from, byte[] to, EntryVisitor visitor)
        throws StoreException {
      StoreKey first = StoreKey.of(namespace, from);
      for (StoreKey key :
          engine.range(first, to == null ? null : StoreKey.of(namespace, to)).keySet()) {
        if (!key.namespace().equals(namespace)) {
          return;
        }
        Entry e = get(namespace, key.bytes());
        if (e != null && !visitor.visit(e)) {
          return;
        }
      }
    }

    @Override
    public void close() {
      if (!isClosed) {
        isClosed = true;
        engine.release(sequence);
      }
    }
  }

  /** Takes the entries of a scan; false ends it. */
  public interface EntryVisitor {
    boolean visit(Entry entry);
  }

  private interface StorageRead<T> {
    T read() throws StorageIoException, StoreException;
  }

  private record QueuedWrite(WriteBatch batch, Durability durability, PendingWrite pending) {}

  private static final int MAX_GROUP_SIZE = 1024;

  /**
   * What one step of compaction reads: under a millisecond or two, so that writes hardly wait for
   * it.
   */
  private static final int MAINTENANCE_STEP_BYTES = 1 << 18;

  /** After compaction was given up, for want of room perhaps, it is tried again after this (ns). */
  private static final long MAINTENANCE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final StoreDirectory directory;
  private final StoreEngine engine;
  private final Options options;
  private final LongSupplier clockMs;
  private final LinkedBlockingQueue<QueuedWrite> writeQueue;
  private final List<QueuedWrite> awaitingSync = new ArrayList<>(); // written, not synced yet
  private final Thread writerThread = new Thread(this::runWriter, "store");
  private volatile boolean isClosing;
  private volatile String maintenanceFailure;
  private volatile StoreEngine.EngineMetrics metrics;
  private long nextMaintenanceNanos = System.nanoTime();

  private KeyValueStore(StoreDirectory disk, Options options, LongSupplier clock)
      throws StorageIoException, StoreException {
    this.directory = disk;
    this.options = options;
    this.clockMs = clock;
    writeQueue = new LinkedBlockingQueue<>(options.maxQueuedWrites());
    engine =
        new StoreEngine(
            disk,
            new StoreEngine.EngineOptions(options.segmentBytes()),
            clock.getAsLong(),
            new SecureRandom()::nextLong);
    metrics = engine.metrics();
    writerThread.setDaemon(true);
    writerThread.start();
  }

  /**
   * Opens the store in a folder, or makes one; recovers from a crash. Takes the time of the
   * machine's clock.
   */
  public static KeyValueStore open(Path folder, Options options) throws StoreException {
    StoreDirectory disk = null;
    try {
      disk = new FileSystemDirectory(folder);
      return new KeyValueStore(disk, options, System::currentTimeMillis);
    } catch (StorageIoException | StoreException e) {
      if (disk != null) {
        disk.close();
      }
      throw e instanceof StoreException s
          ? s
          : new StoreException(Reason.FAILED, e.getMessage(), e);
    }
  }

  /** For tests: on any disk, by any clock (ms since 1970). */
  static KeyValueStore openOn(StoreDirectory disk, Options options, LongSupplier clock)
      throws StorageIoException, StoreException {
    return new KeyValueStore(disk, options, clock);
  }

  private static <T> T translateFailure(StorageRead<T> reading) throws StoreException {
    try {
      return reading.read();
    } catch (StorageIoException e) {
      throw new StoreException(Reason.FAILED, "cannot be read: " + e.getMessage(), e);
    }
  }

  private static Entry toEntry(byte[] key, StoreEngine.VersionedValue v) {
    return v == null ? null : new Entry(key, v.bytes(), v.version());
  }

  /** The value now, or null. It may have to wait for the disk: not for an event loop. */
  public Entry get(String namespace, byte[] key) throws StoreException {
    return toEntry(
        key, translateFailure(() -> engine.get(StoreKey.of(namespace, key), clockMs.getAsLong())));
  }

  public Snapshot snapshot() {
    return new Snapshot();
  }

  /** Writes a batch. The batch is not to be changed any more. */
  public PendingWrite write(WriteBatch batch, Durability durability) {
    CompletableFuture<Long> done = new CompletableFuture<>();
    PendingWrite commit =
        new PendingWrite(done, durability == Durability.SYNC ? done : new CompletableFuture<>());
    QueuedWrite task = new QueuedWrite(batch, durability, commit);
    if (isClosing) {
      reject(task, new StoreException(Reason.CLOSED, "the store is closed"));
    } else if (!writeQueue.offer(task)) {
      reject(
          task,
          new StoreException(Reason.BUSY, options.maxQueuedWrites() + " writes wait already"));
    } else if (isClosing && writeQueue.remove(task)) {
      reject(task, new StoreException(Reason.CLOSED, "the store is closed"));
    }
    return commit;
  }

  private static void reject(QueuedWrite t, StoreException why) {
    t.pending.completed().completeExceptionally(why);
    t.pending.durable().completeExceptionally(why);
  }

  // ---- the writer's thread ----

  private void runWriter() {
    List<QueuedWrite> together = new ArrayList<>();
    long syncAt = Long.MAX_VALUE;
    while (!isClosing || !writeQueue.isEmpty()) {
      try {
        boolean tidies = runMaintenance();
        long wait = tidies ? 0 : isClosing ? 0 : Math.min(options.maxSyncDelayMs(), 100);
        QueuedWrite first = writeQueue.poll(wait, TimeUnit.MILLISECONDS);
        if (first != null) {
          together.add(first);
          writeQueue.drainTo(together, MAX_GROUP_SIZE - 1);
          commitGroup(together);
          together.clear();
        }
        if (awaitingSync.isEmpty()) {
          syncAt = Long.MAX_VALUE;
        } else if (syncAt == Long.MAX_VALUE) {
          syncAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.maxSyncDelayMs());
        } else if (System.nanoTime() >= syncAt) {
          syncAwaiting();
          syncAt = Long.MAX_VALUE;
        }
      } catch (InterruptedException e) {
        isClosing = true; // nobody else has this thread: it is meant
      }
    }
    syncAwaiting();
    engine.close();
  }

  private void commitGroup(List<QueuedWrite> together) {
    try {
      List<StoreEngine.AppendResult> outcomes =
          engine.append(together.stream().map(QueuedWrite::batch).toList(), clockMs.getAsLong());
      boolean sync = together.stream().anyMatch(t -> t.durability == Durability.SYNC);
      if (sync) {
        engine.sync();
      }
      engine.publish();
      metrics = engine.metrics();
      for (int i = 0; i < together.size(); i++) {
        QueuedWrite t = together.get(i);
        if (outcomes.get(i).rejection() != null) {
          reject(t, outcomes.get(i).rejection());
          continue;
        }
        t.pending.completed().complete(outcomes.get(i).version());
        awaitingSync.add(t);
      }
      if (sync) {
        completeDurable();
      }
    } catch (StoreException e) {
      together.forEach(t -> reject(t, e));
      failAwaiting(e);
    }
  }

  private void syncAwaiting() {
    if (!awaitingSync.isEmpty()) {
      try {
        engine.sync();
        completeDurable();
      } catch (StoreException e) {
        failAwaiting(e);
      }
    }
  }

  private void completeDurable() {
    awaitingSync.forEach(t -> t.pending.durable().complete(t.pending.completed().join()));
    awaitingSync.clear();
  }

  private void failAwaiting(StoreException e) {
    awaitingSync.forEach(t -> t.pending.durable().completeExceptionally(e));
    awaitingSync.clear();
    metrics = engine.metrics();
  }

  /** A step of compaction, if its share of reading allows; whether there may be more to do. */
  private boolean runMaintenance() {
    if (isClosing || System.nanoTime() < nextMaintenanceNanos || metrics.failure() != null) {
      return false;
    }
    try {
      boolean more = engine.runMaintenance(MAINTENANCE_STEP_BYTES, clockMs.getAsLong());
      maintenanceFailure = null;
      if (more) {
        nextMaintenanceNanos =
            System.nanoTime()
                + MAINTENANCE_STEP_BYTES * 1_000_000_000L / options.compactionBytesPerSecond();
        metrics = engine.metrics();
      }
      return false;
    } catch (StoreException e) {
      maintenanceFailure = e.getMessage();
      nextMaintenanceNanos = System.nanoTime() + MAINTENANCE_RETRY_NANOS;
      metrics = engine.metrics();
      return false;
    }
  }

  // ---- the rest ----

  /** What the store is like now, for the operators. */
  public Map<String, Object> metrics() {
    StoreEngine.EngineMetrics f = metrics;
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("state", f.failure() != null ? "failed" : "serving");
    m.put(
        "why",
        f.failure() != null ? f.failure() : maintenanceFailure == null ? "" : maintenanceFailure);
    m.put("keys", f.keyCount());
    m.put("segments", f.segmentCount());
    m.put("bytes", f.totalBytes());
    m.put("live_bytes", f.liveBytes());
    m.put("version", f.version());
    m.put("waiting", writeQueue.size());
    return m;
  }

  /** What opening found to tell: a torn end that was cut off, for one. */
  public List<String> recoveryMessages() {
    return metrics.recoveryMessages();
  }

  /** Writes what waits, makes all last, and ends. */
  @Override
  public void close() {
    isClosing = true;
    boolean interrupted = false;
    while (writerThread.isAlive()) {
      try {
        writerThread.join();
      } catch (InterruptedException e) {
        interrupted = true; // half a close would leave the folder locked
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
    QueuedWrite late;
    while ((late = writeQueue.poll()) != null) {
      reject(late, new StoreException(Reason.CLOSED, "the store is closed"));
    }
    directory.close();
  }
}
