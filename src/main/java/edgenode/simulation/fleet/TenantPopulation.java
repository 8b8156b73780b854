package edgenode.simulation.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The customers of the modelled nodes: rates by a power law of their rank, and for each node a
 * Poisson process of arrivals. All chance comes from the generators given to the constructor.
 */
final class TenantPopulation {
  /** One tenant in so many asks for more than its quota. */
  private static final int OVER_QUOTA_ONE_IN = 20;

  /** One request in so many carries an idempotency key. */
  private static final int KEYED_ONE_IN = 5;

  /** Quota over rate that a plan has at least, where a tenant stays within it. */
  private static final double QUOTA_HEADROOM = 1.5;

  /** A tenant's part of the arrivals at one node. */
  private record LocalRate(int tenant, double requestsPerSecond) {}

  private final FleetShape shape;
  private final Tenant[] tenants;
  private final SplittableRandom[] randomByNode;

  /** By node: indexes of its tenants. */
  private final int[][] tenantsByNode;

  /** By node: running sums of its tenants' rates there (requests a second). */
  private final double[][] cumulativeRatesByNode;

  TenantPopulation(
      FleetShape shape, SplittableRandom random, SplittableRandom[] randomByNode, double nowMs) {
    this.shape = shape;
    this.randomByNode = randomByNode;
    tenants = createTenants(random, nowMs);
    tenantsByNode = new int[randomByNode.length][];
    cumulativeRatesByNode = new double[randomByNode.length][];
    assignTenants();
  }

  private Tenant[] createTenants(SplittableRandom random, double nowMs) {
    int count = (int) Math.max(1, Math.round(shape.tenants() * shape.modelledShare()));
    double[] weights = new double[count];
    double totalWeight = 0;
    for (int i = 0; i < count; i++) { // every so many ranks of the whole fleet, evenly
      weights[i] = Math.pow((i + 0.5) / shape.modelledShare(), -FleetAssumptions.ZIPF_EXPONENT);
      totalWeight += weights[i];
    }
    // a tenant of one node alone needs no counter: it has two, even where one node is modelled
    int maxSpread =
        Math.max(
            Math.min(2, shape.nodes()),
            Math.min(shape.modelledNodes(), FleetShape.NODES_PER_GROUP));
    Tenant[] created = new Tenant[count];
    for (int i = 0; i < count; i++) {
      double rate = shape.requestsPerSecond() * shape.modelledShare() * weights[i] / totalWeight;
      created[i] = createTenant(random, rate, maxSpread, nowMs);
    }
    return created;
  }

  private static Tenant createTenant(
      SplittableRandom random, double requestsPerSecond, int maxSpread, double nowMs) {
    int spread =
        Math.min(
            maxSpread,
            Math.max(
                2, (int) Math.ceil(requestsPerSecond / FleetAssumptions.TENANT_RATE_PER_NODE)));
    int step = 0;
    while (step < FleetAssumptions.PLAN_COUNT - 1
        && FleetAssumptions.planRatePerSecond(step) < QUOTA_HEADROOM * requestsPerSecond) {
      step++;
    }
    step = Math.max(0, step - (random.nextInt(OVER_QUOTA_ONE_IN) == 0 ? 1 : 0));
    String name = String.format("%016x", random.nextLong() >>> 31);
    return new Tenant(name, step, spread, requestsPerSecond, nowMs);
  }

  private void assignTenants() {
    int nodeCount = shape.modelledNodes();
    int groups = (nodeCount + FleetShape.NODES_PER_GROUP - 1) / FleetShape.NODES_PER_GROUP;
    List<List<LocalRate>> ratesByNode = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      ratesByNode.add(new ArrayList<>());
    }
    SplittableRandom random = new SplittableRandom(shape.seed() + 1);
    for (int tenant = 0; tenant < tenants.length; tenant++) {
      int firstNode = tenant % groups * FleetShape.NODES_PER_GROUP;
      int groupSize = Math.min(FleetShape.NODES_PER_GROUP, nodeCount - firstNode);
      int spread = Math.min(groupSize, tenants[tenant].spread);
      int offset = random.nextInt(groupSize);
      LocalRate rate = new LocalRate(tenant, tenants[tenant].requestsPerSecond / spread);
      for (int i = 0; i < spread; i++) {
        ratesByNode.get(firstNode + (offset + i) % groupSize).add(rate);
      }
    }
    for (int i = 0; i < nodeCount; i++) {
      setRates(i, ratesByNode.get(i));
    }
  }

  private void setRates(int node, List<LocalRate> rates) {
    tenantsByNode[node] = new int[rates.size()];
    cumulativeRatesByNode[node] = new double[rates.size()];
    double sum = 0;
    for (int i = 0; i < rates.size(); i++) {
      tenantsByNode[node][i] = rates.get(i).tenant;
      sum += rates.get(i).requestsPerSecond;
      cumulativeRatesByNode[node][i] = sum;
    }
  }

  boolean hasTenants(int node) {
    return cumulativeRatesByNode[node].length > 0;
  }

  /** Draws the time to a node's next arrival (ms); the node has tenants. */
  double drawInterarrivalMs(int node) {
    double[] rates = cumulativeRatesByNode[node];
    return -Math.log(1 - randomByNode[node].nextDouble()) / rates[rates.length - 1] * 1000;
  }

  /** Draws the tenant of an arrival at a node that has tenants. */
  Tenant drawTenant(int node) {
    double[] rates = cumulativeRatesByNode[node];
    double point = randomByNode[node].nextDouble() * rates[rates.length - 1];
    int found = Arrays.binarySearch(rates, point);
    int index = found < 0 ? -found - 1 : found;
    return tenants[tenantsByNode[node][Math.min(rates.length - 1, index)]];
  }

  /** Draws whether an arrival at a node carries an idempotency key. */
  boolean drawKeyed(int node) {
    return randomByNode[node].nextInt(KEYED_ONE_IN) == 0;
  }
}
