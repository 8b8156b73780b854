package edgenode.store;

/** An operation on the disk failed; the message names the file. */
final class StorageIoException extends Exception {
  private static final long serialVersionUID = 1;

  StorageIoException(String message, Throwable cause) {
    super(message, cause);
  }
}
