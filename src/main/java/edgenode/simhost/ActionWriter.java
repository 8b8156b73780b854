package edgenode.simhost;

import edgenode.policy.PolicyActions;
import java.math.BigDecimal;

/** Collects one instance's actions as lines of the reply. */
final class ActionWriter implements PolicyActions {
  private static final double STEPS_PER_MS = 1000;

  private final StringBuilder lines = new StringBuilder();

  /** Appends the collected lines, if there are any, under the instance's number. */
  void moveTo(StringBuilder reply, int instanceNumber) {
    if (lines.length() > 0) {
      reply.append("AS\t").append(instanceNumber).append('\n').append(lines);
      lines.setLength(0);
    }
  }

  /** Drops what was collected. */
  void clear() {
    lines.setLength(0);
  }

  /** A number with three decimals at most, never in exponent form. */
  private static String format(double value) {
    return BigDecimal.valueOf(Math.rint(value * STEPS_PER_MS) / STEPS_PER_MS).toPlainString();
  }

  @Override
  public void send(long requestId, String endpointId, double deadlineMs) {
    lines
        .append("PLACE\t")
        .append(requestId)
        .append('\t')
        .append(endpointId)
        .append('\t')
        .append(format(deadlineMs))
        .append('\n');
  }

  @Override
  public void cancel(long requestId, int attempt) {
    lines.append("DROP_ATTEMPT\t").append(requestId).append('\t').append(attempt).append('\n');
  }

  @Override
  public void reject(long requestId, double retryAfterMs) {
    lines
        .append("PUSH_BACK\t")
        .append(requestId)
        .append('\t')
        .append(format(retryAfterMs))
        .append('\n');
  }

  @Override
  public void fail(long requestId) {
    lines.append("GIVE_UP\t").append(requestId).append('\n');
  }

  @Override
  public void setTimer(double delayMs, long token) {
    lines.append("WAKE_AT\t").append(format(delayMs)).append('\t').append(token).append('\n');
  }

  @Override
  public void checkHealth(String endpointId) {
    lines.append("ASK_LOAD\t").append(endpointId).append('\n');
  }

  @Override
  public void addToCounter(long counterName, double amount, double timeToLiveMs) {
    lines
        .append("ADD_TO\t")
        .append(format(amount))
        .append('\t')
        .append(format(timeToLiveMs))
        .append('\t')
        .append(counterName)
        .append('\n');
  }

  @Override
  public void subscribe() {
    lines.append("WATCH\t1\n");
  }
}
