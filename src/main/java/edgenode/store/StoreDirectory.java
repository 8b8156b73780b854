package edgenode.store;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * All that the engine knows of a folder on a disk, so that a test can lose, tear and reorder what
 * was not synced. What is not synced may be lost in any part: bytes by {@link StoreFile#sync},
 * entries of the folder by {@link #syncDirectory}.
 */
interface StoreDirectory extends AutoCloseable {
  /** One file. Reads may come from any thread, all else from the writer's. */
  interface StoreFile {
    /**
     * Fills as much of the buffer as there is from that place (bytes); what lies behind the end
     * stays unread.
     */
    void read(ByteBuffer into, long at) throws StorageIoException;

    /** Writes all of the buffer at that place, which is the end or before it. */
    void write(ByteBuffer from, long at) throws StorageIoException;

    /** Returns when all that was written lasts. After a failure none of it may be taken to. */
    void sync() throws StorageIoException;

    long size() throws StorageIoException;

    void truncate(long size) throws StorageIoException;

    void close();
  }

  /** What the disk says when it fails. */
  final class StorageIoException extends Exception {
    private static final long serialVersionUID = 1;

    StorageIoException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  List<String> fileNames() throws StorageIoException;

  /** Opens a file for reading and writing; it is made, or emptied, where fresh. */
  StoreFile open(String name, boolean fresh) throws StorageIoException;

  /** Puts the file in the place of another, which is replaced at once or not at all. */
  void rename(String from, String to) throws StorageIoException;

  void delete(String name) throws StorageIoException;

  /** Returns when the folder's entries last: files made, renamed and deleted. */
  void syncDirectory() throws StorageIoException;

  @Override
  void close();
}
