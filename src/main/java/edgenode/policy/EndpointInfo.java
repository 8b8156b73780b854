package edgenode.policy;

/**
 * An endpoint as the list names it.
 *
 * @param id its name; another process elsewhere has another one
 * @param cell the rack
 * @param zone the zone
 * @param state whether it may get requests
 * @param kind the kind of machine
 * @param startedAtMs when it started (ms on the clock of {@link PolicyEvents}), 0 where that was
 *     long ago
 * @param weight its part of the load. Not used: the load balancer ignores weights
 */
public record EndpointInfo(
    String id,
    int cell,
    String zone,
    EndpointState state,
    String kind,
    double startedAtMs,
    double weight) {}
