package edgenode.emulator;

/**
 * What passes on the sockets of stand-in app servers, for those who judge; called on the stand-ins'
 * loop.
 */
public interface AppServerListener {
  /** The first byte of a command came. */
  default void firstByteReceived(double nowMs, String server) {}

  /**
   * A command came whole.
   *
   * @param idempotencyKey the idempotency key, or null
   * @param isExecuted whether its work began; else it was turned away or dropped as a repeat
   */
  default void commandReceived(
      double nowMs,
      String server,
      String verb,
      String customer,
      String requestId,
      String parameters,
      String idempotencyKey,
      boolean isExecuted) {}

  /**
   * @param kind the answer's kind: value, BUSY, ERR
   */
  default void responseSent(double nowMs, String server, String requestId, String kind) {}

  /** What came was no command in the protocol's form. */
  default void malformedCommand(double nowMs, String server, String found) {}
}
