package edgenode.store;

import edgenode.store.KeyValueStore.Durability;
import edgenode.store.KeyValueStore.PendingWrite;
import edgenode.store.StoreEngine.AppendResult;
import edgenode.store.StoreException.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The writer thread: commits queued writes in groups, syncs ASYNC writes after their delay, and
 * does maintenance in between, within its share of reading.
 */
final class StoreWriter {
  private record QueuedWrite(WriteBatch batch, Durability durability, PendingWrite pending) {
    void complete(long version) {
      pending.completed().complete(version);
    }

    void fail(StoreException cause) {
      pending.completed().completeExceptionally(cause);
      pending.durable().completeExceptionally(cause);
    }
  }

  private static final int MAX_GROUP_SIZE = 1024;

  /** Read in one step of compaction: a millisecond or two, so that writes hardly wait for it. */
  private static final int MAINTENANCE_STEP_BYTES = 1 << 18;

  /** The pause after maintenance was given up, for example for want of space. */
  private static final long MAINTENANCE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final long MAX_IDLE_MS = 100;
  private static final long NO_SYNC_DUE = Long.MAX_VALUE;

  private final StoreEngine engine;
  private final KeyValueStore.Options options;
  private final LongSupplier clockMs;
  private final LinkedBlockingQueue<QueuedWrite> queue;
  private final Thread thread = new Thread(this::run, "store-writer");

  /** Written and not synced yet. */
  private final List<QueuedWrite> awaitingSync = new ArrayList<>();

  private long syncDueNanos = NO_SYNC_DUE;
  private long nextMaintenanceNanos = System.nanoTime();
  private volatile boolean isClosing;
  private volatile String maintenanceFailure;
  private volatile StoreEngine.Metrics engineMetrics;

  StoreWriter(StoreEngine engine, KeyValueStore.Options options, LongSupplier clockMs) {
    this.engine = engine;
    this.options = options;
    this.clockMs = clockMs;
    queue = new LinkedBlockingQueue<>(options.maxQueuedWrites());
    engineMetrics = engine.metrics();
    thread.setDaemon(true);
  }

  // ---- any thread ----

  void start() {
    thread.start();
  }

  /** Queues a write; it is rejected at once where the store is closed or the queue is full. */
  PendingWrite submit(WriteBatch batch, Durability durability) {
    CompletableFuture<Long> completed = new CompletableFuture<>();
    CompletableFuture<Long> durable =
        durability == Durability.SYNC ? completed : new CompletableFuture<>();
    QueuedWrite write = new QueuedWrite(batch, durability, new PendingWrite(completed, durable));
    if (isClosing) {
      write.fail(closed());
    } else if (!queue.offer(write)) {
      write.fail(
          new StoreException(Reason.BUSY, options.maxQueuedWrites() + " writes wait already"));
    } else if (isClosing && queue.remove(write)) {
      write.fail(closed()); // closed meanwhile, and the writer thread has not taken it
    }
    return write.pending;
  }

  private static StoreException closed() {
    return new StoreException(Reason.CLOSED, "the store is closed");
  }

  StoreMetrics metrics() {
    StoreEngine.Metrics now = engineMetrics;
    String maintenance = maintenanceFailure;
    String reason = now.failure() != null ? now.failure() : maintenance;
    return new StoreMetrics(
        now.failure() != null,
        reason == null ? "" : reason,
        now.keyCount(),
        now.segmentCount(),
        now.totalBytes(),
        now.liveBytes(),
        now.version(),
        queue.size());
  }

  List<String> messages() {
    return engineMetrics.messages();
  }

  /** Writes what is queued, closes the engine, and ends the thread. */
  void stop() {
    isClosing = true;
    boolean isInterrupted = false;
    while (thread.isAlive()) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        isInterrupted = true; // giving up here would leave the directory locked
      }
    }
    if (isInterrupted) {
      Thread.currentThread().interrupt();
    }
    QueuedWrite late = queue.poll();
    while (late != null) {
      late.fail(closed());
      late = queue.poll();
    }
  }

  // ---- writer thread ----

  private void run() {
    List<QueuedWrite> group = new ArrayList<>();
    while (!isClosing || !queue.isEmpty()) {
      try {
        runMaintenance();
        long waitMs = isClosing ? 0 : Math.min(options.maxSyncDelayMs(), MAX_IDLE_MS);
        QueuedWrite first = queue.poll(waitMs, TimeUnit.MILLISECONDS);
        if (first != null) {
          group.add(first);
          queue.drainTo(group, MAX_GROUP_SIZE - 1);
          commit(group);
          group.clear();
        }
        syncWhenDue();
      } catch (InterruptedException e) {
        isClosing = true; // only the owner has this thread: it is meant
      }
    }
    syncAwaiting();
    engine.close();
  }

  private void syncWhenDue() {
    if (awaitingSync.isEmpty()) {
      syncDueNanos = NO_SYNC_DUE;
    } else if (syncDueNanos == NO_SYNC_DUE) {
      syncDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.maxSyncDelayMs());
    } else if (System.nanoTime() >= syncDueNanos) {
      syncAwaiting();
      syncDueNanos = NO_SYNC_DUE;
    }
  }

  private void commit(List<QueuedWrite> group) {
    try {
      List<WriteBatch> batches = group.stream().map(QueuedWrite::batch).toList();
      List<AppendResult> results = engine.append(batches, clockMs.getAsLong());
      boolean mustSync = group.stream().anyMatch(write -> write.durability == Durability.SYNC);
      if (mustSync) {
        engine.sync();
      }
      engine.publish();
      engineMetrics = engine.metrics();
      for (int i = 0; i < group.size(); i++) {
        completeWrite(group.get(i), results.get(i));
      }
      if (mustSync) {
        completeDurable();
      }
    } catch (StoreException e) {
      group.forEach(write -> write.fail(e));
      failAwaiting(e);
    }
  }

  private void completeWrite(QueuedWrite write, AppendResult result) {
    if (result.rejection() != null) {
      write.fail(result.rejection());
      return;
    }
    write.complete(result.version());
    awaitingSync.add(write);
  }

  private void syncAwaiting() {
    if (awaitingSync.isEmpty()) {
      return;
    }
    try {
      engine.sync();
      completeDurable();
    } catch (StoreException e) {
      failAwaiting(e);
    }
  }

  private void completeDurable() {
    for (QueuedWrite write : awaitingSync) {
      write.pending.durable().complete(write.pending.completed().join());
    }
    awaitingSync.clear();
  }

  private void failAwaiting(StoreException cause) {
    awaitingSync.forEach(write -> write.pending.durable().completeExceptionally(cause));
    awaitingSync.clear();
    engineMetrics = engine.metrics();
  }

  /** Does a step of maintenance if one is due. */
  private void runMaintenance() {
    if (isClosing || System.nanoTime() < nextMaintenanceNanos || engineMetrics.failure() != null) {
      return;
    }
    try {
      boolean hasMore = engine.runMaintenance(MAINTENANCE_STEP_BYTES, clockMs.getAsLong());
      maintenanceFailure = null;
      if (hasMore) {
        long stepNanos =
            MAINTENANCE_STEP_BYTES
                * TimeUnit.SECONDS.toNanos(1)
                / options.compactionBytesPerSecond();
        nextMaintenanceNanos = System.nanoTime() + stepNanos;
        engineMetrics = engine.metrics();
      }
    } catch (StoreException e) {
      maintenanceFailure = e.getMessage();
      nextMaintenanceNanos = System.nanoTime() + MAINTENANCE_RETRY_NANOS;
      engineMetrics = engine.metrics();
    }
  }
}
