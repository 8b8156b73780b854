package edgenode.membership;

import java.util.List;

/** Where a list of servers comes from. Lives on the event loop; tells a {@link Sink}. */
public interface EndpointSource {
  /** What a source tells; the space is the name that the source was given. */
  interface EndpointSourceListener {
    /** The version from which changes are wanted, -1 where the whole list is. */
    long resumeVersion(String sourceId);

    /** See {@link Membership#endpointsReceived}. */
    void endpointsReceived(
        String sourceId, long version, boolean isComplete, List<DiscoveredEndpoint> endpoints);

    /** See {@link Membership#confirmUnchanged}. */
    boolean confirmUnchanged(String sourceId, long version);

    /** Nothing has changed. */
    void sourceConfirmed(String sourceId);

    /** A call failed; refused: nobody listens there. */
    void requestFailed(String sourceId, boolean isRefused);

    /** The source was left and has closed its last connection. */
    void sourceClosed(String sourceId);
  }

  /** Begins, once. */
  void start();

  /** What was told is in doubt: new connections, and the whole list. */
  void resync();

  /** Another source tells from now on: asks no more, and ends its connections within so many ms. */
  void retire(double graceMs);
}
