package edgenode.policy;

import edgenode.policy.subset.EndpointSubset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.TreeSet;
import java.util.UUID;

/**
 * What this node knows of one customer: its queue and its spending. The customer's bucket is the
 * token bucket that its plan describes; the counter has the running total of what all nodes took
 * out of it. Fields are grouped by the rule that they serve. {@code isCallInFlight}, {@code
 * isCallUnanswered}, {@code nextCallAtMs} and {@code grantShare} are shared by QuotaReservations
 * and OpenRequestCap: one counter call at a time for a customer.
 */
final class Customer {
  /** Hardly any traffic: less than one unit in ten ticks. */
  private static final double IDLE_UNITS_PER_TICK = 0.1;

  final String name;
  final QuotaPlan plan;

  /** Nodes that this customer's requests come through. */
  final int nodeSpread;

  /** No other node spends this quota, or there is no counter to share it by. */
  final boolean isUnshared;

  /**
   * The burst is less than half a unit for each node that shares it: adding every unit to the
   * counter would cost too many calls, so a sample is added (UsageEstimator.reportFactor).
   */
  final boolean isUnderSampled;

  private final long counterKey;

  // ---- queue (AdmissionQueue) ----

  final TreeSet<PendingRequest> queue = new TreeSet<>();

  /** Units of the queued requests. */
  double queuedUnits;

  boolean isInDispatchRing;

  /** Attempts in flight. */
  int inFlight;

  /** Until then the quota is known to be short: a client's retry is rejected at once. */
  double shortUntilMs;

  double lastSeenMs;

  /** A request of it has been sent. */
  boolean hasSpent;

  // ---- reservations (QuotaReservations) ----

  /** Units that may be spent now. */
  double credits;

  double accruedAtMs;

  /** When granted units fall due that the rate fills later: one unit each, earliest first. */
  final ArrayDeque<Double> unitDueTimesMs = new ArrayDeque<>();

  double arrivedUnitsInTick;

  /** Moving average of the units that arrive in a tick. */
  double usualUnitsPerTick;

  /** Part of the quota that this node's traffic earns, 0 to 1. */
  double usageShare;

  /** Moving average of units granted over units wanted. */
  double grantShare;

  /** Spent here and not added to the counter yet; below 0: added too much. */
  double unreportedUnits;

  /** A reservation or a slot is being asked for. */
  boolean isCallInFlight;

  /** The call in flight, or the last one, brought no answer in time. */
  boolean isCallUnanswered;

  /** No call to the counter before then. */
  double nextCallAtMs;

  /** Units that the last reservation asked for. */
  double requestedUnits;

  /** Amount that the last reservation added to the counter. */
  double addedUnits;

  long reservationEpoch;

  /** Units by which the last correction changed the counter. */
  double correctedUnits;

  double lastCounterTotal;
  long lastTotalEpoch;

  // ---- estimate (UsageEstimator) ----

  boolean hasReading;

  /** Units in the bucket by the last reading of the counter. */
  double lastReadUnits;

  double lastReadAtMs;

  /** The same, less the units spent since, scaled to all nodes. */
  double estimatedUnits;

  double estimatedAtMs;

  // ---- hard ceiling (HardCeiling) ----

  double ceilingUnits;
  double ceilingRefilledAtMs;

  // ---- open-request cap (OpenRequestCap) ----

  /** The epochs under whose names the slots of this node are counted. */
  final ArrayDeque<Long> openSlotEpochs = new ArrayDeque<>();

  long openSlotEpoch;

  /**
   * @param nodeSpread nodes that its requests come through, 1 at least
   * @param hasCounter whether a counter shares quotas between nodes
   * @param grantShare how much of what is wanted is usually granted
   */
  Customer(
      String name,
      QuotaPlan plan,
      int nodeSpread,
      boolean hasCounter,
      double grantShare,
      double nowMs) {
    this.name = name;
    this.plan = plan;
    this.nodeSpread = Math.max(1, nodeSpread);
    this.grantShare = grantShare;
    isUnshared = !hasCounter || this.nodeSpread == 1;
    isUnderSampled = plan.burstUnits() < this.nodeSpread / 2.0;
    counterKey =
        UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    lastSeenMs = nowMs;
    ceilingRefilledAtMs = nowMs;
    lastReadAtMs = nowMs;
    estimatedAtMs = nowMs;
    accruedAtMs = nowMs;
    lastReadUnits = plan.burstUnits();
    estimatedUnits = plan.burstUnits();
    usageShare = 1.0 / this.nodeSpread;
    credits = isUnshared ? Math.floor(plan.burstUnits() / this.nodeSpread) : 0;
  }

  void enqueue(PendingRequest request) {
    queue.add(request);
    queuedUnits += request.units();
  }

  /** Takes a request out of the queue; one that is not queued does no harm. */
  void dequeue(PendingRequest request) {
    if (queue.remove(request)) {
      queuedUnits -= request.units();
    }
  }

  /** The name of this customer's running total on the counter in an epoch. */
  long quotaCounterName(long epoch) {
    return EndpointSubset.mix64(counterKey + 2 * epoch) >>> 1;
  }

  /** The name of this customer's count of open requests on the counter in an epoch. */
  long openCounterName(long epoch) {
    return EndpointSubset.mix64(counterKey + 2 * epoch + 1) >>> 1;
  }

  /** Nothing queued, sent or reserved: a new record would be the same but for its arrivals. */
  boolean isUnused() {
    return !hasSpent
        && queue.isEmpty()
        && !isCallInFlight
        && openSlotEpochs.isEmpty()
        && unitDueTimesMs.isEmpty()
        && unreportedUnits == 0
        && (isUnshared || credits == 0);
  }

  /** Nothing queued, in flight or reserved, and hardly any traffic. */
  boolean isIdle() {
    return queue.isEmpty()
        && inFlight == 0
        && !isCallInFlight
        && openSlotEpochs.isEmpty()
        && usualUnitsPerTick < IDLE_UNITS_PER_TICK;
  }
}
