package edgenode.policy;

/**
 * A call to the counter that has not ended.
 *
 * @param amount what was added, below 0 where it is taken off
 */
record OpenCounterCall(Customer customer, CounterCallKind kind, double amount) {}
