package edgenode.drain;

/**
 * Whether this edge node takes clients, and how far it has sent them away. A pure core: time (ms)
 * is an argument and never goes back; whoever carries it out asks {@link #phase} and comes again at
 * {@link #nextPhaseChangeMs}.
 *
 * <p>The front that deals out clients asks ten times a second and stops 0.2 s after a no; until
 * then a connection that is ended comes straight back. So the no comes first, the ends once the
 * front can have acted on it, and near the end of the time no connection may bring further
 * requests.
 */
public final class DrainController {
  /** How far clients are sent away. */
  public enum Phase {
    /** They are welcome. */
    ACCEPTING,
    /** The front is told no; connections go on as ever. */
    NOT_READY,
    /** Each connection ends after its last answer, and at once where none is owed. */
    CLOSING_CONNECTIONS,
    /** As before, and a connection with requests open brings no further ones. */
    READING_STOPPED
  }

  /**
   * From the first no to the first ends (ms): a question each 100 ms, 200 ms to act, and half as
   * much for delays.
   */
  public static final double NOT_READY_MS = 450;

  /**
   * From the no to the cut (ms). Operators hold that 4 s after it no connection has a request
   * younger than 2 s: with the cut at 1.9 s the youngest one is older by then.
   */
  public static final double STOP_READING_AFTER_MS = 1900;

  private double drainingSinceMs = Double.NaN;
  private boolean isShuttingDown;

  /** Clients are to be sent away. One that is on its way already keeps its time. */
  public void startDrain(double nowMs) {
    if (Double.isNaN(drainingSinceMs)) {
      drainingSinceMs = nowMs;
    }
  }

  /**
   * Clients are welcome again.
   *
   * @return false where the process ends: that cannot be taken back
   */
  public boolean cancelDrain() {
    if (isShuttingDown) {
      return false;
    }
    drainingSinceMs = Double.NaN;
    return true;
  }

  /**
   * The process ends once all that was taken is answered. There is no cut: what comes until then is
   * answered.
   */
  public void startShutdown(double nowMs) {
    startDrain(nowMs);
    isShuttingDown = true;
  }

  /** Whether whoever asks is told to send clients here. */
  public boolean isAccepting() {
    return Double.isNaN(drainingSinceMs);
  }

  /** Whether the process is about to end. */
  public boolean isShuttingDown() {
    return isShuttingDown;
  }

  public Phase phase(double nowMs) {
    if (Double.isNaN(drainingSinceMs)) {
      return Phase.ACCEPTING;
    }
    double drainingForMs = nowMs - drainingSinceMs;
    if (drainingForMs < NOT_READY_MS) {
      return Phase.NOT_READY;
    }
    return drainingForMs < STOP_READING_AFTER_MS || isShuttingDown
        ? Phase.CLOSING_CONNECTIONS
        : Phase.READING_STOPPED;
  }

  /** When the phase changes by itself (ms), or infinity. */
  public double nextPhaseChangeMs(double nowMs) {
    return switch (phase(nowMs)) {
      case NOT_READY -> drainingSinceMs + NOT_READY_MS;
      case CLOSING_CONNECTIONS ->
          isShuttingDown ? Double.POSITIVE_INFINITY : drainingSinceMs + STOP_READING_AFTER_MS;
      default -> Double.POSITIVE_INFINITY;
    };
  }
}
