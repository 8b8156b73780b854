package edgenode.store;

import java.util.List;

/**
 * The only access of the store to the disk, so that a test can lose, tear and reorder what was not
 * synced. Contents of a file are durable after {@link StoreFile#sync}, entries of the directory
 * after {@link #syncDirectory}; until then any part of them may be lost.
 */
interface StoreDirectory extends AutoCloseable {
  /** The names of all files, without the lock file, in ascending order. */
  List<String> fileNames() throws StorageIoException;

  /**
   * Opens a file for reading and writing.
   *
   * @param truncates whether the file is created, or emptied where it exists; else it must exist
   */
  StoreFile open(String name, boolean truncates) throws StorageIoException;

  /** Gives a file another name; a file of that name is replaced atomically. */
  void rename(String from, String to) throws StorageIoException;

  /** Removes a file; open files stay readable. */
  void delete(String name) throws StorageIoException;

  /** Returns once created, renamed and deleted entries are durable. */
  void syncDirectory() throws StorageIoException;

  /** Releases the directory for other processes. */
  @Override
  void close();

  /** The size of a file (bytes). */
  static long fileBytes(StoreDirectory directory, String name) throws StorageIoException {
    StoreFile file = directory.open(name, false);
    try {
      return file.size();
    } finally {
      file.close();
    }
  }
}
