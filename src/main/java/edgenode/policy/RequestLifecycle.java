package edgenode.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that are pending, from arrival to the final answer: sends attempts, retries,
 * rejects, fails and forgets. A request is forgotten when it is finished and nothing of it is in
 * flight.
 */
final class RequestLifecycle {
  /** A retry that finds no endpoint tries once more after this. */
  private static final double RETRY_DELAY_MS = 25;

  private final PolicyTimers timers;
  private final PolicyActions actions;
  private final RetryPolicy retryPolicy;
  private final Pacer pacer;
  private final LoadBalancer loadBalancer;
  private final SlowStart slowStart;
  private final boolean canCancel;
  private final double retryAfterMs;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long nextSerial;

  RequestLifecycle(
      PolicySettings settings,
      PolicyTimers timers,
      PolicyActions actions,
      RetryPolicy retryPolicy,
      Pacer pacer,
      LoadBalancer loadBalancer,
      SlowStart slowStart) {
    this.timers = timers;
    this.actions = actions;
    this.retryPolicy = retryPolicy;
    this.pacer = pacer;
    this.loadBalancer = loadBalancer;
    this.slowStart = slowStart;
    Capabilities capabilities = settings.capabilities();
    canCancel = capabilities.canCancel();
    // the longest: what was short stays so for a while, and an earlier retry finds no more
    retryAfterMs = capabilities.canSendRetryAfter() ? capabilities.maxRetryAfterMs() : 0;
  }

  PendingRequest add(IncomingRequest incoming, RequestClassStats classStats, Customer customer) {
    PendingRequest request =
        new PendingRequest(incoming, classStats, customer, timers.nowMs(), nextSerial++);
    pending.put(incoming.id(), request);
    return request;
  }

  /** The pending request of an id, null where there is none. */
  PendingRequest find(long id) {
    return pending.get(id);
  }

  /** The endpoint for the next attempt, null where the pace or all endpoints hold it back. */
  Endpoint findEndpoint(PendingRequest request) {
    return pacer.hasToken() ? loadBalancer.choose(request) : null;
  }

  void send(PendingRequest request, Endpoint endpoint) {
    double nowMs = timers.nowMs();
    Attempt attempt = new Attempt(request, endpoint, nowMs);
    request.attempts.add(attempt);
    request.inFlight++;
    request.customer.inFlight++;
    endpoint.inFlight.add(attempt);
    endpoint.lastSentMs = nowMs;
    loadBalancer.recordSent(endpoint);
    slowStart.recordAttempt(endpoint);
    pacer.takeToken();
    timers.schedule(
        TimerKind.HALF_OBJECTIVE_PASSED, nowMs + request.latencyObjectiveMs() / 2, request);
    actions.send(request.id(), endpoint.id, 0);
  }

  /** Notes that an attempt has ended, before anything is decided by it. */
  void recordEnd(Attempt attempt, CallOutcome outcome) {
    attempt.outcome = outcome;
    attempt.request.inFlight--;
    attempt.request.customer.inFlight--;
    attempt.endpoint.inFlight.remove(attempt);
  }

  /**
   * All attempts have ended without an answer: tries elsewhere where that is allowed and of use.
   */
  void retryOrAnswer(PendingRequest request) {
    if (!retryPolicy.shouldRetry(request)) {
      rejectOrFail(request);
      return;
    }
    Endpoint endpoint = findEndpoint(request);
    if (endpoint == null) {
      timers.schedule(TimerKind.RETRY, timers.nowMs() + RETRY_DELAY_MS, request);
    } else {
      send(request, endpoint);
    }
  }

  /** The final answer of a request that no attempt can answer any more. */
  void rejectOrFail(PendingRequest request) {
    if (retryPolicy.canReject(request)) {
      actions.reject(request.id(), retryAfterMs);
    } else {
      actions.fail(request.id());
    }
    finish(request);
  }

  /** No answer is owed any more: cancels what is in flight, where that is allowed. */
  void finish(PendingRequest request) {
    if (canCancel && !request.isFinished && !request.isStreaming) {
      cancelAttempts(request);
    }
    request.isFinished = true;
    request.customer.dequeue(request);
    if (request.inFlight == 0) {
      pending.remove(request.id());
    }
  }

  private void cancelAttempts(PendingRequest request) {
    for (int i = 0; i < request.attempts.size(); i++) {
      if (request.attempts.get(i).outcome == null) {
        actions.cancel(request.id(), i);
      }
    }
  }

  /** The client's time is over. */
  void deadlineReached(PendingRequest request) {
    if (!request.isFinished && !request.isStreaming) {
      rejectOrFail(request);
    }
  }

  /**
   * Half of the latency objective of an attempt is over; a later attempt has a timer of its own.
   */
  void halfObjectivePassed(PendingRequest request) {
    double sentAtMs = request.lastAttempt().sentAtMs;
    if (request.inFlight > 0 && sentAtMs <= timers.nowMs() - request.latencyObjectiveMs() / 2) {
      pacer.recordLateAnswer();
    }
  }

  /** The pause before a retry is over. */
  void retryDue(PendingRequest request) {
    if (!request.isFinished && request.inFlight == 0) {
      retryOrAnswer(request);
    }
  }
}
