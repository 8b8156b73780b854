package edgenode.membership;

/**
 * The view in figures.
 *
 * @param endpointCount endpoints in the view, in any state
 * @param upCount those that may get requests
 * @param quarantinedCount those in use although the newest list lacks them
 * @param unreachableCount those to which connects fail
 * @param ageMs time since a source last confirmed the view, infinite before the first time
 * @param version the version of the source in use, -1 before its first list
 */
public record MembershipStats(
    int endpointCount,
    int upCount,
    int quarantinedCount,
    int unreachableCount,
    double ageMs,
    long version) {}
