package edgenode.membership;

/**
 * The times (ms) and shares by which {@link Membership} weighs what it is told.
 *
 * @param upAfter a server that comes back up is shown so this much later; doubled for each time
 *     that it went down within {@code flapWindow}, up to {@code upAfterMost}
 * @param upAfterMost the longest such wait
 * @param flapWindow how long a fall is remembered
 * @param shrink a whole list that leaves less than this share (0 to 1) of the servers shown up is
 *     held
 * @param holdShrunk how long servers that such a list lacks are kept while they answer
 * @param holdEmpty the same where it leaves none
 * @param answers a server answers if one came within this time
 * @param doubt how long a source that goes back in versions may take servers down, before all are
 *     asked anew
 * @param overlay how long after its end a source that was left may keep servers down
 * @param old a view that nothing has confirmed for so long is told as old
 * @param warm an address is remembered as cold for so long after its server's start
 * @param refusals so many refused connects in a row, none standing, make a server dead
 * @param timeouts the same for connects that never came up
 */
public record Limits(
    double upAfter,
    double upAfterMost,
    double flapWindow,
    double shrink,
    double holdShrunk,
    double holdEmpty,
    double answers,
    double doubt,
    double overlay,
    double old,
    double warm,
    int refusals,
    int timeouts) {

  /** A share that every list reaches which names a server at all. */
  private static final double EMPTY_ONLY = 1e-9;

  public Limits {
    if (!(upAfter >= 0
        && upAfterMost >= upAfter
        && flapWindow >= 0
        && shrink >= 0
        && shrink <= 1
        && holdShrunk >= 0
        && holdEmpty >= holdShrunk
        && answers > 0
        && doubt > 0
        && overlay >= 0
        && old > 0
        && warm >= 0
        && refusals > 0
        && timeouts > 0)) {
      throw new IllegalArgumentException("limits of membership are out of range: " + this);
    }
  }

  /** The defaults; {@code warm} is the platform's time (ms) for a server to get warm. */
  public static Limits defaults(double warm) {
    return new Limits(100, 1600, 10_000, 0.5, 2000, 30_000, 1000, 2000, 2000, 5000, warm, 2, 3);
  }

  /**
   * The limits on the platform, whose page has it that what a whole list does not name is gone,
   * also where it still answers: no list is held but an empty one.
   */
  public static Limits platform(double warm) {
    Limits d = defaults(warm);
    return new Limits(
        d.upAfter,
        d.upAfterMost,
        d.flapWindow,
        EMPTY_ONLY,
        d.holdShrunk,
        d.holdEmpty,
        d.answers,
        d.doubt,
        d.overlay,
        d.old,
        warm,
        d.refusals,
        d.timeouts);
  }
}
