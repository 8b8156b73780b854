package edgenode.benchmark;

import java.util.List;

/**
 * One quantity against one size.
 *
 * @param study the study that measured it
 * @param unit of a value, such as "us" (CPU of one thread) or "B"
 * @param against what the size counts
 * @param points in the order of their sizes
 * @param missing what was not measured, and why, a line each
 */
public record CostCurve(
    String study,
    String quantity,
    String unit,
    String against,
    List<Measurement> points,
    List<String> missing) {

  /** What was measured at one size: the median of so many repeats, and their least and most. */
  public record Measurement(double size, double median, double min, double max, int repeats) {}

  /** Fewer points than this are no slope. */
  private static final int MIN_POINTS = 3;

  /**
   * A power law by the medians; null where there are fewer than three points, or one is not above
   * 0.
   */
  public LeastSquaresFit power() {
    return points.size() < MIN_POINTS
            || points.stream().anyMatch(p -> !(p.median > 0 && p.size > 0))
        ? null
        : LeastSquaresFit.isPowerLaw(sizes(), medians());
  }

  /** A straight line by the medians; null where there are fewer than three points. */
  public LeastSquaresFit line() {
    return points.size() < MIN_POINTS ? null : LeastSquaresFit.line(sizes(), medians());
  }

  private double[] sizes() {
    return points.stream().mapToDouble(Measurement::size).toArray();
  }

  private double[] medians() {
    return points.stream().mapToDouble(Measurement::median).toArray();
  }
}
