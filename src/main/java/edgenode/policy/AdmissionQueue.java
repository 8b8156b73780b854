package edgenode.policy;

import java.util.ArrayDeque;

/**
 * The queues of all customers: serves the customers in turn, of each the request first that is
 * useful for the shortest time, while its quota covers it and an endpoint can take it.
 *
 * <p>Inputs: quota, hard ceiling and open-request cap, the time that is left (ms). A request that
 * cannot be sent stays queued until an answer would come too late, then it is rejected.
 */
final class AdmissionQueue {
  private final PolicyTimers timers;
  private final QuotaReservations reservations;
  private final HardCeiling ceiling;
  private final OpenRequestCap openRequests;
  private final RequestLifecycle lifecycle;
  private final double timerResolutionMs;
  private final double counterTimeoutMs;
  private final ArrayDeque<Customer> dispatchRing = new ArrayDeque<>();

  AdmissionQueue(
      PolicySettings settings,
      PolicyTimers timers,
      QuotaReservations reservations,
      HardCeiling ceiling,
      OpenRequestCap openRequests,
      RequestLifecycle lifecycle) {
    this.timers = timers;
    this.reservations = reservations;
    this.ceiling = ceiling;
    this.openRequests = openRequests;
    this.lifecycle = lifecycle;
    timerResolutionMs = settings.timerResolutionMs();
    counterTimeoutMs = settings.capabilities().counterTimeoutMs();
  }

  /** Queues a request and sends what can be sent. */
  void add(PendingRequest request) {
    Customer customer = request.customer;
    customer.enqueue(request);
    if (!customer.isInDispatchRing) {
      customer.isInDispatchRing = true;
      dispatchRing.add(customer);
    }
    dispatch();
    if (customer.queue.contains(request)) {
      timers.schedule(TimerKind.QUEUE_EXPIRY, expiryMs(request), request);
    }
  }

  /**
   * Until when a request is queued. The mean time of a slow class may leave no time at all; the
   * counter's answer is waited for all the same, within the client's time.
   */
  private double expiryMs(PendingRequest request) {
    double nowMs = timers.nowMs();
    double counterAnswerMs = nowMs + (request.customer.isUnshared ? 0 : counterTimeoutMs);
    double lastMs =
        Math.max(
            request.lastUsefulStartMs(timerResolutionMs),
            Math.min(counterAnswerMs, request.lastAnswerMs(timerResolutionMs)));
    return Math.max(nowMs + timerResolutionMs, lastMs);
  }

  /** Sends queued requests until each customer lacks quota or no endpoint can take one. */
  void dispatch() {
    int blocked = 0;
    while (blocked < dispatchRing.size()) {
      Customer customer = dispatchRing.poll();
      if (customer.queue.isEmpty()) {
        customer.isInDispatchRing = false;
        continue;
      }
      dispatchRing.add(customer);
      PendingRequest request = customer.queue.first();
      if (!isAdmitted(customer, request)) {
        blocked++;
        continue;
      }
      Endpoint endpoint = lifecycle.findEndpoint(request);
      if (endpoint == null) {
        return;
      }
      sendFirstAttempt(request, endpoint);
      blocked = 0;
    }
  }

  private boolean isAdmitted(Customer customer, PendingRequest request) {
    return reservations.covers(customer, request)
        && ceiling.hasRoom(customer, request)
        && openRequests.hasSlot(customer);
  }

  private void sendFirstAttempt(PendingRequest request, Endpoint endpoint) {
    Customer customer = request.customer;
    customer.dequeue(request);
    customer.hasSpent = true;
    reservations.spend(customer, request.units());
    ceiling.spend(customer, request.units());
    timers.schedule(TimerKind.REQUEST_DEADLINE, request.deadlineMs, request);
    lifecycle.send(request, endpoint);
  }

  /** A queued request has waited in vain: its customer's quota is short for a while. */
  void expire(PendingRequest request) {
    if (!request.isFinished && request.attempts.isEmpty()) {
      request.customer.shortUntilMs = timers.nowMs() + request.latencyObjectiveMs();
      lifecycle.rejectOrFail(request);
    }
  }

  /** Whether a client's retry would only wait in vain once more. */
  boolean isFutile(PendingRequest request) {
    return request.incoming.isClientRetry() && timers.nowMs() < request.customer.shortUntilMs;
  }
}
