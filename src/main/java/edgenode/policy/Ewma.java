package edgenode.policy;

/** Weights of a new sample in the exponentially weighted moving averages of this package. */
final class Ewma {
  /** About the last ten samples: follows an endpoint within a second of ordinary traffic. */
  static final double FAST_WEIGHT = 0.2;

  /** About the last sixty samples: for means that single endpoints are compared with. */
  static final double SLOW_WEIGHT = 0.03;

  private Ewma() {}
}
