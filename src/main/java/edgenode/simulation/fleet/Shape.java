package edgenode.simulation.fleet;

/**
 * The size of a fleet and of the run.
 *
 * @param nodes edge nodes of the whole fleet
 * @param servers app servers of the whole fleet
 * @param services that the servers are divided into evenly; a node's list is one service's servers
 * @param tenants customers of the whole fleet
 * @param rate requests a second of the whole fleet
 * @param seconds of virtual time in which requests arrive
 * @param hours of the day's ordinary churn that are put into these seconds
 * @param detail nodes that are run; the others are modelled by what they leave of counter,
 *     discovery and servers
 * @param flat one list of all servers for every node, in place of one for each service
 * @param incidents whether a rack and a zone are lost, a list is bad, a region is cut off, the
 *     counter is away and the fleet restarts
 */
public record Shape(
    int nodes,
    int servers,
    int services,
    int tenants,
    double rate,
    int seconds,
    double hours,
    int detail,
    boolean flat,
    boolean incidents,
    long seed) {

  /** Nodes that share their customers: a zone's of the whole fleet. */
  static final int GROUP = 110;

  private static final int FLAT_ENTRIES = 400_000;
  private static final int LEAST = 4;

  public Shape {
    if (nodes < 1
        || servers < 1
        || services < 1
        || services > servers
        || tenants < 1
        || !(rate > 0)
        || seconds < 1
        || !(hours >= 0)
        || detail < 1
        || detail > nodes) {
      throw new IllegalArgumentException(
          "a fleet of "
              + nodes
              + " nodes ("
              + detail
              + " run), "
              + servers
              + " servers in "
              + services
              + " services, "
              + tenants
              + " tenants, "
              + rate
              + " requests/s, "
              + seconds
              + " s is not possible");
    }
  }

  /** The fleet of the issue on size, divided; {@code size} 1 is all of it. */
  public static Shape target(int size, int seconds, boolean flat, long seed) {
    int nodes = Math.max(1, 5500 / size);
    int servers = 190_000 / size;
    return new Shape(
        nodes,
        servers,
        4800 / size,
        1_400_000 / size,
        3_200_000.0 / size,
        seconds,
        1,
        usualDetail(nodes, servers, flat),
        flat,
        true,
        seed);
  }

  /**
   * How many nodes are run where nobody says: what some 400,000 entries of lists allow, a zone's at
   * most.
   */
  static int usualDetail(int nodes, int servers, boolean flat) {
    return Math.min(nodes, flat ? Math.min(GROUP, Math.max(LEAST, FLAT_ENTRIES / servers)) : GROUP);
  }

  /** The part of the fleet that is run, 0 to 1. */
  public double part() {
    return (double) detail / nodes;
  }

  public boolean sampled() {
    return detail < nodes;
  }

  /** Lists that are run. */
  int lists() {
    return flat ? 1 : Math.max(1, Math.min(detail, (int) Math.round(services * part())));
  }

  /** Servers on one list. */
  int listed() {
    return flat ? servers : Math.max(1, servers / services);
  }

  /** Servers that are run. */
  int modelled() {
    return lists() * listed();
  }

  /** The part of the servers that is run. */
  double serverPart() {
    return Math.min(1, (double) modelled() / servers);
  }
}
