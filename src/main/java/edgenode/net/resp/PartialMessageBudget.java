package edgenode.net.resp;

/**
 * Bounds the bytes of messages that have come in part, on one connection and on all of one kind
 * together: a slow or broken peer may send each byte late, or never. A connection may have what is
 * free, and a small message always. On the event loop only; each call costs O(1).
 */
public final class PartialMessageBudget {
  /** Limit for one message: the longest value, and lines around it. */
  public static final int MAX_MESSAGE_BYTES = RespCodec.MAX_VALUE_BYTES + (16 << 10);

  /** Limit for all connections together, beyond what each may always have. */
  private static final long MAX_TOTAL_BYTES = 8L << 20;

  private static final int ALWAYS_ALLOWED_BYTES = 2048;

  private long totalBytes;

  /** One connection's part, which its handler owns. */
  public final class Share {
    private long bytes;

    /**
     * The part of a message that has come has this size now.
     *
     * @return false where that is too much: the message is to be rejected
     */
    public boolean update(long partialBytes) {
      totalBytes += partialBytes - bytes;
      bytes = partialBytes;
      return bytes <= ALWAYS_ALLOWED_BYTES
          || bytes <= MAX_MESSAGE_BYTES && totalBytes <= MAX_TOTAL_BYTES;
    }

    /** The connection is closed, or reads nothing more. */
    public void release() {
      update(0);
    }
  }

  /** A share for a new connection. */
  public Share newShare() {
    return new Share();
  }

  /** Bytes of all partial messages. */
  public long totalBytes() {
    return totalBytes;
  }
}
