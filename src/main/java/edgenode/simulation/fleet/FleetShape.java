package edgenode.simulation.fleet;

/**
 * The size of a fleet and of the run.
 *
 * @param nodes edge nodes of the whole fleet
 * @param servers app servers of the whole fleet
 * @param services that the servers are divided into evenly; a node's list is one service's servers
 * @param tenants customers of the whole fleet
 * @param requestsPerSecond rate of the whole fleet
 * @param seconds of virtual time in which requests arrive
 * @param hours of the day's ordinary churn that are put into these seconds
 * @param modelledNodes nodes that run; of counter, discovery and servers the part of the others is
 *     taken away
 * @param isFlat one list of all servers for every node, in place of one for each service
 * @param hasIncidents whether a rack and a zone fail, lists are wrong, a region is partitioned, the
 *     counter has an outage and the fleet restarts
 * @param seed of all random draws
 */
public record FleetShape(
    int nodes,
    int servers,
    int services,
    int tenants,
    double requestsPerSecond,
    int seconds,
    double hours,
    int modelledNodes,
    boolean isFlat,
    boolean hasIncidents,
    long seed) {

  /** Nodes that share their tenants: those of a zone of the target fleet. */
  static final int NODES_PER_GROUP = 110;

  private static final int MAX_FLAT_ENTRIES = 400_000;
  private static final int MIN_NODES = 4;

  /** Throws {@link IllegalArgumentException} where the fleet is not possible. */
  public FleetShape {
    if (nodes < 1
        || servers < 1
        || services < 1
        || services > servers
        || tenants < 1
        || !(requestsPerSecond > 0)
        || seconds < 1
        || !(hours >= 0)
        || modelledNodes < 1
        || modelledNodes > nodes) {
      throw new IllegalArgumentException(
          "a fleet of "
              + nodes
              + " nodes ("
              + modelledNodes
              + " run), "
              + servers
              + " servers in "
              + services
              + " services, "
              + tenants
              + " tenants, "
              + requestsPerSecond
              + " requests/s, "
              + seconds
              + " s is not possible");
    }
  }

  /** The target fleet of 5,500 nodes and 190,000 servers, divided; 1 is all of it. */
  public static FleetShape target(int divisor, int seconds, boolean isFlat, long seed) {
    int nodes = Math.max(1, 5500 / divisor);
    int servers = 190_000 / divisor;
    return new FleetShape(
        nodes,
        servers,
        4800 / divisor,
        1_400_000 / divisor,
        3_200_000.0 / divisor,
        seconds,
        1,
        defaultModelledNodes(nodes, servers, isFlat),
        isFlat,
        true,
        seed);
  }

  /**
   * Modelled nodes by default: as many as have {@link #MAX_FLAT_ENTRIES} entries on their lists, a
   * group at most.
   */
  static int defaultModelledNodes(int nodes, int servers, boolean isFlat) {
    return Math.min(
        nodes,
        isFlat
            ? Math.min(NODES_PER_GROUP, Math.max(MIN_NODES, MAX_FLAT_ENTRIES / servers))
            : NODES_PER_GROUP);
  }

  /** Modelled share of the nodes, 0 to 1. */
  public double modelledShare() {
    return (double) modelledNodes / nodes;
  }

  /** Whether a part of the nodes is modelled only. */
  public boolean isSampled() {
    return modelledNodes < nodes;
  }

  /** Modelled endpoint lists. */
  int modelledLists() {
    return isFlat
        ? 1
        : Math.max(1, Math.min(modelledNodes, (int) Math.round(services * modelledShare())));
  }

  /** Servers on one list. */
  int serversPerList() {
    return isFlat ? servers : Math.max(1, servers / services);
  }

  /** Modelled app servers. */
  int modelledServers() {
    return modelledLists() * serversPerList();
  }

  /** Modelled share of the app servers, 0 to 1. */
  double modelledServerShare() {
    return Math.min(1, (double) modelledServers() / servers);
  }
}
