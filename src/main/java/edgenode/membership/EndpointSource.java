package edgenode.membership;

/**
 * Where a list of endpoints comes from. Lives on the event loop, as its {@link
 * EndpointSourceListener} does.
 */
public interface EndpointSource {
  /** Starts to fetch the list; called once. */
  void start();

  /**
   * What was reported is in doubt: the source fetches the complete list again on new connections.
   */
  void resync();

  /**
   * Another source has taken over: this one sends no more requests, and closes its connections
   * within a time.
   *
   * @param graceMs how long its watch may still report changes
   */
  void retire(double graceMs);
}
