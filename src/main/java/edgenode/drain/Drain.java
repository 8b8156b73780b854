package edgenode.drain;

/**
 * Whether this edge node takes clients, and how far it has sent them away. A pure core: time (ms)
 * is an argument and never goes back; whoever carries it out asks {@link #phase} and comes again at
 * {@link #next}.
 *
 * <p>The front that deals out clients asks ten times a second and stops 0.2 s after a no; until
 * then a connection that is ended comes straight back. So the no comes first, the ends once the
 * front can have acted on it, and near the end of the time no connection may bring further
 * requests.
 */
public final class Drain {
  /** How far clients are sent away. */
  public enum Phase {
    /** They are welcome. */
    OPEN,
    /** The front is told no; connections go on as ever. */
    TOLD,
    /** Each connection ends after its last answer, and at once where none is owed. */
    ENDING,
    /** As before, and a connection with requests open brings no further ones. */
    CUT
  }

  /**
   * From the first no to the first ends (ms): a question each 100 ms, 200 ms to act, and half as
   * much for delays.
   */
  public static final double NOTICE = 450;

  /**
   * From the no to the cut (ms). Operators hold that 4 s after it no connection has a request
   * younger than 2 s: with the cut at 1.9 s the youngest one is older by then.
   */
  public static final double CUT_AFTER = 1900;

  private double since = Double.NaN;
  private boolean forGood;

  /** Clients are to be sent away. One that is on its way already keeps its time. */
  public void evacuate(double now) {
    if (Double.isNaN(since)) {
      since = now;
    }
  }

  /**
   * Clients are welcome again.
   *
   * @return false where the process ends: that cannot be taken back
   */
  public boolean rejoin() {
    if (forGood) {
      return false;
    }
    since = Double.NaN;
    return true;
  }

  /**
   * The process ends once all that was taken is answered. There is no cut: what comes until then is
   * answered.
   */
  public void end(double now) {
    evacuate(now);
    forGood = true;
  }

  /** Whether whoever asks is told to send clients here. */
  public boolean welcomes() {
    return Double.isNaN(since);
  }

  /** Whether the process is about to end. */
  public boolean forGood() {
    return forGood;
  }

  public Phase phase(double now) {
    if (Double.isNaN(since)) {
      return Phase.OPEN;
    }
    double age = now - since;
    if (age < NOTICE) {
      return Phase.TOLD;
    }
    return age < CUT_AFTER || forGood ? Phase.ENDING : Phase.CUT;
  }

  /** When the phase changes by itself (ms), or infinity. */
  public double next(double now) {
    return switch (phase(now)) {
      case TOLD -> since + NOTICE;
      case ENDING -> forGood ? Double.POSITIVE_INFINITY : since + CUT_AFTER;
      default -> Double.POSITIVE_INFINITY;
    };
  }
}
