package edgenode.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A key within its namespace, ordered by namespace and then by unsigned bytes. */
record StoreKey(String namespace, byte[] bytes) implements Comparable<StoreKey> {
  static final int MAX_NAMESPACE_BYTES = 64;
  static final int MAX_KEY_BYTES = 1024;

  static StoreKey of(String space, byte[] key) throws StoreException {
    int length = space.getBytes(StandardCharsets.UTF_8).length;
    if (length == 0 || length > MAX_NAMESPACE_BYTES || key.length > MAX_KEY_BYTES) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a namespace has 1 to "
              + MAX_NAMESPACE_BYTES
              + " bytes and a key at most "
              + MAX_KEY_BYTES
              + ", not "
              + length
              + " and "
              + key.length);
    }
    return new StoreKey(space, key.clone());
  }

  @Override
  public int compareTo(StoreKey o) {
    int by = namespace.compareTo(o.namespace);
    return by != 0 ? by : Arrays.compareUnsigned(bytes, o.bytes);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof StoreKey k && compareTo(k) == 0;
  }

  @Override
  public int hashCode() {
    return 31 * namespace.hashCode() + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return namespace + "/" + new String(bytes, StandardCharsets.UTF_8);
  }
}
