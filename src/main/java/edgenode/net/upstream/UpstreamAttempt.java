package edgenode.net.upstream;

/**
 * One attempt of a request at one endpoint, or a health check. Created by the node, then owned by
 * the pool until its end.
 */
public final class UpstreamAttempt {
  /** Counted from 0 for each request. */
  public final int number;

  /** When it was requested, on the event loop's clock. */
  public final double requestedAtMs;

  private final double writeDeadlineMs;
  private final UpstreamRequest request;
  private final String endpointId;
  private boolean isEnded;
  private boolean isWritten;
  private UpstreamConnection connection;

  /**
   * An attempt that {@link UpstreamConnectionPool#send} may send.
   *
   * @param request what to send, or null for a health check
   * @param writeDeadlineMs time from which it must not be written any more, or infinity
   */
  public UpstreamAttempt(
      UpstreamRequest request,
      int number,
      String endpointId,
      double requestedAtMs,
      double writeDeadlineMs) {
    this.request = request;
    this.number = number;
    this.endpointId = endpointId;
    this.requestedAtMs = requestedAtMs;
    this.writeDeadlineMs = writeDeadlineMs;
  }

  /** Whether its last byte has been written; always false for a health check. */
  public boolean isWritten() {
    return isWritten;
  }

  /** Marks it as ended without a notification: the caller reports its end elsewhere. */
  public void discard() {
    isEnded = true;
  }

  /** Whether it waits for a connection: nothing of it has been written anywhere. */
  public boolean isQueued() {
    return !isEnded && connection == null;
  }

  UpstreamRequest request() {
    return request;
  }

  boolean isHealthCheck() {
    return request == null;
  }

  String endpointId() {
    return endpointId;
  }

  double writeDeadlineMs() {
    return writeDeadlineMs;
  }

  /** The connection that it was written on, or null while it is queued. */
  UpstreamConnection connection() {
    return connection;
  }

  boolean isEnded() {
    return isEnded;
  }

  void assignTo(UpstreamConnection assigned) {
    connection = assigned;
  }

  void markWritten() {
    isWritten = true;
  }

  void markEnded() {
    isEnded = true;
  }
}
