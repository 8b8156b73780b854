package edgenode.emulator;

/**
 * What passes on the sockets of stand-in app servers, for those who judge; called on the stand-ins'
 * loop.
 */
public interface Effects {
  /** The first byte of a command came. */
  default void began(double now, String server) {}

  /**
   * A command came whole.
   *
   * @param key the idempotency key, or null
   * @param ran whether its work began; else it was turned away or dropped as a repeat
   */
  default void came(
      double now,
      String server,
      String verb,
      String customer,
      String id,
      String list,
      String key,
      boolean ran) {}

  /**
   * @param text the answer's kind: value, BUSY, ERR
   */
  default void answered(double now, String server, String id, String text) {}

  /** What came was no command in the protocol's form. */
  default void malformed(double now, String server, String what) {}
}
