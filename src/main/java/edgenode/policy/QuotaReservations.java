package edgenode.policy;

import java.util.Iterator;

/**
 * What a customer may spend: units reserved on the counter, by weight among all nodes.
 *
 * <p>A customer's bucket is a token bucket (plan: units a second, burst units). The counter holds a
 * running total under a name for each customer and epoch: what all nodes have added. What the
 * bucket has accrued in the epoch less that total is what may still be spent. A node adds the units
 * that it wants, reads the total before its own add, keeps what the bucket covers and releases the
 * rest.
 *
 * <p>Inputs: arrivals, the queue, totals from the counter. A quota without a rate has no limit. One
 * that is spent at this node only, and all while the counter is silent, accrue at this node's share
 * of the rate. A call that fails leaves its requests to {@link UsageEstimator}.
 */
final class QuotaReservations {
  /**
   * A unit that the rate fills later falls due this much later, in units of the rate: 0.1 is the
   * time in which a tenth of a unit fills. Spent a moment early, it would be over quota.
   */
  private static final double DUE_DELAY_UNITS = 0.1;

  /**
   * No reservation is tried unless the bucket, as last read and filled since at this many times
   * this node's share of the rate, would cover the request in time.
   */
  private static final double SHARES_FOR_A_CALL = 4;

  /** A tenth of the even share: a node that sends nothing for a while can still come back. */
  private static final double MIN_SHARE_OF_EVEN = 0.1;

  /** A reservation ahead of the queue is made only where this much of the last ones was granted. */
  private static final double MIN_GRANT_SHARE_AHEAD = 0.5;

  /** Rounding of sums of units, and of times. */
  private static final double ROUNDING = 1e-6;

  private final PolicyTimers timers;
  private final CustomerTable customers;
  private final CounterCallBudget counterCalls;
  private final UsageEstimator estimator;
  private final double timerResolutionMs;
  private final int maxRequestUnits;
  private final double longestObjectiveMs;
  private double usualGrantShare = 1;

  QuotaReservations(
      PolicySettings settings,
      PolicyTimers timers,
      CustomerTable customers,
      CounterCallBudget counterCalls,
      UsageEstimator estimator,
      double longestObjectiveMs) {
    this.timers = timers;
    this.customers = customers;
    this.counterCalls = counterCalls;
    this.estimator = estimator;
    this.longestObjectiveMs = longestObjectiveMs;
    timerResolutionMs = settings.timerResolutionMs();
    maxRequestUnits = settings.maxRequestUnits();
  }

  /** Moving average over all customers of units granted over units wanted. */
  double usualGrantShare() {
    return usualGrantShare;
  }

  /**
   * Whether a customer may spend a request's units now, by its credits or by the estimate. Where
   * not, more is reserved if there is any use.
   */
  boolean covers(Customer customer, PendingRequest request) {
    accrue(customer);
    if (customer.plan.ratePerSecond() <= 0
        || customer.credits >= request.units()
        || estimator.covers(customer, request)) {
      return true;
    }
    double missing =
        Math.ceil(
            customer.queuedUnits - customer.credits - customer.unitDueTimesMs.size() - ROUNDING);
    if (missing > 0 && canCoverInTime(customer, request)) {
      reserve(customer, missing);
    }
    return false;
  }

  /** Whether the last reading leaves enough in time; most of what has come since is others'. */
  private boolean canCoverInTime(Customer customer, PendingRequest request) {
    double evenShare = 1.0 / customer.nodeSpread;
    double share = Math.min(1, SHARES_FOR_A_CALL * Math.max(customer.usageShare, evenShare));
    double sinceReadingMs = request.lastUsefulStartMs(timerResolutionMs) - customer.lastReadAtMs;
    double expected =
        customer.lastReadUnits + customer.plan.ratePerSecond() / 1000 * sinceReadingMs * share;
    return expected >= request.units();
  }

  /** Spends the units of a request that is sent, by credits or by the estimate. */
  void spend(Customer customer, int units) {
    estimator.recordSpent(customer, units);
    customer.credits -= customer.plan.ratePerSecond() > 0 ? units : 0;
    if (customer.credits < 0 || counterCalls.isCounterSilent()) { // goes with the next add
      estimator.recordUncovered(customer, units);
      customer.unreportedUnits += customer.credits < 0 ? -customer.credits : units;
      customer.credits = Math.max(0, customer.credits);
    }
  }

