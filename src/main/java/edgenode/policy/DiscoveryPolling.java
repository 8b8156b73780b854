package edgenode.policy;

import java.util.Random;

/**
 * When discovery is called again after a failed call: exponential backoff with jitter, so that a
 * fleet does not call at once. Only where the settings say that discovery must be polled.
 */
final class DiscoveryPolling {
  private static final double MIN_BACKOFF_MS = 1000;

  /** One and a half times this, a call of 2 s that fails and the next one take 6 s at most. */
  private static final double MAX_BACKOFF_MS = 2000;

  private final PolicyTimers timers;
  private final PolicyActions actions;
  private final Random random;
  private final boolean mustPoll;
  private double backoffMs = MIN_BACKOFF_MS;

  DiscoveryPolling(
      PolicySettings settings, PolicyTimers timers, PolicyActions actions, Random random) {
    this.timers = timers;
    this.actions = actions;
    this.random = random;
    mustPoll = settings.mustPollDiscovery();
  }

  void start() {
    if (mustPoll) {
      actions.subscribe();
    }
  }

  void callFailed() {
    if (mustPoll) {
      double jitter = 0.5 + random.nextDouble();
      timers.schedule(TimerKind.SUBSCRIBE, timers.nowMs() + backoffMs * jitter);
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
  }
}
