package edgenode.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Which endpoint gets an attempt: of those that may get it, the one with the lowest cost. The cost
 * ({@link EndpointScore}) is multiplied by a random factor of 1 to 1.1, by up to 9 where the
 * endpoint fails this class and by 8 where this request has tried it.
 *
 * <p>Inputs: the rules that say whether an endpoint may get a request (list, ejection, idempotency
 * group, slow start, concurrency limit) and {@link EndpointScore}. In a large subset some endpoints
 * are candidates, and all only where none of these may: few choices are nearly as good as all
 * (Mitzenmacher 2001).
 */
final class LoadBalancer {
  /** Endpoints drawn from a large subset: in 97% of the draws one is of the best tenth. */
  private static final int SAMPLED = 32;

  /** The endpoints of the last attempts are candidates too: they are connected. */
  private static final int RECENT = 16;

  /** Endpoints of about the same cost are chosen in random turn. */
  private static final double RANDOM_PART = 0.1;

  /** An endpoint that always fails a class costs nine times as much. */
  private static final double FAILURE_COST = 8;

  /** An endpoint that this request has tried costs eight times as much. */
  private static final double TRIED_FACTOR = 8;

  private final PolicyTimers timers;
  private final Random random;
  private final KnownEndpoints endpoints;
  private final SlowStart slowStart;
  private final ConcurrencyLimiter limiter;
  private final EndpointScore score;
  private final Endpoint[] recent = new Endpoint[RECENT];
  private int nextRecent;

  LoadBalancer(
      PolicyTimers timers,
      Random random,
      KnownEndpoints endpoints,
      SlowStart slowStart,
      ConcurrencyLimiter limiter,
      EndpointScore score) {
    this.timers = timers;
    this.random = random;
    this.endpoints = endpoints;
    this.slowStart = slowStart;
    this.limiter = limiter;
    this.score = score;
  }

  /** The endpoint for the next attempt of a request, null where none may get it now. */
  Endpoint choose(PendingRequest request) {
    List<Endpoint> members = endpoints.inSubset();
    if (!endpoints.holdsAll()) {
      if (IdempotencyGroupRule.isBound(request.requestClass()) && !request.attempts.isEmpty()) {
        endpoints.addGroupMembers(request);
        return cheapest(request, endpoints.known());
      }
      Endpoint sampled =
          members.size() > SAMPLED + RECENT ? cheapest(request, sample(members)) : null;
      if (sampled != null) {
        return sampled;
      }
    }
    Endpoint cheapest = cheapest(request, members);
    if (cheapest == null) {
      endpoints.recordNoCapacity();
    }
    return cheapest;
  }

  private List<Endpoint> sample(List<Endpoint> members) {
    List<Endpoint> sample = new ArrayList<>(Arrays.asList(recent));
    random.ints(SAMPLED, 0, members.size()).forEach(i -> sample.add(members.get(i)));
    return sample;
  }

  void recordSent(Endpoint endpoint) {
    recent[nextRecent++ % RECENT] = endpoint;
  }

  private Endpoint cheapest(PendingRequest request, Iterable<Endpoint> candidates) {
    Endpoint cheapest = null;
    double lowestCost = 0;
    for (Endpoint endpoint : candidates) {
      if (endpoint == null || !isEligible(request, endpoint)) {
        continue;
      }
      double cost = cost(request, endpoint);
      if (cheapest == null || cost < lowestCost) {
        cheapest = endpoint;
        lowestCost = cost;
      }
    }
    return cheapest;
  }

  /** Whether an endpoint may get this request now. */
  private boolean isEligible(PendingRequest request, Endpoint endpoint) {
    return endpoint.isListed
        && !endpoint.isEjected(timers.nowMs())
        && IdempotencyGroupRule.allows(request, endpoint)
        && slowStart.hasBudget(endpoint)
        && limiter.hasCapacity(endpoint);
  }

  private double cost(PendingRequest request, Endpoint endpoint) {
    double randomFactor = 1 + RANDOM_PART * random.nextDouble();
    double failureFactor = 1 + FAILURE_COST * score.failureShare(endpoint, request.classStats);
    double triedFactor = request.hasTried(endpoint) ? TRIED_FACTOR : 1;
    return score.cost(endpoint) * (randomFactor * failureFactor * triedFactor);
  }
}
