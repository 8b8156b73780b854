package edgenode.policy;

/**
 * The pace of all attempts of this node: a token bucket (attempts a second) whose rate falls while
 * answers are late and rises while they are in time. Retries take tokens too.
 *
 * <p>Inputs: arrivals, and whether answers come within half of their latency objectives. Reason:
 * where all endpoints are overloaded alike, a limit at each endpoint sees too few answers to hold
 * the node back. While answers are in time there is no pace at all.
 */
final class Pacer {
  /** No limit. */
  private static final double UNPACED = Double.POSITIVE_INFINITY;

  /**
   * Least step of an answer; a late one takes three, so that the pace falls when over a quarter are
   * late.
   */
  private static final double MIN_STEP = 0.03;

  /** A node with few answers takes larger steps, so that all nodes are as quick down and up. */
  private static final double MAX_STEP = 0.25;

  private static final int STEPS_OF_LATE_ANSWER = 3;

  /** One attempt and the retry of another may always be in flight. */
  private static final double MIN_BURST = 2;

  private static final double MIN_RATE_PER_SECOND = 0.1;

  /** The pace falls to an eighth of the arrivals at least. */
  private static final double MIN_ARRIVAL_DIVISOR = 8;

  /** Over twice the arrivals a pace would hold nothing back: it ends. */
  private static final double MAX_ARRIVAL_FACTOR = 2;

  /** Under this part of the arrivals endpoints are overloaded; the rest is over quota anyway. */
  private static final double OVERLOADED_ARRIVAL_SHARE = 0.5;

  /** At a start each endpoint gets two attempts from all nodes together in its mean time. */
  private static final double INITIAL_ATTEMPTS_PER_ENDPOINT = 2;

  private final PolicyTimers timers;
  private final double timerResolutionMs;
  private final int nodeCount;
  private final double meanObjectiveMs;

  private double ratePerSecond;
  private double tokens;
  private double refilledAtMs;

  /** When the timer for the next token fires. */
  private double wakeAtMs;

  private double arrivalsPerSecond;
  private double arrivalsInTick;

  Pacer(PolicySettings settings, PolicyTimers timers, double meanObjectiveMs) {
    this.timers = timers;
    this.meanObjectiveMs = meanObjectiveMs;
    timerResolutionMs = settings.timerResolutionMs();
    nodeCount = settings.nodeCount();
  }

  /** The first endpoints are known: the pace until answers tell more. */
  void start(int upEndpoints) {
    double fleetRatePerSecond = INITIAL_ATTEMPTS_PER_ENDPOINT * 1000 * upEndpoints;
    ratePerSecond =
        Math.max(
            ratePerSecond,
            fleetRatePerSecond
                / nodeCount
                / (meanObjectiveMs / RequestClassStats.INITIAL_MEAN_DIVISOR));
    tokens = maxTokens();
  }

  void recordArrival() {
    arrivalsInTick++;
  }

  /**
   * @param tickCount ticks since the start, this one included
   */
  void onQuotaTick(long tickCount) {
    double perSecond = arrivalsInTick * 1000 / PolicyTimers.QUOTA_TICK_MS;
    arrivalsPerSecond +=
        (perSecond - arrivalsPerSecond) * Math.max(Ewma.FAST_WEIGHT, 1.0 / tickCount);
    arrivalsInTick = 0;
  }

  boolean areEndpointsOverloaded() {
    return ratePerSecond < OVERLOADED_ARRIVAL_SHARE * arrivalsPerSecond;
  }

  /** Whether an attempt may be sent now; where not, a timer fires when one may. */
  boolean hasToken() {
    if (ratePerSecond == UNPACED) {
      return true;
    }
    double nowMs = timers.nowMs();
    double refill = ratePerSecond * (nowMs - refilledAtMs) / 1000;
    tokens = Math.min(maxTokens(), tokens + refill);
    refilledAtMs = nowMs;
    if (tokens < 1 && nowMs >= wakeAtMs) {
      wakeAtMs = nowMs + Math.max(timerResolutionMs, (1 - tokens) / ratePerSecond * 1000);
      timers.schedule(TimerKind.DISPATCH, wakeAtMs);
    }
    return tokens >= 1;
  }

  private double maxTokens() {
    return Math.max(MIN_BURST, ratePerSecond * PolicyTimers.QUOTA_TICK_MS / 1000);
  }

  void takeToken() {
    tokens--;
  }

  /** An answer came within half of its latency objective. */
  void recordTimelyAnswer() {
    double raised = ratePerSecond + step() * arrivalsPerSecond;
    ratePerSecond = raised < maxRatePerSecond() ? raised : UNPACED;
  }

  /** An answer has not come within half of its latency objective. */
  void recordLateAnswer() {
    if (ratePerSecond == UNPACED) { // tokens count from here on
      tokens = MIN_BURST;
      refilledAtMs = timers.nowMs();
    }
    double minRate = Math.max(MIN_RATE_PER_SECOND, arrivalsPerSecond / MIN_ARRIVAL_DIVISOR);
    double lowered =
        Math.min(ratePerSecond, maxRatePerSecond()) * Math.pow(1 - step(), STEPS_OF_LATE_ANSWER);
    ratePerSecond = Math.max(minRate, lowered);
  }

  private double step() {
    return Math.max(MIN_STEP, Math.min(MAX_STEP, 1 / Math.max(1, arrivalsPerSecond)));
  }

  private double maxRatePerSecond() {
    return Math.max(1, MAX_ARRIVAL_FACTOR * arrivalsPerSecond);
  }
}
