package edgenode.node;

import edgenode.net.downstream.ClientListener;

/**
 * How many connections of each kind a node may hold within its limit of file descriptors.
 *
 * @param downstreamConnections from clients
 * @param upstreamConnections to application servers
 * @param adminConnections from operators
 */
record ConnectionBudget(int downstreamConnections, int upstreamConnections, int adminConnections) {
  /** Shares of all descriptors. */
  private static final double DOWNSTREAM_SHARE = 0.55;

  private static final double UPSTREAM_SHARE = 0.3;

  private static final int DESCRIPTORS_PER_ADMIN_CONNECTION = 16;
  private static final int MIN_ADMIN_CONNECTIONS = 2;
  private static final int MAX_ADMIN_CONNECTIONS = 32;

  /** The shares above, and what the client listener accepts beyond its share for a moment. */
  private static final double TOTAL_SHARE =
      DOWNSTREAM_SHARE * (1 + ClientListener.OVER_LIMIT_SHARE)
          + UPSTREAM_SHARE
          + 1.0 / DESCRIPTORS_PER_ADMIN_CONNECTION;

  /**
   * Descriptors that stay free of the shares, whatever the limit: files of the JVM and its
   * libraries and those opened for a moment to load a class (32), event loop (4), counter (4, twice
   * while its address changes), discovery (4, 2 of a former address, 8 connection attempts without
   * an answer) and some in reserve. The event loop ends when no descriptor is left to load a class.
   */
  private static final int RESERVED_DESCRIPTORS = 64;

  /** Under very low limits the shares are not cut to less than this part. */
  private static final double MIN_SHARE_SCALE = 0.5;

  /** Divides a limit of file descriptors. */
  static ConnectionBudget forDescriptors(int maxDescriptors) {
    return new ConnectionBudget(
        share(maxDescriptors, DOWNSTREAM_SHARE),
        share(maxDescriptors, UPSTREAM_SHARE),
        Math.max(
            MIN_ADMIN_CONNECTIONS,
            Math.min(MAX_ADMIN_CONNECTIONS, maxDescriptors / DESCRIPTORS_PER_ADMIN_CONNECTION)));
  }

  private static int share(int maxDescriptors, double share) {
    double scale =
        Math.min(1, (maxDescriptors - RESERVED_DESCRIPTORS) / (TOTAL_SHARE * maxDescriptors));
    return (int) (maxDescriptors * share * Math.max(MIN_SHARE_SCALE, scale));
  }
}