  /** A request turned out to take other units than it was admitted with. */
  void recordTrueUnits(Customer customer, int additionalUnits) {
    customer.unreportedUnits += additionalUnits;
  }

  /** Granted units fall due; a quota that is not shared now accrues at this node's share. */
  private void accrue(Customer customer) {
    double nowMs = timers.nowMs();
    while (!customer.unitDueTimesMs.isEmpty()
        && customer.unitDueTimesMs.peek() <= nowMs + ROUNDING) {
      customer.unitDueTimesMs.poll();
      customer.credits += 1;
    }
    if (customer.isUnshared || counterCalls.isCounterSilent()) {
      accrueShare(customer, nowMs);
    }
    customer.accruedAtMs = nowMs;
  }

  private void accrueShare(Customer customer, double nowMs) {
    QuotaPlan plan = customer.plan;
    double fromMs =
        Math.max(customer.accruedAtMs, customer.isUnshared ? 0 : counterCalls.silentSinceMs());
    double maxCredits = Math.max(maxRequestUnits, plan.burstUnits() * customer.usageShare);
    double ticks = Math.min(1, (nowMs - fromMs) / PolicyTimers.QUOTA_TICK_MS);
    customer.usageShare +=
        (1.0 / customer.nodeSpread - customer.usageShare) * Ewma.SLOW_WEIGHT * ticks;
    customer.credits =
        Math.max(
            customer.credits,
            Math.min(
                maxCredits,
                customer.credits
                    + plan.ratePerSecond() * customer.usageShare * (nowMs - fromMs) / 1000));
  }

  /** Reserves or releases for the active customers by what usually arrives in a tick. */
  void onQuotaTick() {
    for (Iterator<Customer> iterator = customers.activeIterator(); iterator.hasNext(); ) {
      Customer customer = iterator.next();
      customer.usualUnitsPerTick +=
          (customer.arrivedUnitsInTick - customer.usualUnitsPerTick) * Ewma.FAST_WEIGHT;
      customer.arrivedUnitsInTick = 0;
      accrue(customer);
      rebalance(customer);
      if (customer.isIdle()) {
        iterator.remove();
      }
    }
  }

  /** Reserves what is missing for the coming tick, or releases what is left over. */
  private void rebalance(Customer customer) {
    double missing =
        Math.floor(customer.usualUnitsPerTick)
            + customer.queuedUnits
            - customer.credits
            - customer.unitDueTimesMs.size();
    if (missing >= 1
        && customer.usualUnitsPerTick >= 1
        && customer.grantShare > MIN_GRANT_SHARE_AHEAD) {
      reserve(customer, missing);
    } else if (missing <= -1
        && !customer.isCallInFlight
        && counterCalls.canCall()
        && !customer.isUnshared
        && customer.plan.ratePerSecond() > 0) {
      double surplus = Math.min(Math.floor(-missing), Math.floor(customer.credits));
      customer.credits -= surplus;
      call(customer, currentEpoch(), -surplus, CounterCallKind.RELEASE);
    }
  }

  private long currentEpoch() {
    return (long) Math.floor(timers.nowMs() / CounterCallKind.QUOTA_EPOCH_MS);
  }

  private void call(Customer customer, long epoch, double amount, CounterCallKind kind) {
    counterCalls.call(customer, customer.quotaCounterName(epoch), amount, kind);
  }

  /** Asks the counter for units, where a call may be made now; one at a time for a customer. */
  private void reserve(Customer customer, double units) {
    if (customer.isCallInFlight
        || customer.isUnshared
        || customer.plan.ratePerSecond() <= 0
        || timers.nowMs() < customer.nextCallAtMs
        || !counterCalls.canCall()) {
      return;
    }
    customer.isCallInFlight = true;
    customer.isCallUnanswered = false;
    customer.requestedUnits = units;
    customer.addedUnits =
        customer.unreportedUnits + units * estimator.reportFactor(customer, units);
    customer.unreportedUnits = 0;
    customer.reservationEpoch = currentEpoch();
    call(customer, customer.reservationEpoch, customer.addedUnits, CounterCallKind.RESERVE);
  }

