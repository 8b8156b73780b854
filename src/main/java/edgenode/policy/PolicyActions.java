package edgenode.policy;

/** What an instance asks of its host. */
public interface PolicyActions {
  void send(long requestId, String endpointId, double untilMs);

  void cancel(long requestId, int attempt);

  void reject(long requestId, double retryAfterMs);

  void fail(long requestId);

  void setTimer(double delayMs, long token);

  void checkHealth(String endpointId);

  void addToCounter(long name, double amount, double keepMs);

  void subscribe();
}
