package edgenode.store;

/** Why the store does not do what it was asked. */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1;

  /** The kind of the reason. */
  public enum Reason {
    /**
     * What is on the disk cannot be what was written; the message names file and offset. Nothing
     * was changed.
     */
    DAMAGED,
    /** Written by a later version of the program. */
    NEWER,
    /** Another process has the folder open. */
    LOCKED,
    /** A key, value or batch over its limit. */
    TOO_LARGE,
    /** A condition of the batch does not hold: nothing of it was written. */
    CONFLICT,
    /** Too many writes wait: nothing of it was written, and it may come again. */
    BUSY,
    /** The disk failed: nothing is written any more until the store is opened anew; reads go on. */
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

  public Reason reason() {
    return reason;
  }
}
