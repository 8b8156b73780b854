package edgenode.store;

/** Why the store did not do what was asked. */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1;

  /** The kind of error. */
  public enum Reason {
    /**
     * The files cannot be what was written; the message names file and offset. Nothing was changed.
     */
    DAMAGED,
    /** A later version of the program wrote the files. */
    NEWER,
    /** Another process has the directory open. */
    LOCKED,
    /** A namespace, key, value or batch is longer than allowed. */
    TOO_LARGE,
    /** A condition of the batch does not hold: nothing of it was written. */
    CONFLICT,
    /** Too many writes are queued: nothing was written, and the write may be tried again. */
    BUSY,
    /**
     * The disk failed. Where it was a write or a sync, nothing is written any more until the store
     * is opened again ({@link StoreMetrics#isFailed}), and reads go on.
     */
    FAILED,
    /** The store is closed. */
    CLOSED
  }

  private final Reason reason;

  StoreException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  StoreException(Reason reason, String message, Throwable cause) {
    super(message, cause);
    this.reason = reason;
  }

  /** The kind of error. */
  public Reason reason() {
    return reason;
  }
}
