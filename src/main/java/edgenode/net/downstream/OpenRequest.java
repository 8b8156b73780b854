package edgenode.net.downstream;

/** An accepted request that has no complete response; on the event loop. */
public interface OpenRequest {
  /** Responds with an error now: the next commands of its connection cannot be read. */
  void failNow();

  /** The client has disconnected: no response is needed any more. */
  void clientDisconnected();
}
