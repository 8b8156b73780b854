package edgenode.admin;

/** What operators may ask of an edge node and tell it; called on the loop, must not block. */
public interface AdminOperations {
  /** Null where it takes clients; else why not, in a word or two. */
  String notReadyReason();

  /** The figures, as one JSON object. */
  String telemetryJson();

  /**
   * The figures of campuses, as one JSON object.
   *
   * @param afterCustomer the campus behind which to begin, or ""
   * @param limit campuses at most
   * @return null where none are kept
   */
  String customersJson(String afterCustomer, int limit);

  /** Clients are to be sent away; null, or why not. */
  String startDrain();

  /** Clients are welcome again; null, or why not. */
  String cancelDrain();
}
