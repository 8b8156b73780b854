package edgenode.admin;

/** What operators may ask of an edge node. Called on the event loop; no call may block. */
public interface AdminOperations {
  /** Why the node takes no clients, in a word or two, or null where it does. */
  String notReadyReason();

  /** The telemetry, one JSON object. */
  String telemetryJson();

  /**
   * A page of the customers' counts, one JSON object.
   *
   * @param afterCustomer the name before the first; empty to begin with the first of all
   * @param limit customers at most
   * @return null where customers are not counted apart
   */
  String customersJson(String afterCustomer, int limit);

  /** Begins to drain; returns null, or why that is not possible. */
  String startDrain();

  /** Takes clients again; returns null, or why that is not possible. */
  String cancelDrain();
}
