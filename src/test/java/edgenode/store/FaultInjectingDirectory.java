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
final class FaultInjectingDirectory implements StoreDirectory {
  private static final int SECTOR = 512;

  /** What a planted bug leaves out: names of syncs. */
  String skippedSyncs = "";

  /** From this operation on all fail, as when power goes; or only this one, as an error. */
  long powerCutAtOperation = Long.MAX_VALUE;

  long failAtOperation = Long.MAX_VALUE;
  long operationCount;
  private final Map<String, FileContent> currentFiles = new TreeMap<>();
  private final Map<String, FileContent> syncedFiles = new TreeMap<>();
  private final List<Consumer<Map<String, FileContent>>> unsyncedEntryChanges = new ArrayList<>();

  private static final class FileContent {
    byte[] current = new byte[0];
    byte[] synced = new byte[0];
    byte[] lostBySync; // what stood there when a sync failed
  }

  private void countOperation(String what) throws StorageIoException {
    operationCount++;
    if (operationCount >= powerCutAtOperation || operationCount == failAtOperation) {
      throw new StorageIoException(what + ": planted", null);
    }
  }

  /** The disk as a new process finds it. */
  FaultInjectingDirectory crash(Random random) {
    unsyncedEntryChanges.stream()
        .filter(o -> random.nextBoolean())
        .forEach(o -> o.accept(syncedFiles));
    FaultInjectingDirectory after = new FaultInjectingDirectory();
    after.skippedSyncs = skippedSyncs;
    syncedFiles.forEach(
        (name, old) -> {
          FileContent node = new FileContent();
          int longer = Math.max(old.current.length, old.synced.length);
          int shorter = Math.min(old.current.length, old.synced.length);
          int length =
              random.nextInt(3) == 0
                  ? shorter + random.nextInt(longer - shorter + 1)
                  : random.nextBoolean() ? old.current.length : old.synced.length;
          node.current = new byte[length];
          for (int at = 0; at < length; at += SECTOR) {
            byte[] from = random.nextBoolean() ? old.current : old.synced;
            int to = Math.min(Math.min(at + SECTOR, length), from.length);
            if (to > at) {
              System.arraycopy(from, at, node.current, at, to - at);
            }
          }
          node.synced = node.current.clone();
          after.currentFiles.put(name, node);
          after.syncedFiles.put(name, node);
        });
    return after;
  }

  /** The same, all of it there. */
  FaultInjectingDirectory copy() {
    FaultInjectingDirectory after = new FaultInjectingDirectory();
    currentFiles.forEach((name, old) -> after.putFile(name, old.current.clone()));
    return after;
  }

  void putFile(String name, byte[] bytes) {
    FileContent node = new FileContent();
    node.current = bytes;
    node.synced = bytes.clone();
    currentFiles.put(name, node);
    syncedFiles.put(name, node);
  }

  byte[] fileBytes(String name) {
    return currentFiles.get(name).current;
  }

  private void changeEntry(Consumer<Map<String, FileContent>> change) {
    change.accept(currentFiles);
    unsyncedEntryChanges.add(change);
  }

  @Override
  public List<String> fileNames() throws StorageIoException {
    countOperation("names");
    return List.copyOf(currentFiles.keySet());
  }

  @Override
  public StoreFile open(String name, boolean fresh) throws StorageIoException {
    countOperation("open " + name);
    if (fresh) {
      FileContent made = new FileContent();
      changeEntry(m -> m.put(name, made));
    }
    FileContent node = currentFiles.get(name);
    if (node == null) {
      throw new StorageIoException(name + ": no such file", null);
    }
    return new StoreFile() {
      @Override
      public void read(ByteBuffer into, long at) throws StorageIoException {
        countOperation("read " + name);
        int n = (int) Math.min(into.remaining(), Math.max(0, node.current.length - at));
        into.put(node.current, (int) Math.min(at, node.current.length), n);
      }

      @Override
      public void write(ByteBuffer from, long at) throws StorageIoException {
        countOperation("write " + name);
        int end = (int) at + from.remaining();
        byte[] b = Arrays.copyOf(node.current, Math.max(end, node.current.length));
        from.get(b, (int) at, from.remaining());
        node.current = b;
      }

      @Override
      public void sync() throws StorageIoException {
        try {
          countOperation("sync " + name);
        } catch (StorageIoException e) {
          node.lostBySync = node.current;
          throw e;
        }
        if (skippedSyncs.isEmpty() || !name.matches(skippedSyncs)) {
          byte[] lasts = node.current.clone();
          for (int i = 0;
              node.lostBySync != null && i < Math.min(lasts.length, node.lostBySync.length);
              i++) {
            lasts[i] =
                lasts[i] == node.lostBySync[i]
                    ? i < node.synced.length ? node.synced[i] : 0
                    : lasts[i];
          }
          node.synced = lasts;
        }
      }

      @Override
      public long size() throws StorageIoException {
        countOperation("size " + name);
        return node.current.length;
      }

      @Override
      public void truncate(long size) throws StorageIoException {
        countOperation("truncate " + name);
        node.current = Arrays.copyOf(node.current, (int) size);
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws StorageIoException {
    countOperation("rename " + from);
    FileContent node = currentFiles.get(from);
    changeEntry(
        m -> {
          m.remove(from);
          m.put(to, node);
        });
  }

  @Override
  public void delete(String name) throws StorageIoException {
    countOperation("delete " + name);
    changeEntry(m -> m.remove(name));
  }

  @Override
  public void syncDirectory() throws StorageIoException {
    countOperation("sync folder");
    if (!skippedSyncs.equals("folder")) {
      unsyncedEntryChanges.forEach(o -> o.accept(syncedFiles));
      unsyncedEntryChanges.clear();
    }
  }

  @Override
  public void close() {}
}
