package edgenode.policy;

/** A server as the list names it; startedAt is 0 where it started long ago. */
public record EndpointInfo(
    String id,
    int cell,
    String zone,
    EndpointState state,
    String kind,
    double startedAtMs,
    double weight) {}
