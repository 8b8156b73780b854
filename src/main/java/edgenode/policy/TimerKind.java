package edgenode.policy;

/** What is due when a timer of {@link PolicyTimers} fires. */
enum TimerKind {
  /** The periodic work of all rules. */
  QUOTA_TICK,
  /** A queued request is no longer worth sending. */
  QUEUE_EXPIRY,
  /** The client stops waiting. */
  REQUEST_DEADLINE,
  /** Half of the latency objective of an attempt is over. */
  HALF_OBJECTIVE_PASSED,
  /** A request whose attempts have all ended tries to find an endpoint once more. */
  RETRY,
  /** Only wakes the engine: it dispatches queued requests after every timer. */
  DISPATCH,
  /** Discovery is called again. */
  SUBSCRIBE
}
