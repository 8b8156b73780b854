package edgenode.node;

import edgenode.store.Batch;
import edgenode.store.Store;
import edgenode.store.StoreException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Idempotency keys in a {@link Store}: a key is there before its request can run, and what became
 * of it follows. After a crash a key that was running is one whose end is not known: it may have
 * run, and does not run again while it is remembered. Where the store fails the node goes on
 * without it, and says so: then a crash loses keys.
 */
final class LastingKeys implements AutoCloseable {
  /**
   * A key of an earlier process.
   *
   * @param keep how much longer it is remembered (ms)
   * @param answer null where none was kept
   */
  record Kept(String key, long digest, double keep, Recognition.Answer answer) {}

  /** What a repeat is told of a request that a crash has cut off. */
  static final Recognition.Answer UNKNOWN =
      new Recognition.Answer(
          null, "ERR a repeat of a request whose end is not known, it may have run");

  private static final String SPACE = "repeats";
  private static final byte RUNNING = 'r';
  private static final byte SPENT = 's';
  private static final byte VALUE = 'v';
  private static final byte ERROR = 'e';

  /** state 1, digest 8, until (ms since 1970) 8. */
  private static final int HEAD = 17;

  /** Keys written in one batch: 10,000 of them would be near its limit. */
  private static final int TOGETHER = 1000;

  private final Store store;
  private final long keep;

  /**
   * @param keep how long a key is remembered after its request has ended (ms)
   */
  LastingKeys(Path folder, double keep) throws StoreException {
    store = Store.open(folder, Store.Options.DEFAULT);
    this.keep = (long) keep;
  }

  /**
   * What is remembered of earlier processes, the next to be forgotten first; what ran is told to
   * last as unknown.
   */
  List<Kept> restore() throws StoreException {
    long now = System.currentTimeMillis();
    List<Kept> all = new ArrayList<>();
    try (Store.Snapshot s = store.snapshot()) {
      s.scan(
          SPACE,
          new byte[0],
          null,
          e -> {
            ByteBuffer b = ByteBuffer.wrap(e.value());
            byte state = b.get();
            long digest = b.getLong();
            long until = b.getLong();
            byte[] rest = new byte[b.remaining()];
            b.get(rest);
            Recognition.Answer answer =
                state == SPENT
                    ? null
                    : state == VALUE
                        ? new Recognition.Answer(rest, null)
                        : state == ERROR
                            ? new Recognition.Answer(null, new String(rest, StandardCharsets.UTF_8))
                            : UNKNOWN;
            // a clock that was set back keeps none for longer than it was to be
            all.add(
                new Kept(
                    new String(e.key(), StandardCharsets.UTF_8),
                    digest,
                    state == RUNNING ? keep : Math.min(keep, until - now),
                    answer));
            return true;
          });
    }
    Batch cutOff = new Batch();
    for (Kept k : all) {
      if (k.answer == UNKNOWN) {
        cutOff.put(
            SPACE,
            k.key.getBytes(StandardCharsets.UTF_8),
            value(ERROR, k.digest, now + keep, text(UNKNOWN)),
            now + keep);
      }
      if (cutOff.size() >= TOGETHER) {
        store.write(cutOff, Store.Durability.ASYNC);
        cutOff = new Batch();
      }
    }
    store.write(cutOff, Store.Durability.ASYNC);
    all.sort(Comparator.comparingDouble(Kept::keep));
    return all;
  }

  private static byte[] text(Recognition.Answer a) {
    return a.value() != null ? a.value() : a.error().getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] value(byte state, long digest, long until, byte[] rest) {
    return ByteBuffer.allocate(HEAD + rest.length)
        .put(state)
        .putLong(digest)
        .putLong(until)
        .put(rest)
        .array();
  }

  private CompletableFuture<Long> write(Batch b, Store.Durability durability) {
    return store.write(b, durability).done();
  }

  /** A request is about to be sent on under this key; done, well or not, when it may be. */
  CompletableFuture<Long> leads(String key, long digest) {
    try {
      return write(
          new Batch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  value(RUNNING, digest, 0, new byte[0])),
          Store.Durability.SYNC);
    } catch (StoreException tooLong) {
      return CompletableFuture.failedFuture(tooLong);
    }
  }

  /** It has ended, and may have run. A crash before this lasts leaves it unknown. */
  void ended(String key, long digest, Recognition.Answer answer) {
    long until = System.currentTimeMillis() + keep;
    byte state = answer == null ? SPENT : answer.value() != null ? VALUE : ERROR;
    try {
      write(
          new Batch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  value(state, digest, until, answer == null ? new byte[0] : text(answer)),
                  until),
          Store.Durability.ASYNC);
    } catch (StoreException tooLong) {
      spent(key, digest, until);
    }
  }

  private void spent(String key, long digest, long until) {
    try {
      write(
          new Batch()
              .put(
                  SPACE,
                  key.getBytes(StandardCharsets.UTF_8),
                  value(SPENT, digest, until, new byte[0]),
                  until),
          Store.Durability.ASYNC);
    } catch (StoreException never) { // the key is too long, and was not put there either
      assert never.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** It cannot have run, and the next one of its key may. */
  void forgotten(String key) {
    try {
      write(
          new Batch().delete(SPACE, key.getBytes(StandardCharsets.UTF_8)), Store.Durability.ASYNC);
    } catch (StoreException never) {
      assert never.reason() == StoreException.Reason.TOO_LARGE;
    }
  }

  /** What opening found to tell, a line each. */
  List<String> told() {
    return store.told();
  }

  Map<String, Object> figures() {
    return store.figures();
  }

  /** Makes all last. Waits for the disk: not on the loop. */
  @Override
  public void close() {
    store.close();
  }
}
