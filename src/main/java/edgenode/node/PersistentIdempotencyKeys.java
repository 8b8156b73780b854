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
 * Idempotency keys in a {@link KeyValueStore}: a key is there before its request can run, and what
 * became of it follows. After a crash a key that was running is one whose end is not known: it may
 * have run, and does not run again while it is remembered. Where the store fails the node goes on
 * without it, and says so: then a crash loses keys.
 */
final class PersistentIdempotencyKeys implements AutoCloseable {
  /**
   * A key of an earlier process.
   *
   * @param remainingMs how much longer it is remembered (ms)
   * @param response null where none was kept
   */
  record StoredKey(
      String key,
      long digest,
      double remainingMs,
      DuplicateRequestHandler.ReplayableResponse response) {}

  /** What a repeat is told of a request that a crash has cut off. */
  static final DuplicateRequestHandler.ReplayableResponse OUTCOME_UNKNOWN =
      new DuplicateRequestHandler.ReplayableResponse(
          null, "ERR a repeat of a request whose end is not known, it may have run");

  private static final String SPACE = "repeats";
  private static final byte RUNNING = 'r';
  private static final byte WITHOUT_RESPONSE = 's';
  private static final byte VALUE = 'v';
  private static final byte ERROR = 'e';

  /** state 1, digest 8, until (ms since 1970) 8. */
  private static final int HEADER_BYTES = 17;

  /** Keys written in one batch: 10,000 of them would be near its limit. */
  private static final int MAX_BATCH_KEYS = 1000;

  private final KeyValueStore store;
  private final long retentionMs;

  /**
   * @param retentionMs how long a key is remembered after its request has ended (ms)
   */
  PersistentIdempotencyKeys(Path folder, double retentionMs) throws StoreException {
    store = KeyValueStore.open(folder, KeyValueStore.Options.DEFAULT);
    this.retentionMs = (long) retentionMs;
  }

  /**
   * What is remembered of earlier processes, the next to be forgotten first; what ran is told to
   * last as unknown.
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
            ByteBuffer buffer = ByteBuffer.wrap(entry.value());
            byte state = buffer.get();
            long digest = buffer.getLong();
            long expiresAtMs = buffer.getLong();
            byte[] responseBytes = new byte[buffer.remaining()];
            buffer.get(responseBytes);
            DuplicateRequestHandler.ReplayableResponse response =
                state == WITHOUT_RESPONSE
                    ? null
                    : state == VALUE
                        ? new DuplicateRequestHandler.ReplayableResponse(responseBytes, null)
                        : state == ERROR
                            ? new DuplicateRequestHandler.ReplayableResponse(
                                null, new String(responseBytes, StandardCharsets.UTF_8))
                            : OUTCOME_UNKNOWN;
            // a clock that was set back keeps none for longer than it was to be
            storedKeys.add(
                new StoredKey(
                    new String(entry.key(), StandardCharsets.UTF_8),
                    digest,
                    state == RUNNING ? retentionMs : Math.min(retentionMs, expiresAtMs - nowMs),
                    response));
            return true;
          });
    }
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
    storedKeys.sort(Comparator.comparingDouble(StoredKey::remainingMs));
    return storedKeys;
  }

  private static byte[] responseBytes(DuplicateRequestHandler.ReplayableResponse response) {
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

  /** A request is about to be sent on under this key; done, well or not, when it may be. */
  CompletableFuture<Long> putRunning(String key, long digest) {
    try {
      return write(
          new WriteBatch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  encode(RUNNING, digest, 0, new byte[0])),
          KeyValueStore.Durability.SYNC);
    } catch (StoreException tooLong) {
      return CompletableFuture.failedFuture(tooLong);
    }
  }

  /** It has ended, and may have run. A crash before this lasts leaves it unknown. */
  void putFinished(String key, long digest, DuplicateRequestHandler.ReplayableResponse response) {
    long expiresAtMs = System.currentTimeMillis() + retentionMs;
    byte state = response == null ? WITHOUT_RESPONSE : response.value() != null ? VALUE : ERROR;
    try {
      write(
          new WriteBatch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  encode(
                      state,
                      digest,
                      expiresAtMs,
                      response == null ? new byte[0] : responseBytes(response)),
                  expiresAtMs),
          KeyValueStore.Durability.ASYNC);
    } catch (StoreException tooLong) {
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
    } catch (StoreException never) { // the key is too long, and was not put there either
      assert never.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** It cannot have run, and the next one of its key may. */
  void remove(String key) {
    try {
      write(
          new WriteBatch().delete(SPACE, key.getBytes(StandardCharsets.UTF_8)),
          KeyValueStore.Durability.ASYNC);
    } catch (StoreException never) {
      assert never.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** What opening found to tell, a line each. */
  List<String> openingMessages() {
    return store.recoveryMessages();
  }

  Map<String, Object> figures() {
    return store.metrics().toTelemetry();
  }

  /** Makes all last. Waits for the disk: not on the loop. */
  @Override
  public void close() {
    store.close();
  }
}