  /** A call has no answer in time: its requests go by the estimate, its answer is still taken. */
  void callOverdue(Customer customer) {
    customer.isCallUnanswered |= customer.isCallInFlight;
    customer.nextCallAtMs = timers.nextQuotaTickMs();
  }

  /** A release ended; what was not taken off goes with the next add. */
  void releaseEnded(OpenCounterCall call, CallOutcome outcome) {
    if (isLost(outcome)) {
      call.customer().unreportedUnits += call.amount();
    }
  }

  /**
   * A call whose connection broke counts as not added, as most were not; counting it as added would
   * let quotas overrun.
   */
  private static boolean isLost(CallOutcome outcome) {
    return outcome.provesNothingRan() || outcome == CallOutcome.RESET;
  }

  /**
   * A reservation ended.
   *
   * @param total the running total with this add, where the outcome is OK
   */
  void reservationEnded(Customer customer, CallOutcome outcome, double total) {
    customer.isCallInFlight = false;
    if (outcome != CallOutcome.OK) {
      reservationFailed(customer, outcome);
      return;
    }
    double heldBefore = accruedInEpoch(customer) - (total - customer.addedUnits);
    double excess = excessUnits(customer, heldBefore);
    boolean isCorrected = correctIfFarOff(customer, excess);
    double unusable = isCorrected ? excess : Math.max(0, excess);
    double available = availableUnits(customer, heldBefore, unusable);
    double granted = grant(customer, available);
    estimator.recordReading(customer, available - granted);
    updateUsageShare(customer, total);
    double correction = isCorrected ? excess : 0;
    customer.lastCounterTotal = total + granted - customer.requestedUnits + correction;
    if (granted < customer.requestedUnits) {
      customer.nextCallAtMs = timers.nextQuotaTickMs();
      releaseUngranted(customer, granted);
    }
    customer.isCallUnanswered = false;
  }

  /**
   * Corrects the counter where it is far off the bucket: after idle time, for a new or lost name,
   * after lost calls.
   *
   * @param excess units that the bucket by the counter's total holds too much; below 0: too few
   * @return whether a correction was sent
   */
  private boolean correctIfFarOff(Customer customer, double excess) {
    if (!(Math.abs(excess) > customer.plan.burstUnits() / 2)) {
      return false;
    }
    customer.correctedUnits = excess;
    call(customer, customer.reservationEpoch, excess, CounterCallKind.CORRECT);
    return true;
  }

  /**
   * Units of the bucket that a reservation may take: not those in excess, and not those that this
   * node spent earlier and reported with the reservation (added less requested units).
   *
   * @param heldBefore units in the bucket before the add, by the counter's total
   * @param unusable units of these that are in excess; below 0 where a correction adds some
   */
  private static double availableUnits(Customer customer, double heldBefore, double unusable) {
    return heldBefore - (unusable + customer.addedUnits - customer.requestedUnits);
  }

  /** The next add makes up for it. A late call is added all the same by a crowded counter. */
  private void reservationFailed(Customer customer, CallOutcome outcome) {
    customer.unreportedUnits +=
        isLost(outcome) ? customer.addedUnits - customer.requestedUnits : -customer.requestedUnits;
    customer.nextCallAtMs = timers.nextQuotaTickMs();
    customer.isCallUnanswered = true;
  }

  /** What the quota has accrued in the epoch of the last reservation: a burst and the rate. */
  private double accruedInEpoch(Customer customer) {
    double epochStartMs = customer.reservationEpoch * CounterCallKind.QUOTA_EPOCH_MS;
    return customer.plan.burstUnits()
        + customer.plan.ratePerSecond() * (timers.nowMs() - epochStartMs) / 1000;
  }

