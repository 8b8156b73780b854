package edgenode.node;

import edgenode.store.KeyValueStore;
import edgenode.store.StoreException;
import edgenode.store.WriteBatch;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Idempotency keys in a {@link KeyValueStore}. A key is stored before its request can run, and its
 * outcome after the end. After a crash the outcome of a key that was running is unknown: the
 * request may have run, and does not run again while the key is kept. When the store fails, the
 * node logs that and continues without it; then a crash loses keys.
 */
final class PersistentIdempotencyKeys implements AutoCloseable {
  /**
   * A key of an earlier process.
   *
   * @param remainingMs how much longer it is kept (ms)
   * @param response null where none was stored
   */
  record StoredKey(String key, long digest, double remainingMs, ReplayableResponse response) {}

  /** Response to duplicates of a request that was running at a crash. */
  static final ReplayableResponse OUTCOME_UNKNOWN =
      new ReplayableResponse(
          null, "ERR a repeat of a request whose end is not known, it may have run");

  private static final String SPACE = "repeats";
  private static final byte RUNNING = 'r';
  private static final byte WITHOUT_RESPONSE = 's';
  private static final byte VALUE = 'v';
  private static final byte ERROR = 'e';

  /** State (1 byte), digest (8), expiry in ms since 1970 (8); the response follows. */
  private static final int HEADER_BYTES = 17;

  /** Keys written in one batch: 10,000 would be near the limit of a batch. */
  private static final int MAX_BATCH_KEYS = 1000;

  private final KeyValueStore store;
  private final long retentionMs;

  /**
   * Opens the store; waits for the disk.
   *
   * @param retentionMs how long a key is kept after its request has ended (ms)
   */
  PersistentIdempotencyKeys(Path folder, double retentionMs) throws StoreException {
    store = KeyValueStore.open(folder, KeyValueStore.Options.DEFAULT);
    this.retentionMs = (long) retentionMs;
  }

  /**
   * Reads the keys of earlier processes, the next to expire first. Keys that were running are
   * stored with an unknown outcome.
   */
  List<StoredKey> restore() throws StoreException {
    long nowMs = System.currentTimeMillis();
    List<StoredKey> storedKeys = new ArrayList<>();
    try (KeyValueStore.Snapshot snapshot = store.snapshot()) {
      snapshot.scan(
          SPACE,
          new byte[0],
          null,
          entry -> {
            storedKeys.add(decode(entry.key(), entry.value(), nowMs));
            return true;
          });
    }
    markInterrupted(storedKeys, nowMs);
    storedKeys.sort(Comparator.comparingDouble(StoredKey::remainingMs));
    return storedKeys;
  }

  private StoredKey decode(byte[] key, byte[] value, long nowMs) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    byte state = buffer.get();
    long digest = buffer.getLong();
    long expiresAtMs = buffer.getLong();
    byte[] responseBytes = new byte[buffer.remaining()];
    buffer.get(responseBytes);
    ReplayableResponse response =
        switch (state) {
          case WITHOUT_RESPONSE -> null;
          case VALUE -> new ReplayableResponse(responseBytes, null);
          case ERROR ->
              new ReplayableResponse(null, new String(responseBytes, StandardCharsets.UTF_8));
          default -> OUTCOME_UNKNOWN;
        };
    // The minimum is for a clock that was set back: no key is kept for longer than configured.
    return new StoredKey(
        new String(key, StandardCharsets.UTF_8),
        digest,
        state == RUNNING ? retentionMs : Math.min(retentionMs, expiresAtMs - nowMs),
        response);
  }

  private void markInterrupted(List<StoredKey> storedKeys, long nowMs) throws StoreException {
    WriteBatch interrupted = new WriteBatch();
    for (StoredKey storedKey : storedKeys) {
      if (storedKey.response == OUTCOME_UNKNOWN) {
        interrupted.put(
            SPACE,
            storedKey.key.getBytes(StandardCharsets.UTF_8),
            encode(ERROR, storedKey.digest, nowMs + retentionMs, responseBytes(OUTCOME_UNKNOWN)),
            nowMs + retentionMs);
      }
      if (interrupted.size() >= MAX_BATCH_KEYS) {
        store.write(interrupted, KeyValueStore.Durability.ASYNC);
        interrupted = new WriteBatch();
      }
    }
    store.write(interrupted, KeyValueStore.Durability.ASYNC);
  }

  private static byte[] responseBytes(ReplayableResponse response) {
    return response.value() != null
        ? response.value()
        : response.error().getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] encode(byte state, long digest, long expiresAtMs, byte[] responseBytes) {
    return ByteBuffer.allocate(HEADER_BYTES + responseBytes.length)
        .put(state)
        .putLong(digest)
        .putLong(expiresAtMs)
        .put(responseBytes)
        .array();
  }

  private CompletableFuture<Long> write(WriteBatch batch, KeyValueStore.Durability durability) {
    return store.write(batch, durability).completed();
  }

  /**
   * Stores the key of a request before it is forwarded.
   *
   * @return completes, well or not, when it may be forwarded
   */
  CompletableFuture<Long> putRunning(String key, long digest) {
    try {
      return write(
          new WriteBatch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  encode(RUNNING, digest, 0, new byte[0])),
          KeyValueStore.Durability.SYNC);
    } catch (StoreException tooLarge) {
      return CompletableFuture.failedFuture(tooLarge);
    }
  }

  /**
   * Stores the outcome of a request that may have run. A crash before that is on disk leaves the
   * outcome unknown.
   *
   * @param response null where none is stored
   */
  void putFinished(String key, long digest, ReplayableResponse response) {
    long expiresAtMs = System.currentTimeMillis() + retentionMs;
    if (response == null) {
      putWithoutResponse(key, digest, expiresAtMs);
      return;
    }
    byte state = response.value() != null ? VALUE : ERROR;
    try {
      write(
          new WriteBatch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  encode(state, digest, expiresAtMs, responseBytes(response)),
                  expiresAtMs),
          KeyValueStore.Durability.ASYNC);
    } catch (StoreException tooLarge) {
      putWithoutResponse(key, digest, expiresAtMs);
    }
  }

  private void putWithoutResponse(String key, long digest, long expiresAtMs) {
    try {
      write(
          new WriteBatch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  encode(WITHOUT_RESPONSE, digest, expiresAtMs, new byte[0]),
                  expiresAtMs),
          KeyValueStore.Durability.ASYNC);
    } catch (StoreException tooLarge) { // the key is too long, and was not stored before either
      assert tooLarge.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** Removes the key of a request that cannot have run: the next request with it may. */
  void remove(String key) {
    try {
      write(
          new WriteBatch().delete(SPACE, key.getBytes(StandardCharsets.UTF_8)),
          KeyValueStore.Durability.ASYNC);
    } catch (StoreException tooLarge) { // then it was never stored
      assert tooLarge.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** What opening the store found, as lines for the log. */
  List<String> openingMessages() {
    return store.messages();
  }

  Map<String, Object> figures() {
    return store.metrics().toTelemetry();
  }

  /** Writes out everything; waits for the disk, not on the event loop. */
  @Override
  public void close() {
    store.close();
  }
}
