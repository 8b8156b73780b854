package edgenode.policy;

/** The servers that drop each other's repeats of a keyed request. */
public enum IdempotencyGroup {
  ALL,
  ZONE,
  CELL
}
