package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * A durable key-value store in one directory, used by one process at a time. For all threads.
 *
 * <p>Writes go to one writer thread, which writes together what has come meanwhile and syncs it
 * once (group commit). {@link #write} never waits: its futures are completed on the writer thread,
 * so what depends on them must be short. Reads see a write from the completion of its future on,
 * and never a part of a batch; {@link Durability#SYNC} writes are seen only once they are durable.
 *
 * <p>After a crash the store holds a prefix of the writes in the order in which their futures were
 * completed, with every write whose {@link PendingWrite#durable} was, and never a part of a batch.
 */
public final class KeyValueStore implements AutoCloseable {
  /** When a write counts as completed. */
  public enum Durability {
    /** Once it is durable: a sync that covers it has returned. */
    SYNC,
    /** Once it is written: it survives the end of the process, but not a crash of the machine. */
    ASYNC
  }

  /**
   * A write under way. The futures give the version of its keys, or fail with a {@link
   * StoreException}.
   *
   * @param completed completed as its {@link Durability} says
   * @param durable completed once it is durable; for an ASYNC write at most {@link
   *     Options#maxSyncDelayMs} later
   */
  public record PendingWrite(CompletableFuture<Long> completed, CompletableFuture<Long> durable) {}

  /** A key with its value; a later version is a greater number. */
  public record Entry(byte[] key, byte[] value, long version) {}

  /**
   * How the store works.
   *
   * @param segmentBytes size at which a file of the log is followed by the next, 4 KiB to 1 GiB
   * @param maxQueuedWrites writes that may wait at a time; further ones are rejected (BUSY)
   * @param maxSyncDelayMs ASYNC writes are durable after this long (ms) at the latest
   * @param compactionBytesPerSecond the most that compaction reads
   */
  public record Options(
      long segmentBytes, int maxQueuedWrites, long maxSyncDelayMs, long compactionBytesPerSecond) {
    /** For the node: 16 MiB, 10,000 writes, 100 ms, 8 MiB a second. */
    public static final Options DEFAULT =
        new Options(StoreEngine.Options.DEFAULT.segmentBytes(), 10_000, 100, 8 << 20);
  }

  /** Takes the entries of a scan. */
  public interface EntryVisitor {
    /** Takes an entry; returns whether the scan goes on. */
    boolean visit(Entry entry);
  }

  /**
   * The store as it was at one moment. Versions that it may need stay on disk until it is closed.
   */
  public final class Snapshot implements AutoCloseable {
    private final long sequence = engine.openSnapshot();
    private boolean isClosed;

    /** The entry of a key, or null. Waits for the disk. */
    public Entry get(String namespace, byte[] key) throws StoreException {
      StoreKey storeKey = StoreKey.of(namespace, key);
      try {
        return toEntry(key, engine.get(storeKey, clockMs.getAsLong(), sequence));
      } catch (StorageIoException e) {
        throw readFailed(e);
      }
    }

    /**
     * Gives the entries of a namespace in ascending order of their keys (unsigned bytes), until the
     * visitor ends the scan. Waits for the disk.
     *
     * @param from the first key
     * @param to the first key left out, or null to scan to the end of the namespace
     */
    public void scan(String namespace, byte[] from, byte[] to, EntryVisitor visitor)
        throws StoreException {
      StoreKey first = StoreKey.of(namespace, from);
      StoreKey end = to == null ? null : StoreKey.of(namespace, to);
      for (StoreKey key : engine.range(first, end).keySet()) {
        if (!key.namespace().equals(namespace)) {
          return;
        }
        Entry entry = get(namespace, key.bytes());
        if (entry != null && !visitor.visit(entry)) {
          return;
        }
      }
    }

    /** Lets the versions go. */
    @Override
    public void close() {
      if (!isClosed) {
        isClosed = true;
        engine.releaseSnapshot(sequence);
      }
    }
  }

  private final StoreDirectory directory;
  private final StoreEngine engine;
  private final LongSupplier clockMs;
  private final StoreWriter writer;

  private KeyValueStore(StoreDirectory directory, Options options, LongSupplier clockMs)
      throws StorageIoException, StoreException {
    this.directory = directory;
    this.clockMs = clockMs;
    engine =
        new StoreEngine(
            directory,
            new StoreEngine.Options(options.segmentBytes()),
            clockMs.getAsLong(),
            new SecureRandom()::nextLong);
    writer = new StoreWriter(engine, options, clockMs);
    writer.start();
  }

  /**
   * Opens the store in a directory, or creates one; recovers from a crash. The directory is created
   * where its parent exists. Waits for the disk.
   *
   * @throws StoreException LOCKED, DAMAGED, NEWER or FAILED
   */
  public static KeyValueStore open(Path path, Options options) throws StoreException {
    StoreDirectory directory = null;
    try {
      directory = new FileSystemDirectory(path);
      return new KeyValueStore(directory, options, System::currentTimeMillis);
    } catch (StoreException e) {
      closeQuietly(directory);
      throw e;
    } catch (StorageIoException e) {
      closeQuietly(directory);
      throw new StoreException(Reason.FAILED, e.getMessage(), e);
    }
  }

  private static void closeQuietly(StoreDirectory directory) {
    if (directory != null) {
      directory.close();
    }
  }

  /** For tests: on any directory, with any clock (ms since 1970). */
  static KeyValueStore openOn(StoreDirectory directory, Options options, LongSupplier clockMs)
      throws StorageIoException, StoreException {
    return new KeyValueStore(directory, options, clockMs);
  }

  private static StoreException readFailed(StorageIoException cause) {
    return new StoreException(Reason.FAILED, "cannot be read: " + cause.getMessage(), cause);
  }

  private static Entry toEntry(byte[] key, StoreEngine.VersionedValue value) {
    return value == null ? null : new Entry(key, value.bytes(), value.version());
  }

  /** The present entry of a key, or null. Waits for the disk: not for an event loop. */
  public Entry get(String namespace, byte[] key) throws StoreException {
    StoreKey storeKey = StoreKey.of(namespace, key);
    try {
      return toEntry(key, engine.get(storeKey, clockMs.getAsLong()));
    } catch (StorageIoException e) {
      throw readFailed(e);
    }
  }

  /** Takes a snapshot; the caller closes it. */
  public Snapshot snapshot() {
    return new Snapshot();
  }

  /** Writes a batch, which must not be changed any more. Never waits. */
  public PendingWrite write(WriteBatch batch, Durability durability) {
    return writer.submit(batch, durability);
  }

  /** The state of the store, as the writer thread last left it. */
  public StoreMetrics metrics() {
    return writer.metrics();
  }

  /**
   * What operators should know of the opening, the maintenance and the close, a line each, so far:
   * a torn end cut off, for example.
   */
  public List<String> messages() {
    return writer.messages();
  }

  /** Writes what is queued, makes everything durable, and closes the store. Waits for the disk. */
  @Override
  public void close() {
    writer.stop();
    directory.close();
  }
}
