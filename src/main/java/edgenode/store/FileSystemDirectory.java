package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system, locked for one process at a time. */
final class FileSystemDirectory implements StoreDirectory {
  private static final String LOCK_FILE_NAME = "LOCK";

  private final Path path;
  private final FileChannel lockFile;
  private final FileLock lock;

  /**
   * Opens and locks a directory; it is created where its parent exists.
   *
   * @throws StoreException LOCKED where another process has it open
   */
  FileSystemDirectory(Path path) throws StoreException, StorageIoException {
    this.path = path;
    FileChannel channel = null;
    try {
      createIfMissing(path);
      channel =
          FileChannel.open(
              path.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      throw locked(channel);
    } catch (IOException e) {
      throw failed(path.toString(), e);
    }
    lockFile = channel;
    if (lock == null) {
      throw locked(channel);
    }
  }

  private static void createIfMissing(Path path) throws IOException {
    if (Files.isDirectory(path)) {
      return;
    }
    Files.createDirectory(path);
    try (FileChannel parent = FileChannel.open(path.toAbsolutePath().getParent())) {
      parent.force(true);
    }
  }

  private StoreException locked(FileChannel channel) throws StorageIoException {
    try {
      channel.close();
    } catch (IOException e) {
      throw failed(LOCK_FILE_NAME, e);
    }
    return new StoreException(Reason.LOCKED, path + " is open in another process");
  }

  private static StorageIoException failed(String name, IOException cause) {
    String text =
        cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    return new StorageIoException(name + ": " + text, cause);
  }

  @Override
  public List<String> fileNames() throws StorageIoException {
    try (Stream<Path> files = Files.list(path)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE_NAME))
          .sorted()
          .toList();
    } catch (UncheckedIOException e) {
      throw failed(path.toString(), e.getCause());
    } catch (IOException e) {
      throw failed(path.toString(), e);
    }
  }

  @Override
  public StoreFile open(String name, boolean truncates) throws StorageIoException {
    Path file = path.resolve(name);
    try {
      FileChannel channel =
          truncates
              ? FileChannel.open(
                  file,
                  StandardOpenOption.READ,
                  StandardOpenOption.WRITE,
                  StandardOpenOption.CREATE,
                  StandardOpenOption.TRUNCATE_EXISTING)
              : FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
      return new OpenFile(name, channel);
    } catch (IOException e) {
      throw failed(name, e);
    }
  }

  @Override
  public void rename(String from, String to) throws StorageIoException {
    try {
      Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw failed(from, e);
    }
  }

  @Override
  public void delete(String name) throws StorageIoException {
    try {
      Files.delete(path.resolve(name));
    } catch (IOException e) {
      throw failed(name, e);
    }
  }

  @Override
  public void syncDirectory() throws StorageIoException {
    try (FileChannel entries = FileChannel.open(path)) {
      entries.force(true);
    } catch (IOException e) {
      throw failed(path.toString(), e);
    }
  }

  @Override
  public void close() {
    try {
      lock.release();
      lockFile.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private record OpenFile(String name, FileChannel channel) implements StoreFile {
    @Override
    public void read(ByteBuffer target, long offset) throws StorageIoException {
      try {
        long nextOffset = offset;
        int readBytes = 0;
        while (target.hasRemaining() && readBytes >= 0) {
          readBytes = channel.read(target, nextOffset);
          nextOffset += readBytes;
        }
      } catch (IOException e) {
        throw failed(name, e);
      }
    }

    @Override
    public void write(ByteBuffer source, long offset) throws StorageIoException {
      try {
        long nextOffset = offset;
        while (source.hasRemaining()) {
          nextOffset += channel.write(source, nextOffset);
        }
      } catch (IOException e) {
        throw failed(name, e);
      }
    }

    @Override
    public void sync() throws StorageIoException {
      try {
        // fdatasync: it writes the size too, which reading needs
        channel.force(false);
      } catch (IOException e) {
        throw failed(name, e);
      }
    }

    @Override
    public long size() throws StorageIoException {
      try {
        return channel.size();
      } catch (IOException e) {
        throw failed(name, e);
      }
    }

    @Override
    public void truncate(long sizeBytes) throws StorageIoException {
      try {
        channel.truncate(sizeBytes);
      } catch (IOException e) {
        throw failed(name, e);
      }
    }

    @Override
    public void close() {
      try {
        channel.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
