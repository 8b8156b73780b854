package edgenode.store;

import java.nio.ByteBuffer;

/**
 * One open file of a {@link StoreDirectory}. Reads come from any thread, all other calls from the
 * writer thread.
 */
interface StoreFile {
  /**
   * Fills the buffer from this offset (bytes). Where the file ends before, the rest of the buffer
   * stays unfilled.
   */
  void read(ByteBuffer target, long offset) throws StorageIoException;

  /** Writes the whole buffer at this offset (bytes), which is at most the file's size. */
  void write(ByteBuffer source, long offset) throws StorageIoException;

  /** Returns once everything written is durable. After a failure nothing written since counts. */
  void sync() throws StorageIoException;

  /** The file's size (bytes). */
  long size() throws StorageIoException;

  /** Cuts the file to this size (bytes). */
  void truncate(long sizeBytes) throws StorageIoException;

  /** Closes the file; unsynced bytes may be lost. */
  void close();
}
