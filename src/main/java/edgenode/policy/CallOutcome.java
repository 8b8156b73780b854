package edgenode.policy;

/** How an attempt, a health check or a call to the counter ended. */
public enum CallOutcome {
  /** Answered. */
  OK(false),
  /** Answered with an error. */
  ERROR(false),
  /** Rejected by a full endpoint. */
  FULL(true),
  /** No answer in time. */
  TIMEOUT(false),
  /** No connection came up. */
  NO_CONNECTION(true),
  /** The connection broke before the answer. */
  RESET(false),
  /** Cancelled by this node. */
  CANCELLED(false),
  /** Given up before it was written. */
  NOT_SENT(true),
  /**
   * Of counter calls only, and not an end: no answer within the time-out of the settings; the call
   * stays open.
   */
  OVERDUE(false);

  private final boolean provesNothingRan;

  CallOutcome(boolean provesNothingRan) {
    this.provesNothingRan = provesNothingRan;
  }

  /** Whether the other side cannot have done any work. */
  public boolean provesNothingRan() {
    return provesNothingRan;
  }
}
