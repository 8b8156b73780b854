package edgenode.policy;

/**
 * The cap of a plan on a customer's open requests: a slot for each, counted on the counter for all
 * nodes together. A slot whose request has ended is reused while requests are queued.
 *
 * <p>Inputs: the plan's cap (0: none), attempts in flight, counts from the counter. Without a call
 * to spare, or without a counter, this node's even part of the cap holds.
 */
final class OpenRequestCap {
  /** A slot that was not granted is asked for once more after this. */
  private static final double RETRY_DELAY_MS = 25;

  private final PolicyTimers timers;
  private final CounterCallBudget counterCalls;
  private final UsageEstimator estimator;

  OpenRequestCap(PolicyTimers timers, CounterCallBudget counterCalls, UsageEstimator estimator) {
    this.timers = timers;
    this.counterCalls = counterCalls;
    this.estimator = estimator;
  }

  /** Whether a customer may have one more request in flight; where not, a slot is asked for. */
  boolean hasSlot(Customer customer) {
    int maxOpen = customer.plan.maxOpenRequests();
    if (maxOpen <= 0 || customer.inFlight < customer.openSlotEpochs.size()) {
      return true;
    }
    if (customer.isUnshared || !counterCalls.canCall()) {
      // an even part under one: one at a time while the last counts showed room
      return customer.inFlight < maxOpen / customer.nodeSpread
          || customer.inFlight == 0 && estimator.isTrusted(customer);
    }
    if (!customer.isCallInFlight && timers.nowMs() >= customer.nextCallAtMs) {
      customer.isCallInFlight = true;
      customer.openSlotEpoch = (long) Math.floor(timers.nowMs() / CounterCallKind.OPEN_EPOCH_MS);
      call(customer, customer.openSlotEpoch, 1, CounterCallKind.TAKE_OPEN_SLOT);
    }
    return false;
  }

  /**
   * A call for a slot ended: within the cap the slot is granted, else it is released and asked for
   * later.
   */
  void slotCallEnded(Customer customer, CallOutcome outcome, double total) {
    customer.isCallInFlight = false;
    if (outcome != CallOutcome.OK) {
      return;
    }
    boolean isWithinCap = total <= customer.plan.maxOpenRequests();
    customer.grantShare += ((isWithinCap ? 1 : 0) - customer.grantShare) / 2;
    if (isWithinCap) {
      customer.openSlotEpochs.add(customer.openSlotEpoch);
      return;
    }
    call(customer, customer.openSlotEpoch, -1, CounterCallKind.RELEASE_OPEN_SLOT);
    customer.nextCallAtMs = timers.nowMs() + RETRY_DELAY_MS;
    timers.schedule(TimerKind.DISPATCH, customer.nextCallAtMs);
  }

  /** Releases the slots that no request needs. */
  void releaseUnused(Customer customer) {
    while (customer.openSlotEpochs.size() > customer.inFlight && customer.queue.isEmpty()) {
      call(customer, customer.openSlotEpochs.poll(), -1, CounterCallKind.RELEASE_OPEN_SLOT);
    }
  }

  private void call(Customer customer, long epoch, double amount, CounterCallKind kind) {
    counterCalls.call(customer, customer.openCounterName(epoch), amount, kind);
  }
}