  /**
   * By how much a reading is over what the bucket can hold: a burst at most, and no more than was
   * read last and has come since. Below 0 where more was taken than the rate makes up in time.
   */
  private double excessUnits(Customer customer, double bucketUnits) {
    double ratePerMs = customer.plan.ratePerSecond() / 1000;
    double sinceReadingMs = timers.nowMs() - customer.lastReadAtMs;
    double maxUnits =
        Math.min(
            customer.plan.burstUnits(),
            Math.max(0, customer.lastReadUnits) + ratePerMs * sinceReadingMs);
    return bucketUnits - Math.max(-ratePerMs * longestObjectiveMs, Math.min(bucketUnits, maxUnits));
  }

  /**
   * Grants what the bucket covers by the time at which the last queued request is still of use.
   *
   * @param bucketUnits units of the bucket that this reservation may take
   * @return units granted: some now, the rest one by one as the rate fills them
   */
  private double grant(Customer customer, double bucketUnits) {
    double nowMs = timers.nowMs();
    double ratePerMs = customer.plan.ratePerSecond() / 1000;
    // late: some of what it was for has been rejected since
    double wanted =
        customer.isCallUnanswered
            ? Math.min(
                customer.requestedUnits,
                customer.queuedUnits + Math.max(0, customer.unreportedUnits))
            : customer.requestedUnits;
    double waitMs =
        customer.queue.isEmpty()
            ? 0
            : Math.max(0, customer.queue.last().lastUsefulStartMs(timerResolutionMs) - nowMs);
    double granted = wholeUnits(Math.min(wanted, bucketUnits + ratePerMs * waitMs));
    double ready = wholeUnits(Math.min(granted, bucketUnits));
    // spent by the estimate while this call was overdue
    double spent = Math.min(ready, Math.max(0, customer.unreportedUnits));
    customer.unreportedUnits -= spent;
    customer.credits += ready - spent;
    for (double unit = ready + 1; unit <= granted; unit++) {
      double dueMs = nowMs + (unit - bucketUnits + DUE_DELAY_UNITS) / ratePerMs;
      customer.unitDueTimesMs.add(dueMs);
      timers.schedule(TimerKind.DISPATCH, dueMs);
    }
    updateGrantShare(customer, wanted > 0 ? granted / wanted : customer.grantShare);
    return granted;
  }

  private static double wholeUnits(double units) {
    return Math.floor(Math.max(0, units) + ROUNDING);
  }

  private void updateGrantShare(Customer customer, double grantShare) {
    customer.grantShare += (grantShare - customer.grantShare) / 2; // readings are few
    usualGrantShare += (grantShare - usualGrantShare) * Ewma.SLOW_WEIGHT;
  }

  /** This node's share: what it added over all that was added since its last reading. */
  private static void updateUsageShare(Customer customer, double total) {
    if (customer.lastTotalEpoch == customer.reservationEpoch && customer.addedUnits > 0) {
      double added = customer.addedUnits;
      double share = added / Math.max(added, total - customer.lastCounterTotal);
      customer.usageShare += (share - customer.usageShare) * Ewma.FAST_WEIGHT;
      customer.usageShare = Math.max(customer.usageShare, MIN_SHARE_OF_EVEN / customer.nodeSpread);
    }
    customer.lastTotalEpoch = customer.reservationEpoch;
  }

  /** Releases what was asked for and not granted, with the next add where calls are scarce. */
  private void releaseUngranted(Customer customer, double granted) {
    double amount = granted - customer.requestedUnits;
    boolean isBudgetLow = counterCalls.isLow() || customer.isCallUnanswered;
    if (isBudgetLow && customer.isUnderSampled) {
      customer.unreportedUnits += amount; // goes with the next add
    } else {
      call(customer, customer.reservationEpoch, amount, CounterCallKind.RELEASE);
    }
  }

  /**
   * A correction ended. Two nodes may correct the same excess: the later one sees it taken off
   * twice and takes its own back.
   */
  void correctionEnded(Customer customer, CallOutcome outcome, double total) {
    if (outcome == CallOutcome.OK
        && customer.correctedUnits > 0
        && accruedInEpoch(customer) - total
            < Math.max(0, customer.lastReadUnits) - customer.correctedUnits / 2) {
      call(customer, customer.reservationEpoch, -customer.correctedUnits, CounterCallKind.RELEASE);
    }
  }
}
