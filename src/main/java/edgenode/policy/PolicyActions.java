package edgenode.policy;

/**
 * What the engine asks of its shell. Called by the engine's thread during an event; the shell must
 * not send an event from within a call, and must not throw.
 */
public interface PolicyActions {
  /**
   * Sends an attempt. Its end is one {@link PolicyEvents#attemptEnded}; attempts of a request count
   * from 0.
   *
   * @param untilMs time limit of the attempt, always 0: none of its own. Not used by this engine;
   *     part of the simulator's protocol.
   */
  void send(long requestId, String endpointId, double untilMs);

  /** Cancels an attempt that is in flight; its end is still reported. */
  void cancel(long requestId, int attempt);

  /**
   * Rejects the request: a final answer after which the client may safely send the request again.
   * Nothing ran, or repeating it does no harm.
   *
   * @param retryAfterMs when the client may come back, 0 to say nothing of it
   */
  void reject(long requestId, double retryAfterMs);

  /** Answers that the request failed; it may have run. */
  void fail(long requestId);

  /**
   * Sets a timer beside those that are set. It ends in one {@link PolicyEvents#timerFired}, never
   * early by more than rounding.
   */
  void setTimer(double delayMs, long token);

  /**
   * Checks the health of an endpoint. It ends in one {@link PolicyEvents#healthCheckEnded}. Not
   * used by this engine; part of the simulator's protocol.
   */
  void checkHealth(String endpointId);

  /**
   * Adds to a count on the counter, and reads it. It ends in one {@link
   * PolicyEvents#counterCallEnded}.
   *
   * @param name of the count; it begins at 0
   * @param amount below 0 to take off
   * @param keepMs how long the counter keeps the name
   */
  void addToCounter(long name, double amount, double keepMs);

  /** Calls discovery for the endpoint list. */
  void subscribe();
}
