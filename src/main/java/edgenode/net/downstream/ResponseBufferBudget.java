package edgenode.net.downstream;

import edgenode.net.resp.RespCodec;

/**
 * Bounds the bytes of responses that the kernel has not taken, as their clients read slowly: for
 * all connections together, and for one of them. A connection may have a part of what is free, so
 * that a few slow clients get much and many get little each, and some is always left for the others
 * (dynamic thresholds: A. K. Choudhury, E. L. Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998).
 *
 * <p>A request is started, and a streamed value goes on, while the connection has less than an
 * eighth of what is free. A response that has come, and cannot be written at once, is buffered
 * while its connection has less than all that is free. On the event loop only; each call costs
 * O(1).
 */
final class ResponseBufferBudget {
  /** Limit for all connections together. */
  static final long MAX_TOTAL_BYTES = 12L << 20;

  /** A connection may ask for more within this part of the free bytes. */
  private static final int DEMAND_DIVISOR = 8;

  private static final double INITIAL_EXPECTED_BYTES = 4096;

  /** Part of the expected size by which it falls with each shorter response. */
  private static final double EXPECTED_SIZE_DECAY = 1.0 / 16;

  private long bufferedBytes;
  private double expectedBytes = INITIAL_EXPECTED_BYTES;

  /** Bytes that are buffered for all connections. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  void add(long bytes) {
    bufferedBytes += bytes;
  }

  void remove(long bytes) {
    bufferedBytes -= bytes;
  }

  /** A response with a value of this size has come: the size of the next ones is learned. */
  void responseReceived(int valueBytes) {
    double decayedBytes = expectedBytes * (1 - EXPECTED_SIZE_DECAY);
    expectedBytes = Math.max(Math.min(valueBytes, RespCodec.MAX_VALUE_BYTES), decayedBytes);
  }

  /**
   * Whether a connection may start one more request.
   *
   * @param connectionBytes that are buffered for it
   * @param startedRequests of it that have no response yet
   */
  boolean canStart(long connectionBytes, int startedRequests) {
    long freeBytes = MAX_TOTAL_BYTES - bufferedBytes;
    if (connectionBytes == 0 && startedRequests == 0) {
      return freeBytes > 0;
    }
    double neededBytes = connectionBytes + (startedRequests + 1) * expectedBytes;
    return neededBytes * DEMAND_DIVISOR <= freeBytes;
  }

  /**
   * Whether a streamed value may go on while earlier bytes of it are unwritten.
   *
   * @param connectionBytes that are buffered for its connection
   */
  boolean canStream(long connectionBytes) {
    return connectionBytes * DEMAND_DIVISOR <= MAX_TOTAL_BYTES - bufferedBytes;
  }

  /**
   * Whether a response that cannot be written yet may be buffered.
   *
   * @param connectionBytes that are buffered for its connection
   */
  boolean canBuffer(long connectionBytes, int responseBytes) {
    return connectionBytes + responseBytes <= MAX_TOTAL_BYTES - bufferedBytes;
  }
}
