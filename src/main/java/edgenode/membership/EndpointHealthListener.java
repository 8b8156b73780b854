package edgenode.membership;

/** Receives what connections to endpoints show, independently of the lists. */
public interface EndpointHealthListener {
  /** The endpoint sent a successful response. */
  void responded(String id);

  /** A connection to the endpoint was established. */
  void connected(String id);

  /**
   * A connect to the endpoint failed.
   *
   * @param isRefused whether it was refused; otherwise it timed out
   * @param openConnections connections to the endpoint that are established
   */
  void connectFailed(String id, boolean isRefused, int openConnections);
}
