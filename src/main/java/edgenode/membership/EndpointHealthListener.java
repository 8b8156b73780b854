package edgenode.membership;

/** What connections to servers show of them, beside what lists say. */
public interface EndpointHealthListener {
  /** A good answer of the server's came. */
  void responded(String id);

  /** A connection to it came up. */
  void connected(String id);

  /**
   * A connect to it failed.
   *
   * @param isRefused whether it was refused, else it never came up
   * @param openConnections connections to the server that are up
   */
  void connectFailed(String id, boolean isRefused, int openConnections);
}
