package edgenode.policy;

/** The endpoints that drop each other's duplicates of a request with an idempotency key. */
public enum IdempotencyGroup {
  /** All endpoints. */
  ALL,
  /** Those of the same zone. */
  ZONE,
  /** Those of the same cell. */
  CELL
}
