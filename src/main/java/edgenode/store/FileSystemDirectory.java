package edgenode.store;

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

/** A folder of the machine's, held by one process at a time. */
final class FileSystemDirectory implements StoreDirectory {
  private static final String LOCK_FILE_NAME = "LOCK";
  private final Path folder;
  private final FileChannel lockFile;
  private final FileLock lock;

  /** Opens the folder; it is made where it is missing and its parent is there. */
  FileSystemDirectory(Path folder) throws StoreException, StorageIoException {
    this.folder = folder;
    FileChannel channel = null;
    try {
      if (!Files.isDirectory(folder)) {
        Files.createDirectory(folder);
        try (FileChannel parent = FileChannel.open(folder.toAbsolutePath().getParent())) {
          parent.force(true);
        }
      }
      channel =
          FileChannel.open(
              folder.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      throw lockedException(channel);
    } catch (IOException e) {
      throw ioException(folder.toString(), e);
    }
    lockFile = channel;
    if (lock == null) {
      throw lockedException(channel);
    }
  }

  private StoreException lockedException(FileChannel channel) throws StorageIoException {
    try {
      channel.close();
    } catch (IOException e) {
      throw ioException(LOCK_FILE_NAME, e);
    }
    return new StoreException(StoreException.Reason.LOCKED, folder + " is open in another process");
  }

  private static StorageIoException ioException(String name, IOException e) {
    return new StorageIoException(
        name + ": " + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()), e);
  }

  @Override
  public List<String> fileNames() throws StorageIoException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.map(p -> p.getFileName().toString())
          .filter(n -> !n.equals(LOCK_FILE_NAME))
          .sorted()
          .toList();
    } catch (IOException | UncheckedIOException e) {
      throw ioException(
          folder.toString(), e instanceof IOException io ? io : (IOException) e.getCause());
    }
  }

  @Override
  public StoreFile open(String name, boolean fresh) throws StorageIoException {
    try {
      return new OpenFile(
          name,
          fresh
              ? FileChannel.open(
                  folder.resolve(name),
                  StandardOpenOption.READ,
                  StandardOpenOption.WRITE,
                  StandardOpenOption.CREATE,
                  StandardOpenOption.TRUNCATE_EXISTING)
              : FileChannel.open(
                  folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    } catch (IOException e) {
      throw ioException(name, e);
    }
  }

  @Override
  public void rename(String from, String to) throws StorageIoException {
    try {
      Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw ioException(from, e);
    }
  }

  @Override
  public void delete(String name) throws StorageIoException {
    try {
      Files.delete(folder.resolve(name));
    } catch (IOException e) {
      throw ioException(name, e);
    }
  }

  @Override
  public void syncDirectory() throws StorageIoException {
    try (FileChannel entries = FileChannel.open(folder)) {
      entries.force(true);
    } catch (IOException e) {
      throw ioException(folder.toString(), e);
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
    public void read(ByteBuffer into, long at) throws StorageIoException {
      try {
        long from = at;
        for (int n = 0; into.hasRemaining() && n >= 0; from += n) {
          n = channel.read(into, from);
        }
      } catch (IOException e) {
        throw ioException(name, e);
      }
    }

    @Override
    public void write(ByteBuffer from, long at) throws StorageIoException {
      try {
        for (long to = at; from.hasRemaining(); ) {
          to += channel.write(from, to);
        }
      } catch (IOException e) {
        throw ioException(name, e);
      }
    }

    @Override
    public void sync() throws StorageIoException {
      try {
        channel.force(false); // with the size, which fdatasync writes too where reading needs it
      } catch (IOException e) {
        throw ioException(name, e);
      }
    }

    @Override
    public long size() throws StorageIoException {
      try {
        return channel.size();
      } catch (IOException e) {
        throw ioException(name, e);
      }
    }

    @Override
    public void truncate(long size) throws StorageIoException {
      try {
        channel.truncate(size);
      } catch (IOException e) {
        throw ioException(name, e);
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
