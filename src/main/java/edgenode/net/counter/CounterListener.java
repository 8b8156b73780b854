package edgenode.net.counter;

import edgenode.policy.CallOutcome;

/** Receives the results of {@link CounterClient#add}, on the event loop thread. */
public interface CounterListener {
  /**
   * A call has ended or is overdue. Called after {@link CounterClient#add} has returned: once with
   * the end of each call, and before that with {@link CallOutcome#OVERDUE} where the call exceeds
   * its time-out. The calls of one name end in their order.
   *
   * @param durationMs from the call to this notification
   * @param total the name's new total where the outcome is OK, else 0
   */
  void callEnded(long counterName, CallOutcome outcome, double durationMs, double total);
}
