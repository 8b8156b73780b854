package edgenode.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes that happen together or not at all, and what must hold for them to happen. Not for several
 * threads. Of two writes to one key the later one counts.
 */
public final class Batch {
  /** The most bytes of keys and values in a batch. */
  public static final int MOST = 16 << 20;

  /** The most bytes of a value. */
  public static final int MOST_VALUE = 1 << 20;

  /**
   * A write; no value means that the key is deleted; expires (ms since 1970) is 0 where it never
   * does.
   */
  record Op(byte[] value, long expires) {}

  final Map<Key, Op> ops = new LinkedHashMap<>();

  /** The version that a key must have, 0 for none. */
  final Map<Key, Long> wanted = new LinkedHashMap<>();

  private int bytes;

  /** The value lasts until it is written over or deleted. */
  public Batch put(String space, byte[] key, byte[] value) throws StoreException {
    return put(space, key, value, 0);
  }

  /** The same until the clock shows this time (ms since 1970; 0: for ever). */
  public Batch put(String space, byte[] key, byte[] value, long expires) throws StoreException {
    if (value.length > MOST_VALUE) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a value has at most " + MOST_VALUE + " bytes, not " + value.length);
    }
    return add(Key.of(space, key), new Op(value.clone(), expires));
  }

  public Batch delete(String space, byte[] key) throws StoreException {
    return add(Key.of(space, key), new Op(null, 0));
  }

  /**
   * Nothing is written unless the key has this version ({@link Store.Entry#version}), or is absent
   * where 0.
   */
  public Batch require(String space, byte[] key, long version) throws StoreException {
    wanted.put(Key.of(space, key), version);
    return this;
  }

  /** Keys that are written. */
  public int size() {
    return ops.size();
  }

  private Batch add(Key key, Op op) throws StoreException {
    int more = Frames.recordSize(key, op.value == null ? 0 : op.value.length);
    if (bytes + more > MOST) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE, "a batch has at most " + MOST + " bytes");
    }
    bytes += more;
    ops.remove(key);
    ops.put(key, op);
    return this;
  }
}
