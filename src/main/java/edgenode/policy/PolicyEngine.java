package edgenode.policy;

import edgenode.policy.subset.EndpointSubset;
import java.util.List;
import java.util.Random;

/**
 * Every decision of one node: routes each event to the rules, which answer by calling {@link
 * PolicyActions} during the event. The same events give the same actions; all chance comes from one
 * seed. No I/O, threads or clock of its own; for one thread.
 */
public final class PolicyEngine implements PolicyEvents {
  /** Endpoints that are listed within so many ticks after a start raise the initial pace. */
  private static final int START_TICKS = 4;

  /** Quota ticks between two clean-ups of idle customers (16 s). */
  private static final int TICKS_PER_CLEANUP = 64;

  private final boolean settlesUnits;
  private final PolicyActions actions;
  private final PolicyTimers timers;
  private final RequestClassTable requestClasses;
  private final CustomerTable customers;
  private final DiscoveryPolling discovery;
  private final CounterCallBudget counterCalls;
  private final UsageEstimator estimator;
  private final QuotaReservations reservations;
  private final OpenRequestCap openRequests;
  private final SlowStart slowStart;
  private final KnownEndpoints endpoints;
  private final OutlierDetector outliers;
  private final OutcomeRecorder outcomes;
  private final Pacer pacer;
  private final RequestLifecycle lifecycle;
  private final AdmissionQueue queue;
  private long tickCount;

  /** An engine that holds as many endpoints of a longer list as is the default. */
  public PolicyEngine(PolicySettings settings, long seed, double nowMs, PolicyActions actions) {
    this(settings, seed, nowMs, actions, EndpointSubset.DEFAULT_MIN_ENDPOINTS);
  }

  /**
   * Starts the first quota tick, and calls discovery where it must be polled.
   *
   * @param settings what this node is given at its start
   * @param seed of all chance
   * @param nowMs the time on the shell's clock
   * @param actions what the shell does for the engine
   * @param minSubsetSize how many of a longer list a node holds on average at least (endpoints)
   */
  public PolicyEngine(
      PolicySettings settings, long seed, double nowMs, PolicyActions actions, int minSubsetSize) {
    this(settings, seed, nowMs, actions, minSubsetSize, CustomerTable.maxCustomersOfHeap());
  }

  /**
   * @param maxCustomers that are remembered at most
   */
  PolicyEngine(
      PolicySettings settings,
      long seed,
      double nowMs,
      PolicyActions actions,
      int minSubsetSize,
      int maxCustomers) {
    this.actions = actions;
    settlesUnits = settings.settlesUnits();
    Random random = new Random(seed);
    timers = new PolicyTimers(settings, actions, nowMs);
    requestClasses = new RequestClassTable(settings);
    customers = new CustomerTable(settings, timers, maxCustomers);
    discovery = new DiscoveryPolling(settings, timers, actions, random);

    double meanObjectiveMs = requestClasses.meanObjectiveMs();
    pacer = new Pacer(settings, timers, meanObjectiveMs);
    slowStart = new SlowStart(settings, timers, random);
    endpoints = new KnownEndpoints(settings, timers, slowStart, minSubsetSize);
    outliers = new OutlierDetector(timers, endpoints);
    ConcurrencyLimiter limiter = new ConcurrencyLimiter(timers, meanObjectiveMs);
    EndpointScore score = new EndpointScore(settings, timers, slowStart);
    outcomes = new OutcomeRecorder(timers, score, limiter, outliers, slowStart, pacer);
    LoadBalancer loadBalancer =
        new LoadBalancer(timers, random, endpoints, slowStart, limiter, score);
    lifecycle =
        new RequestLifecycle(
            settings,
            timers,
            actions,
            new RetryPolicy(settings, timers),
            pacer,
            loadBalancer,
            slowStart);

    counterCalls = new CounterCallBudget(settings, timers, actions);
    estimator = new UsageEstimator(timers, counterCalls, pacer);
    reservations =
        new QuotaReservations(
            settings,
            timers,
            customers,
            counterCalls,
            estimator,
            requestClasses.longestObjectiveMs());
    openRequests = new OpenRequestCap(timers, counterCalls, estimator);
    queue =
        new AdmissionQueue(
            settings, timers, reservations, new HardCeiling(timers), openRequests, lifecycle);

    timers.schedule(TimerKind.QUOTA_TICK, timers.nextQuotaTickMs());
    discovery.start();
  }

  @Override
  public void endpointsChanged(double nowMs, List<EndpointInfo> endpointInfos, boolean isComplete) {
    advanceTo(nowMs);
    endpoints.update(endpointInfos, isComplete);
    if (tickCount < START_TICKS && endpoints.upCount() > 0) {
      pacer.start(endpoints.upCount());
    }
    queue.dispatch();
  }

  @Override
  public void discoveryFailed(double nowMs) {
    advanceTo(nowMs);
    discovery.callFailed();
  }

  @Override
  public void requestArrived(double nowMs, IncomingRequest incoming) {
    advanceTo(nowMs);
    RequestClassStats classStats = requestClasses.find(incoming.className());
    QuotaPlan plan = customers.findPlan(incoming.planName());
    if (classStats == null || plan == null) {
      actions.reject(incoming.id(), 0); // there is no quota to count it against
      return;
    }
    Customer customer = customers.findOrAdd(incoming, plan, reservations.usualGrantShare());
    if (customer == null) {
      actions.reject(incoming.id(), 0);
      return;
    }
    pacer.recordArrival();
    PendingRequest request = lifecycle.add(incoming, classStats, customer);
    if (queue.isFutile(request)) {
      lifecycle.rejectOrFail(request);
      customers.forgetIfUnused(customer);
      return;
    }
    customers.activate(customer);
    queue.add(request);
  }

