package edgenode.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A folder in memory that keeps apart what was synced and what was not. At a crash any part of the
 * rest survives: of files by sectors, of the folder by entries. A sync that has failed once never
 * makes up for what it covered.
 */
final class FaultDisk implements Disk {
  private static final int SECTOR = 512;

  /** What a planted bug leaves out: names of syncs. */
  String skips = "";

  /** From this operation on all fail, as when power goes; or only this one, as an error. */
  long cutAt = Long.MAX_VALUE;

  long failAt = Long.MAX_VALUE;
  long ops;
  private final Map<String, Node> now = new TreeMap<>();
  private final Map<String, Node> synced = new TreeMap<>();
  private final List<Consumer<Map<String, Node>>> unsynced = new ArrayList<>();

  private static final class Node {
    byte[] now = new byte[0];
    byte[] synced = new byte[0];
    byte[] lost; // what stood there when a sync failed
  }

  private void op(String what) throws DiskException {
    ops++;
    if (ops >= cutAt || ops == failAt) {
      throw new DiskException(what + ": planted", null);
    }
  }

  /** The disk as a new process finds it. */
  FaultDisk crash(Random random) {
    unsynced.stream().filter(o -> random.nextBoolean()).forEach(o -> o.accept(synced));
    FaultDisk after = new FaultDisk();
    after.skips = skips;
    synced.forEach(
        (name, old) -> {
          Node node = new Node();
          int longer = Math.max(old.now.length, old.synced.length);
          int shorter = Math.min(old.now.length, old.synced.length);
          int length =
              random.nextInt(3) == 0
                  ? shorter + random.nextInt(longer - shorter + 1)
                  : random.nextBoolean() ? old.now.length : old.synced.length;
          node.now = new byte[length];
          for (int at = 0; at < length; at += SECTOR) {
            byte[] from = random.nextBoolean() ? old.now : old.synced;
            int to = Math.min(Math.min(at + SECTOR, length), from.length);
            if (to > at) {
              System.arraycopy(from, at, node.now, at, to - at);
            }
          }
          node.synced = node.now.clone();
          after.now.put(name, node);
          after.synced.put(name, node);
        });
    return after;
  }

  /** The same, all of it there. */
  FaultDisk copy() {
    FaultDisk after = new FaultDisk();
    now.forEach((name, old) -> after.set(name, old.now.clone()));
    return after;
  }

  void set(String name, byte[] bytes) {
    Node node = new Node();
    node.now = bytes;
    node.synced = bytes.clone();
    now.put(name, node);
    synced.put(name, node);
  }

  byte[] bytes(String name) {
    return now.get(name).now;
  }

  private void entry(Consumer<Map<String, Node>> change) {
    change.accept(now);
    unsynced.add(change);
  }

  @Override
  public List<String> names() throws DiskException {
    op("names");
    return List.copyOf(now.keySet());
  }

  @Override
  public File open(String name, boolean fresh) throws DiskException {
    op("open " + name);
    if (fresh) {
      Node made = new Node();
      entry(m -> m.put(name, made));
    }
    Node node = now.get(name);
    if (node == null) {
      throw new DiskException(name + ": no such file", null);
    }
    return new File() {
      @Override
      public void read(ByteBuffer into, long at) throws DiskException {
        op("read " + name);
        int n = (int) Math.min(into.remaining(), Math.max(0, node.now.length - at));
        into.put(node.now, (int) Math.min(at, node.now.length), n);
      }

      @Override
      public void write(ByteBuffer from, long at) throws DiskException {
        op("write " + name);
        int end = (int) at + from.remaining();
        byte[] b = Arrays.copyOf(node.now, Math.max(end, node.now.length));
        from.get(b, (int) at, from.remaining());
        node.now = b;
      }

      @Override
      public void sync() throws DiskException {
        try {
          op("sync " + name);
        } catch (DiskException e) {
          node.lost = node.now;
          throw e;
        }
        if (skips.isEmpty() || !name.matches(skips)) {
          byte[] lasts = node.now.clone();
          for (int i = 0; node.lost != null && i < Math.min(lasts.length, node.lost.length); i++) {
            lasts[i] =
                lasts[i] == node.lost[i] ? i < node.synced.length ? node.synced[i] : 0 : lasts[i];
          }
          node.synced = lasts;
        }
      }

      @Override
      public long size() throws DiskException {
        op("size " + name);
        return node.now.length;
      }

      @Override
      public void truncate(long size) throws DiskException {
        op("truncate " + name);
        node.now = Arrays.copyOf(node.now, (int) size);
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws DiskException {
    op("rename " + from);
    Node node = now.get(from);
    entry(
        m -> {
          m.remove(from);
          m.put(to, node);
        });
  }

  @Override
  public void delete(String name) throws DiskException {
    op("delete " + name);
    entry(m -> m.remove(name));
  }

  @Override
  public void syncFolder() throws DiskException {
    op("sync folder");
    if (!skips.equals("folder")) {
      unsynced.forEach(o -> o.accept(synced));
      unsynced.clear();
    }
  }

  @Override
  public void close() {}
}
