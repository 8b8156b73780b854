package edgenode.policy;

/** What a call to the counter is for. */
enum CounterCallKind {
  /** Adds the units that this node wants or has spent; the total says what may be spent. */
  RESERVE(CounterCallKind.QUOTA_EPOCH_MS),
  /** Adds what the running total lacks against what the bucket can hold. */
  CORRECT(CounterCallKind.QUOTA_EPOCH_MS),
  /** Takes off units that are not needed here. */
  RELEASE(CounterCallKind.QUOTA_EPOCH_MS),
  /** Adds one open request. */
  TAKE_OPEN_SLOT(CounterCallKind.OPEN_EPOCH_MS),
  /** Takes one open request off. */
  RELEASE_OPEN_SLOT(CounterCallKind.OPEN_EPOCH_MS);

  /** A running total has a new name each epoch. */
  static final double QUOTA_EPOCH_MS = 120 * PolicyTimers.QUOTA_TICK_MS;

  /** The same for counts of open requests: the slots of a killed node are free by then. */
  static final double OPEN_EPOCH_MS = 16 * PolicyTimers.QUOTA_TICK_MS;

  /** For how long the counter is to keep the name; it allows 60 s at most. */
  final double keepForMs;

  CounterCallKind(double epochMs) {
    keepForMs = 2 * epochMs;
  }
}
