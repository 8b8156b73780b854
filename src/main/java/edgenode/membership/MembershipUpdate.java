package edgenode.membership;

import java.util.List;

/**
 * What one call to {@link Membership} has changed.
 *
 * @param endpoints the endpoints that changed, those removed with state {@code REMOVED}
 * @param isComplete whether these are all endpoints: true for the first list only
 * @param messages lines for the log
 * @param mustResync whether all sources must fetch the complete list on new connections
 */
public record MembershipUpdate(
    List<DiscoveredEndpoint> endpoints,
    boolean isComplete,
    List<String> messages,
    boolean mustResync) {
  /** Nothing changed. */
  public static final MembershipUpdate NONE =
      new MembershipUpdate(List.of(), false, List.of(), false);
}
