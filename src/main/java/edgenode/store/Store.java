package edgenode.store;

import edgenode.store.Disk.DiskException;
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
public final class Store implements AutoCloseable {
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
   * @param done as its {@link Durability} says
   * @param durable once it lasts; of an ASYNC write at most {@link Options#syncAfterMs} later
   */
  public record Commit(CompletableFuture<Long> done, CompletableFuture<Long> durable) {}

  /** A key with its value; a later version is a greater number. */
  public record Entry(byte[] key, byte[] value, long version) {}

  /**
   * @param segmentBytes size at which a file of the log is followed by the next, 4 KiB to 1 GiB
   * @param waiting writes that may wait at once; further ones are refused at once
   * @param syncAfterMs ASYNC writes last after so long without SYNC ones (ms)
   * @param tidyBytesPerSecond that compaction reads at most
   */
  public record Options(long segmentBytes, int waiting, long syncAfterMs, long tidyBytesPerSecond) {
    public static final Options DEFAULT =
        new Options(Engine.Limits.DEFAULT.segmentBytes(), 10_000, 100, 8 << 20);
  }

  /**
   * All that can be read, as it was when this was taken. What it may want stays on the disk until
   * it is closed.
   */
  public final class Snapshot implements AutoCloseable {
    private final long seq = engine.snapshot();
    private boolean closed;

    public Entry get(String space, byte[] key) throws StoreException {
      return entry(key, guarded(() -> engine.get(Key.of(space, key), clock.getAsLong(), seq)));
    }

    /**
     * Gives the entries of a namespace in the order of their keys (unsigned bytes) until the
     * visitor has enough.
     *
     * @param from the first key
     * @param to the first key that is left out; null: none is
     */
    public void scan(String space, byte[] from, byte[] to, Visitor visitor) throws StoreException {
      Key first = Key.of(space, from);
      for (Key key : engine.range(first, to == null ? null : Key.of(space, to)).keySet()) {
        if (!key.space().equals(space)) {
          return;
        }
        Entry e = get(space, key.bytes());
        if (e != null && !visitor.visit(e)) {
          return;
        }
      }
    }

    @Override
    public void close() {
      if (!closed) {
        closed = true;
        engine.release(seq);
      }
    }
  }

  /** Takes the entries of a scan; false ends it. */
  public interface Visitor {
    boolean visit(Entry entry);
  }

  private interface Reading<T> {
    T read() throws DiskException, StoreException;
  }

  private record Task(Batch batch, Durability durability, Commit commit) {}

  private static final int MOST_TOGETHER = 1024;

  /**
   * What one step of compaction reads: under a millisecond or two, so that writes hardly wait for
   * it.
   */
  private static final int STEP = 1 << 18;

  /** After compaction was given up, for want of room perhaps, it is tried again after this (ns). */
  private static final long REST = TimeUnit.SECONDS.toNanos(60);

  private final Disk disk;
  private final Engine engine;
  private final Options options;
  private final LongSupplier clock;
  private final LinkedBlockingQueue<Task> queue;
  private final List<Task> lasting = new ArrayList<>(); // written, not synced yet
  private final Thread writer = new Thread(this::run, "store");
  private volatile boolean closing;
  private volatile String tidyFailed;
  private volatile Engine.Figures figures;
  private long tidyAt = System.nanoTime();

  private Store(Disk disk, Options options, LongSupplier clock)
      throws DiskException, StoreException {
    this.disk = disk;
    this.options = options;
    this.clock = clock;
    queue = new LinkedBlockingQueue<>(options.waiting());
    engine =
        new Engine(
            disk,
            new Engine.Limits(options.segmentBytes()),
            clock.getAsLong(),
            new SecureRandom()::nextLong);
    figures = engine.figures();
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Opens the store in a folder, or makes one; recovers from a crash. Takes the time of the
   * machine's clock.
   */
  public static Store open(Path folder, Options options) throws StoreException {
    Disk disk = null;
    try {
      disk = new FileDisk(folder);
      return new Store(disk, options, System::currentTimeMillis);
    } catch (DiskException | StoreException e) {
      if (disk != null) {
        disk.close();
      }
      throw e instanceof StoreException s
          ? s
          : new StoreException(Reason.FAILED, e.getMessage(), e);
    }
  }

  /** For tests: on any disk, by any clock (ms since 1970). */
  static Store on(Disk disk, Options options, LongSupplier clock)
      throws DiskException, StoreException {
    return new Store(disk, options, clock);
  }

  private static <T> T guarded(Reading<T> reading) throws StoreException {
    try {
      return reading.read();
    } catch (DiskException e) {
      throw new StoreException(Reason.FAILED, "cannot be read: " + e.getMessage(), e);
    }
  }

  private static Entry entry(byte[] key, Engine.Value v) {
    return v == null ? null : new Entry(key, v.bytes(), v.version());
  }

  /** The value now, or null. It may have to wait for the disk: not for an event loop. */
  public Entry get(String space, byte[] key) throws StoreException {
    return entry(key, guarded(() -> engine.get(Key.of(space, key), clock.getAsLong())));
  }

  public Snapshot snapshot() {
    return new Snapshot();
  }

  /** Writes a batch. The batch is not to be changed any more. */
  public Commit write(Batch batch, Durability durability) {
    CompletableFuture<Long> done = new CompletableFuture<>();
    Commit commit =
        new Commit(done, durability == Durability.SYNC ? done : new CompletableFuture<>());
    Task task = new Task(batch, durability, commit);
    if (closing) {
      refuse(task, new StoreException(Reason.CLOSED, "the store is closed"));
    } else if (!queue.offer(task)) {
      refuse(task, new StoreException(Reason.BUSY, options.waiting() + " writes wait already"));
    } else if (closing && queue.remove(task)) {
      refuse(task, new StoreException(Reason.CLOSED, "the store is closed"));
    }
    return commit;
  }

  private static void refuse(Task t, StoreException why) {
    t.commit.done().completeExceptionally(why);
    t.commit.durable().completeExceptionally(why);
  }

  // ---- the writer's thread ----

  private void run() {
    List<Task> together = new ArrayList<>();
    long syncAt = Long.MAX_VALUE;
    while (!closing || !queue.isEmpty()) {
      try {
        boolean tidies = tidy();
        long wait = tidies ? 0 : closing ? 0 : Math.min(options.syncAfterMs(), 100);
        Task first = queue.poll(wait, TimeUnit.MILLISECONDS);
        if (first != null) {
          together.add(first);
          queue.drainTo(together, MOST_TOGETHER - 1);
          commit(together);
          together.clear();
        }
        if (lasting.isEmpty()) {
          syncAt = Long.MAX_VALUE;
        } else if (syncAt == Long.MAX_VALUE) {
          syncAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.syncAfterMs());
        } else if (System.nanoTime() >= syncAt) {
          last();
          syncAt = Long.MAX_VALUE;
        }
      } catch (InterruptedException e) {
        closing = true; // nobody else has this thread: it is meant
      }
    }
    last();
    engine.close();
  }

  private void commit(List<Task> together) {
    try {
      List<Engine.Outcome> outcomes =
          engine.append(together.stream().map(Task::batch).toList(), clock.getAsLong());
      boolean sync = together.stream().anyMatch(t -> t.durability == Durability.SYNC);
      if (sync) {
        engine.sync();
      }
      engine.publish();
      figures = engine.figures();
      for (int i = 0; i < together.size(); i++) {
        Task t = together.get(i);
        if (outcomes.get(i).why() != null) {
          refuse(t, outcomes.get(i).why());
          continue;
        }
        t.commit.done().complete(outcomes.get(i).version());
        lasting.add(t);
      }
      if (sync) {
        lasted();
      }
    } catch (StoreException e) {
      together.forEach(t -> refuse(t, e));
      failed(e);
    }
  }

  private void last() {
    if (!lasting.isEmpty()) {
      try {
        engine.sync();
        lasted();
      } catch (StoreException e) {
        failed(e);
      }
    }
  }

  private void lasted() {
    lasting.forEach(t -> t.commit.durable().complete(t.commit.done().join()));
    lasting.clear();
  }

  private void failed(StoreException e) {
    lasting.forEach(t -> t.commit.durable().completeExceptionally(e));
    lasting.clear();
    figures = engine.figures();
  }

  /** A step of compaction, if its share of reading allows; whether there may be more to do. */
  private boolean tidy() {
    if (closing || System.nanoTime() < tidyAt || figures.failed() != null) {
      return false;
    }
    try {
      boolean more = engine.tidy(STEP, clock.getAsLong());
      tidyFailed = null;
      if (more) {
        tidyAt = System.nanoTime() + STEP * 1_000_000_000L / options.tidyBytesPerSecond();
        figures = engine.figures();
      }
      return false;
    } catch (StoreException e) {
      tidyFailed = e.getMessage();
      tidyAt = System.nanoTime() + REST;
      figures = engine.figures();
      return false;
    }
  }

  // ---- the rest ----

  /** What the store is like now, for the operators. */
  public Map<String, Object> figures() {
    Engine.Figures f = figures;
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("state", f.failed() != null ? "failed" : "serving");
    m.put("why", f.failed() != null ? f.failed() : tidyFailed == null ? "" : tidyFailed);
    m.put("keys", f.keys());
    m.put("segments", f.segments());
    m.put("bytes", f.bytes());
    m.put("live_bytes", f.live());
    m.put("version", f.version());
    m.put("waiting", queue.size());
    return m;
  }

  /** What opening found to tell: a torn end that was cut off, for one. */
  public List<String> told() {
    return figures.told();
  }

  /** Writes what waits, makes all last, and ends. */
  @Override
  public void close() {
    closing = true;
    boolean interrupted = false;
    while (writer.isAlive()) {
      try {
        writer.join();
      } catch (InterruptedException e) {
        interrupted = true; // half a close would leave the folder locked
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
    Task late;
    while ((late = queue.poll()) != null) {
      refuse(late, new StoreException(Reason.CLOSED, "the store is closed"));
    }
    disk.close();
  }
}
