package edgenode.policy;

public enum EndpointState {
  UP,
  DRAINING,
  REMOVED
}
