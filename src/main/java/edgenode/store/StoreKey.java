package edgenode.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A key within its namespace, ordered by namespace, then by unsigned bytes. */
record StoreKey(String namespace, byte[] bytes) implements Comparable<StoreKey> {
  static final int MAX_NAMESPACE_BYTES = 64;
  static final int MAX_KEY_BYTES = 1024;

  /** Copies the key; throws TOO_LARGE where namespace or key are longer than allowed. */
  static StoreKey of(String namespace, byte[] key) throws StoreException {
    int namespaceBytes = namespace.getBytes(StandardCharsets.UTF_8).length;
    if (namespaceBytes == 0 || namespaceBytes > MAX_NAMESPACE_BYTES || key.length > MAX_KEY_BYTES) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a namespace has 1 to "
              + MAX_NAMESPACE_BYTES
              + " bytes and a key at most "
              + MAX_KEY_BYTES
              + ", not "
              + namespaceBytes
              + " and "
              + key.length);
    }
    return new StoreKey(namespace, key.clone());
  }

  @Override
  public int compareTo(StoreKey other) {
    int byNamespace = namespace.compareTo(other.namespace);
    return byNamespace != 0 ? byNamespace : Arrays.compareUnsigned(bytes, other.bytes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoreKey key && compareTo(key) == 0;
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
