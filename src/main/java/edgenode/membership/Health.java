package edgenode.membership;

/** What connections to servers show of them, beside what lists say. */
public interface Health {
  /** A good answer of the server's came. */
  void answered(String id);

  /** A connection to it came up. */
  void reachable(String id);

  /**
   * A connect to it failed.
   *
   * @param refused whether it was refused, else it never came up
   * @param standing connections to the server that are up
   */
  void unreachable(String id, boolean refused, int standing);
}
