package edgenode.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A key within its namespace, ordered by namespace and then by unsigned bytes. */
record Key(String space, byte[] bytes) implements Comparable<Key> {
  static final int MOST_SPACE = 64;
  static final int MOST_KEY = 1024;

  static Key of(String space, byte[] key) throws StoreException {
    int length = space.getBytes(StandardCharsets.UTF_8).length;
    if (length == 0 || length > MOST_SPACE || key.length > MOST_KEY) {
      throw new StoreException(
          StoreException.Reason.TOO_LARGE,
          "a namespace has 1 to "
              + MOST_SPACE
              + " bytes and a key at most "
              + MOST_KEY
              + ", not "
              + length
              + " and "
              + key.length);
    }
    return new Key(space, key.clone());
  }

  @Override
  public int compareTo(Key o) {
    int by = space.compareTo(o.space);
    return by != 0 ? by : Arrays.compareUnsigned(bytes, o.bytes);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Key k && compareTo(k) == 0;
  }

  @Override
  public int hashCode() {
    return 31 * space.hashCode() + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return space + "/" + new String(bytes, StandardCharsets.UTF_8);
  }
}
