package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.counter.CounterClient;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.PolicyActions;

/**
 * Carries out what the policy decides. Actions on a request that has been answered or is unknown do
 * nothing. On the event loop only.
 */
final class NodeActions implements PolicyActions {
  /** Delay (ms) after which a timer that failed in the policy fires again. */
  private static final double TIMER_RETRY_MS = 20;

  private final EdgeEventLoop loop;
  private final GuardedPolicy policy;
  private final RequestTable requests;
  private final UpstreamConnectionPool upstream;
  private final CounterClient counter;

  NodeActions(NodeComponents components) {
    loop = components.loop;
    policy = components.policy;
    requests = components.requests;
    upstream = components.upstream;
    counter = components.counter;
  }

  @Override
  public void send(long requestId, String endpointId, double untilMs) {
    PendingRequest request = requests.find(requestId);
    if (request != null) {
      request.sendAttempt(endpointId, untilMs);
    }
  }

  @Override
  public void cancel(long requestId, int attempt) {
    PendingRequest request = requests.find(requestId);
    if (request != null) {
      request.cancelAttempt(attempt);
    }
  }

  @Override
  public void reject(long requestId, double retryAfterMs) {
    PendingRequest request = requests.find(requestId);
    if (request != null) {
      request.reject(retryAfterMs);
    }
  }

  @Override
  public void fail(long requestId) {
    PendingRequest request = requests.find(requestId);
    if (request != null) {
      request.fail();
    }
  }

  @Override
  public void setTimer(double delayMs, long token) {
    double dueAtMs = loop.nowMs() + delayMs;
    loop.schedule(
        delayMs,
        () -> {
          // The policy has one timer for all that it waits for: it must not end with an exception.
          if (!policy.timerFired(Math.max(loop.nowMs(), dueAtMs), token)) {
            setTimer(TIMER_RETRY_MS, token);
          }
        });
  }

  @Override
  public void checkHealth(String endpointId) {
    upstream.checkHealth(endpointId);
  }

  @Override
  public void addToCounter(long counterName, double amount, double keepMs) {
    counter.add(counterName, amount, keepMs);
  }

  /** Does nothing: discovery renews its watch by itself. */
  @Override
  public void subscribe() {}
}
