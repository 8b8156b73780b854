package edgenode.policy;

/** How an attempt, a probe or a counter call ended; the flag says that it proves nothing ran. */
public enum CallOutcome {
  OK(false),
  ERROR(false),
  FULL(true),
  TIMEOUT(false),
  NO_CONNECTION(true),
  RESET(false),
  CANCELLED(false),
  NOT_SENT(true),
  /**
   * Of counter calls only, and not an end: no answer in the time of the settings, and the call
   * stays open.
   */
  OVERDUE(false);

  /** True where the work cannot have run. */
  final boolean provesNothingRan;

  CallOutcome(boolean neverRan) {
    this.provesNothingRan = neverRan;
  }

  /** True where the work cannot have run. */
  public boolean provesNothingRan() {
    return provesNothingRan;
  }
}
