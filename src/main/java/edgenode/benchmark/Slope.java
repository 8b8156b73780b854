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
public record Slope(
    String study,
    String quantity,
    String unit,
    String against,
    List<Point> points,
    List<String> missing) {

  /** What was measured at one size: the median of so many repeats, and their least and most. */
  public record Point(double size, double median, double least, double most, int repeats) {}

  /** Fewer points than this are no slope. */
  private static final int LEAST = 3;

  /**
   * A power law by the medians; null where there are fewer than three points, or one is not above
   * 0.
   */
  public Fit power() {
    return points.size() < LEAST || points.stream().anyMatch(p -> !(p.median > 0 && p.size > 0))
        ? null
        : Fit.power(sizes(), medians());
  }

  /** A straight line by the medians; null where there are fewer than three points. */
  public Fit line() {
    return points.size() < LEAST ? null : Fit.line(sizes(), medians());
  }

  private double[] sizes() {
    return points.stream().mapToDouble(Point::size).toArray();
  }

  private double[] medians() {
    return points.stream().mapToDouble(Point::median).toArray();
  }
}
