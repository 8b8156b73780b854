package edgenode.membership;

import java.util.List;

/**
 * Receives what an {@link EndpointSource} learns. {@code sourceId} is the name that the source was
 * given when it was made. All calls come on the event loop.
 */
public interface EndpointSourceListener {
  /**
   * The version from which changes are wanted.
   *
   * @return -1 where the complete list is wanted
   */
  long resumeVersion(String sourceId);

  /** A list or a change arrived: see {@link Membership#endpointsReceived}. */
  void endpointsReceived(
      String sourceId, long version, boolean isComplete, List<DiscoveredEndpoint> endpoints);

  /** A list arrived that equals the last one: see {@link Membership#confirmUnchanged}. */
  boolean confirmUnchanged(String sourceId, long version);

  /** The source reported that nothing has changed. */
  void sourceConfirmed(String sourceId);

  /**
   * A request to the source failed.
   *
   * @param isRefused whether the connect was refused
   */
  void requestFailed(String sourceId, boolean isRefused);

  /** The source was retired and has closed its last connection. */
  void sourceClosed(String sourceId);
}