  @Override
  public void responseStarted(double nowMs, long requestId, int attempt) {
    advanceTo(nowMs);
    PendingRequest request = lifecycle.find(requestId);
    if (request != null) {
      request.isStreaming = true;
    }
  }

  @Override
  public void attemptEnded(
      double nowMs, long id, int attemptNumber, AttemptResult result, boolean isRequestOver) {
    advanceTo(nowMs);
    PendingRequest request = lifecycle.find(id);
    if (request == null
        || attemptNumber < 0
        || attemptNumber >= request.attempts.size()
        || request.attempts.get(attemptNumber).outcome != null) {
      return;
    }
    Attempt attempt = request.attempts.get(attemptNumber);
    lifecycle.recordEnd(attempt, result.outcome());
    outcomes.record(attempt.endpoint, request.classStats, result.outcome(), result.tookMs());
    if (result.outcome() == CallOutcome.OK && result.trueUnits() > 0 && settlesUnits) {
      reservations.recordTrueUnits(request.customer, result.trueUnits() - request.units());
    }
    if (isRequestOver || request.isFinished) {
      lifecycle.finish(request);
    } else if (request.inFlight == 0) {
      lifecycle.retryOrAnswer(request);
    }
    queue.dispatch();
    openRequests.releaseUnused(request.customer);
  }

  @Override
  public void clientDisconnected(double nowMs, long requestId) {
    advanceTo(nowMs);
    PendingRequest request = lifecycle.find(requestId);
    if (request != null) {
      lifecycle.finish(request);
      customers.forgetIfUnused(request.customer);
    }
  }

  @Override
  public void timerFired(double nowMs, long token) {
    boolean isLast = timers.isLastShellTimer(nowMs);
    advanceTo(nowMs);
    queue.dispatch();
    if (isLast) { // an earlier one leaves the one that is still to come alone
      timers.setNextShellTimer();
    }
  }

  @Override
  public void healthCheckEnded(
      double nowMs, String endpointId, CallOutcome outcome, double tookMs, double[] loadReport) {
    advanceTo(nowMs);
  }

  @Override
  public void counterCallEnded(
      double nowMs, long name, CallOutcome outcome, double tookMs, double total) {
    advanceTo(nowMs);
    OpenCounterCall call = counterCalls.callEnded(name, outcome, tookMs);
    if (call == null) {
      return;
    }
    Customer customer = call.customer();
    if (outcome == CallOutcome.OVERDUE) {
      reservations.callOverdue(customer);
    } else {
      switch (call.kind()) {
        case RESERVE -> reservations.reservationEnded(customer, outcome, total);
        case RELEASE -> reservations.releaseEnded(call, outcome);
        case CORRECT -> reservations.correctionEnded(customer, outcome, total);
        case TAKE_OPEN_SLOT -> openRequests.slotCallEnded(customer, outcome, total);
        case RELEASE_OPEN_SLOT -> {}
      }
    }
    queue.dispatch();
    openRequests.releaseUnused(customer);
  }

  @Override
  public int ejectedCount(double nowMs) {
    return outliers.ejectedCount(nowMs);
  }

  /** Moves the time on and runs the timers that are due by then. */
  private void advanceTo(double nowMs) {
    timers.advanceTo(nowMs);
    PolicyTimers.Timer timer = timers.pollDue();
    while (timer != null) {
      run(timer);
      timer = timers.pollDue();
    }
  }

  private void run(PolicyTimers.Timer timer) {
    PendingRequest request = timer.request();
    switch (timer.kind()) {
      case QUOTA_TICK -> onQuotaTick();
      case QUEUE_EXPIRY -> {
        queue.expire(request);
        customers.forgetIfUnused(request.customer);
      }
      case REQUEST_DEADLINE -> lifecycle.deadlineReached(request);
      case HALF_OBJECTIVE_PASSED -> lifecycle.halfObjectivePassed(request);
      case RETRY -> lifecycle.retryDue(request);
      case SUBSCRIBE -> actions.subscribe();
      case DISPATCH -> {} // timerFired dispatches after all timers
    }
  }

  private void onQuotaTick() {
    tickCount++;
    timers.schedule(TimerKind.QUOTA_TICK, timers.nextQuotaTickMs());
    endpoints.onQuotaTick();
    slowStart.onQuotaTick(endpoints.inSubset());
    estimator.onQuotaTick();
    pacer.onQuotaTick(tickCount);
    counterCalls.onQuotaTick();
    reservations.onQuotaTick();
    if (tickCount % TICKS_PER_CLEANUP == 0) {
      customers.forgetIdle();
    }
  }

  /** The timers that are still to come, for tests. */
  PolicyTimers timers() {
    return timers;
  }

  /** The customers that are remembered, for tests. */
  CustomerTable customers() {
    return customers;
  }

  /** The endpoints that this node knows, for tests. */
  KnownEndpoints endpoints() {
    return endpoints;
  }
}
