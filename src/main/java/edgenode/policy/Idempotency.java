package edgenode.policy;

/** Whether a request may be sent again after an attempt that may have run. */
public enum Idempotency {
  /** Anywhere, at any time. */
  IDEMPOTENT,
  /**
   * Within a time, inside an {@link IdempotencyGroup}: its idempotency key lets endpoints drop
   * duplicates.
   */
  KEYED,
  /** Never. */
  NOT_IDEMPOTENT
}
