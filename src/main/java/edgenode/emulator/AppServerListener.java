package edgenode.emulator;

/**
 * Receives what passes on the sockets of emulated app servers. All methods are called on the
 * emulators' event loop; {@code nowMs} is that loop's clock.
 */
public interface AppServerListener {
  /**
   * A command that arrived complete.
   *
   * @param verb CALL.GET or CALL.POST
   * @param parameters the list of names and values as it was sent
   * @param idempotencyKey null for a request without one
   * @param isExecuted whether its work began; otherwise it was rejected or dropped as a duplicate
   */
  record ReceivedCommand(
      String verb,
      String customer,
      String requestId,
      String parameters,
      String idempotencyKey,
      boolean isExecuted) {}

  /** The first byte of a command was received. */
  default void firstByteReceived(double nowMs, String server) {}

  /** A call was received, in the protocol's form. */
  default void commandReceived(double nowMs, String server, ReceivedCommand command) {}

  /**
   * A response was handed to its connection.
   *
   * @param kind value, BUSY or ERR
   */
  default void responseSent(double nowMs, String server, String requestId, String kind) {}

  /** Input that is no command in the protocol's form; {@code found} says what it was. */
  default void malformedCommand(double nowMs, String server, String found) {}
}
