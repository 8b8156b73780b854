package edgenode.policy;

/** May a request be repeated: freely, inside a group of servers that drops repeats, or never. */
public enum Idempotency {
  IDEMPOTENT,
  KEYED,
  NOT_IDEMPOTENT
}
