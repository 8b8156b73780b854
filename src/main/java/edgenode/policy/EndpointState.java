package edgenode.policy;

/** What the endpoint list says of an endpoint. */
public enum EndpointState {
  /** May get requests. */
  UP,
  /** Finishes what it has, and gets no new requests. */
  DRAINING,
  /** No longer listed: forgotten once nothing of it is in flight. */
  REMOVED
}
