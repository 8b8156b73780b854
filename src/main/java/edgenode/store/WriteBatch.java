package edgenode.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes that happen together or not at all, and what must hold for them to happen. Not for several
 * threads. Of two writes to one key the later one counts.
 */
public final class WriteBatch {
  /** The most bytes of keys and values in a batch. */
  public static final int MAX_BATCH_BYTES = 16 << 20;

  /** The most bytes of a value. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  /**
   * A write; no value means that the key is deleted; expires (ms since 1970) is 0 where it never
   * does.
   */
  record Mutation(byte[] value, long expiresAtMs) {}

  final Map<StoreKey, Mutation> mutations = new LinkedHashMap<>();

  /** The version that a key must have, 0 for none. */
  final Map<StoreKey, Long> requiredVersions = new LinkedHashMap<>();

  private int sizeBytes;

  /** The value lasts until it is written over or deleted. */
  public WriteBatch put(String namespace, byte[] key, byte[] value) throws StoreException {
    return put(namespace, key, value, 0);
  }

  /** The same until the clock shows this time (ms since 1970; 0: for ever). */
  public WriteBatch put(String namespace, byte[] key, byte[] value, long expiresAtMs)
      throws StoreException {
    if (value.length > MAX_VALUE_BYTES) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a value has at most " + MAX_VALUE_BYTES + " bytes, not " + value.length);
    }
    return add(StoreKey.of(namespace, key), new Mutation(value.clone(), expiresAtMs));
  }

  public WriteBatch delete(String namespace, byte[] key) throws StoreException {
    return add(StoreKey.of(namespace, key), new Mutation(null, 0));
  }

  /**
   * Nothing is written unless the key has this version ({@link Store.Entry#version}), or is absent
   * where 0.
   */
  public WriteBatch require(String namespace, byte[] key, long version) throws StoreException {
    requiredVersions.put(StoreKey.of(namespace, key), version);
    return this;
  }

  /** Keys that are written. */
  public int size() {
    return mutations.size();
  }

  private WriteBatch add(StoreKey key, Mutation mutation) throws StoreException {
    int addedBytes =
        SegmentFormat.recordBytes(key, mutation.value == null ? 0 : mutation.value.length);
    if (sizeBytes + addedBytes > MAX_BATCH_BYTES) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE, "a batch has at most " + MAX_BATCH_BYTES + " bytes");
    }
    sizeBytes += addedBytes;
    mutations.remove(key);
    mutations.put(key, mutation);
    return this;
  }
}
