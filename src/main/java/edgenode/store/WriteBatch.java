package edgenode.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes that are applied together or not at all, with the conditions under which they are. Of two
 * writes to one key the later one counts. Not thread-safe; keys and values are copied.
 *
 * <p>Every method throws {@link StoreException} (TOO_LARGE) where a namespace, key, value or the
 * batch is longer than allowed.
 */
public final class WriteBatch {
  /** The most bytes of records in a batch. */
  public static final int MAX_BATCH_BYTES = 16 << 20;

  /** The most bytes of a value. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  /**
   * What is written to a key.
   *
   * @param value null to delete the key
   * @param expiresAtMs when the value expires (ms since 1970), 0 for never
   */
  record Mutation(byte[] value, long expiresAtMs) {
    int valueBytes() {
      return value == null ? 0 : value.length;
    }
  }

  /** In the order of the last write to each key. */
  final Map<StoreKey, Mutation> mutations = new LinkedHashMap<>();

  /** The version that each of these keys must have, 0 for absent. */
  final Map<StoreKey, Long> requiredVersions = new LinkedHashMap<>();

  private int sizeBytes;

  /** Sets a value that stays until it is overwritten or deleted. */
  public WriteBatch put(String namespace, byte[] key, byte[] value) throws StoreException {
    return put(namespace, key, value, 0);
  }

  /**
   * Sets a value with a time to live.
   *
   * @param expiresAtMs when the value expires (ms since 1970), 0 for never
   */
  public WriteBatch put(String namespace, byte[] key, byte[] value, long expiresAtMs)
      throws StoreException {
    if (value.length > MAX_VALUE_BYTES) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a value has at most " + MAX_VALUE_BYTES + " bytes, not " + value.length);
    }
    return add(StoreKey.of(namespace, key), new Mutation(value.clone(), expiresAtMs));
  }

  /** Deletes a key, whether it exists or not. */
  public WriteBatch delete(String namespace, byte[] key) throws StoreException {
    return add(StoreKey.of(namespace, key), new Mutation(null, 0));
  }

  /**
   * Makes the batch depend on the version of a key: it is rejected (CONFLICT) unless the key has
   * this one.
   *
   * @param version a {@link KeyValueStore.Entry#version}, or 0 where the key must be absent
   */
  public WriteBatch require(String namespace, byte[] key, long version) throws StoreException {
    requiredVersions.put(StoreKey.of(namespace, key), version);
    return this;
  }

  /** The number of keys written. */
  public int size() {
    return mutations.size();
  }

  private WriteBatch add(StoreKey key, Mutation mutation) throws StoreException {
    int addedBytes = SegmentFormat.recordBytes(key, mutation.valueBytes());
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
