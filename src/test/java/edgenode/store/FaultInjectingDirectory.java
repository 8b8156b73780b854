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
 * A directory in memory that keeps apart what was synced and what was not. At a crash any part of
 * the rest survives: of files by sectors, of the directory by entries. What a failed sync covered
 * is not made durable by a later one.
 */
final class FaultInjectingDirectory implements StoreDirectory {
  private static final int SECTOR_BYTES = 512;

  /** The planted bug: a pattern of files, or "folder", that are not synced. */
  String skippedSyncs = "";

  /** From this operation on all fail, as after a power cut. */
  long powerCutAtOperation = Long.MAX_VALUE;

  /** Only this operation fails. */
  long failAtOperation = Long.MAX_VALUE;

  long operationCount;
  private final Map<String, FileContent> currentFiles = new TreeMap<>();
  private final Map<String, FileContent> syncedFiles = new TreeMap<>();
  private final List<Consumer<Map<String, FileContent>>> unsyncedEntryChanges = new ArrayList<>();

  private static final class FileContent {
    byte[] current = new byte[0];
    byte[] synced = new byte[0];

    /** The content when a sync failed, or null. */
    byte[] lostBySync;
  }

  private void countOperation(String operation) throws StorageIoException {
    operationCount++;
    if (operationCount >= powerCutAtOperation || operationCount == failAtOperation) {
      throw new StorageIoException(operation + ": planted", null);
    }
  }

  /** The directory as a new process finds it after a crash. */
  FaultInjectingDirectory crash(Random random) {
    unsyncedEntryChanges.stream()
        .filter(change -> random.nextBoolean())
        .forEach(change -> change.accept(syncedFiles));
    FaultInjectingDirectory after = new FaultInjectingDirectory();
    after.skippedSyncs = skippedSyncs;
    syncedFiles.forEach(
        (name, old) -> {
          FileContent file = new FileContent();
          int longer = Math.max(old.current.length, old.synced.length);
          int shorter = Math.min(old.current.length, old.synced.length);
          int length =
              random.nextInt(3) == 0
                  ? shorter + random.nextInt(longer - shorter + 1)
                  : random.nextBoolean() ? old.current.length : old.synced.length;
          file.current = new byte[length];
          for (int at = 0; at < length; at += SECTOR_BYTES) {
            byte[] from = random.nextBoolean() ? old.current : old.synced;
            int to = Math.min(Math.min(at + SECTOR_BYTES, length), from.length);
            if (to > at) {
              System.arraycopy(from, at, file.current, at, to - at);
            }
          }
          file.synced = file.current.clone();
          after.currentFiles.put(name, file);
          after.syncedFiles.put(name, file);
        });
    return after;
  }

  /** A copy in which everything is durable. */
  FaultInjectingDirectory copy() {
    FaultInjectingDirectory after = new FaultInjectingDirectory();
    currentFiles.forEach((name, old) -> after.putFile(name, old.current.clone()));
    return after;
  }

  void putFile(String name, byte[] bytes) {
    FileContent file = new FileContent();
    file.current = bytes;
    file.synced = bytes.clone();
    currentFiles.put(name, file);
    syncedFiles.put(name, file);
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
  public StoreFile open(String name, boolean truncates) throws StorageIoException {
    countOperation("open " + name);
    if (truncates) {
      FileContent created = new FileContent();
      changeEntry(entries -> entries.put(name, created));
    }
    FileContent file = currentFiles.get(name);
    if (file == null) {
      throw new StorageIoException(name + ": no such file", null);
    }
    return new OpenFile(name, file);
  }

  @Override
  public void rename(String from, String to) throws StorageIoException {
    countOperation("rename " + from);
    FileContent file = currentFiles.get(from);
    changeEntry(
        entries -> {
          entries.remove(from);
          entries.put(to, file);
        });
  }

  @Override
  public void delete(String name) throws StorageIoException {
    countOperation("delete " + name);
    changeEntry(entries -> entries.remove(name));
  }

  @Override
  public void syncDirectory() throws StorageIoException {
    countOperation("sync folder");
    if (!skippedSyncs.equals("folder")) {
      unsyncedEntryChanges.forEach(change -> change.accept(syncedFiles));
      unsyncedEntryChanges.clear();
    }
  }

  @Override
  public void close() {}

  private final class OpenFile implements StoreFile {
    private final String name;
    private final FileContent content;

    OpenFile(String name, FileContent content) {
      this.name = name;
      this.content = content;
    }

    @Override
    public void read(ByteBuffer target, long offset) throws StorageIoException {
      countOperation("read " + name);
      int length = (int) Math.min(target.remaining(), Math.max(0, content.current.length - offset));
      target.put(content.current, (int) Math.min(offset, content.current.length), length);
    }

    @Override
    public void write(ByteBuffer source, long offset) throws StorageIoException {
      countOperation("write " + name);
      int end = (int) offset + source.remaining();
      byte[] written = Arrays.copyOf(content.current, Math.max(end, content.current.length));
      source.get(written, (int) offset, source.remaining());
      content.current = written;
    }

    @Override
    public void sync() throws StorageIoException {
      try {
        countOperation("sync " + name);
      } catch (StorageIoException e) {
        content.lostBySync = content.current;
        throw e;
      }
      if (skippedSyncs.isEmpty() || !name.matches(skippedSyncs)) {
        byte[] durable = content.current.clone();
        for (int i = 0;
            content.lostBySync != null && i < Math.min(durable.length, content.lostBySync.length);
            i++) {
          durable[i] =
              durable[i] == content.lostBySync[i]
                  ? i < content.synced.length ? content.synced[i] : 0
                  : durable[i];
        }
        content.synced = durable;
      }
    }

    @Override
    public long size() throws StorageIoException {
      countOperation("size " + name);
      return content.current.length;
    }

    @Override
    public void truncate(long sizeBytes) throws StorageIoException {
      countOperation("truncate " + name);
      content.current = Arrays.copyOf(content.current, (int) sizeBytes);
    }

    @Override
    public void close() {}
  }
}
