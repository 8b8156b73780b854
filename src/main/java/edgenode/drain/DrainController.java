package edgenode.drain;

/**
 * Decides whether this node takes clients, and in which phase of draining it is. No I/O and no
 * clock: times (ms) are arguments and never go back. Whoever carries a phase out asks {@link
 * #phase} and calls again at {@link #nextPhaseChangeMs}. Not thread-safe.
 *
 * <p>The client-side load balancer asks ten times a second whether the node is ready, and stops
 * sending clients 0.2 s after a no; until then a closed connection comes straight back. So the node
 * first reports that it is not ready, closes connections once the load balancer can have reacted,
 * and finally reads no further requests from the remaining connections.
 */
public final class DrainController {
  /** A phase of draining. */
  public enum Phase {
    /** Clients are welcome. */
    ACCEPTING,
    /** The node reports that it is not ready; connections go on. */
    NOT_READY,
    /** Each connection is closed after its last response, idle ones at once. */
    CLOSING_CONNECTIONS,
    /** As before, and no further requests are read from connections with requests open. */
    READING_STOPPED
  }

  /**
   * From the first "not ready" to closing connections (ms): 100 ms until the load balancer asks,
   * 200 ms until it acts, and half as much again for delays.
   */
  public static final double NOT_READY_MS = 450;

  /**
   * From the first "not ready" until reading stops (ms). Operators require that 4 s after it no
   * connection has a request younger than 2 s.
   */
  public static final double STOP_READING_AFTER_MS = 1900;

  private boolean isDraining;

  /** Valid while draining. */
  private double drainingSinceMs;

  private boolean isShuttingDown;

  /** Begins to drain; a drain under way keeps its times. */
  public void startDrain(double nowMs) {
    if (!isDraining) {
      isDraining = true;
      drainingSinceMs = nowMs;
    }
  }

  /**
   * Takes clients again.
   *
   * @return false where the process is shutting down, which cannot be undone
   */
  public boolean cancelDrain() {
    if (isShuttingDown) {
      return false;
    }
    isDraining = false;
    return true;
  }

  /**
   * Begins to drain for the end of the process, once every accepted request is answered. Reading
   * does not stop in this case: what comes until then is answered.
   */
  public void startShutdown(double nowMs) {
    startDrain(nowMs);
    isShuttingDown = true;
  }

  /** Whether the node reports that it is ready. */
  public boolean isAccepting() {
    return !isDraining;
  }

  /** Whether the process is about to end. */
  public boolean isShuttingDown() {
    return isShuttingDown;
  }

  /** The phase at a time (ms). */
  public Phase phase(double nowMs) {
    if (!isDraining) {
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

  /** When the phase changes without a call (ms), or infinity for never. */
  public double nextPhaseChangeMs(double nowMs) {
    return switch (phase(nowMs)) {
      case NOT_READY -> drainingSinceMs + NOT_READY_MS;
      case CLOSING_CONNECTIONS ->
          isShuttingDown ? Double.POSITIVE_INFINITY : drainingSinceMs + STOP_READING_AFTER_MS;
      default -> Double.POSITIVE_INFINITY;
    };
  }
}
