package edgenode.benchmark;

/**
 * A straight line by ordinary least squares, y = intercept + slope x; for a power law the same on
 * logarithms, y = exp(intercept) x^slope.
 *
 * @param slope of the line, or the exponent of the power law
 * @param standardError the slope's standard error: sqrt(SSE / (n - 2) / Sxx); NaN for fewer than
 *     three points
 * @param rSquared the part (0 to 1) of the variance that the fit explains, of logarithms for a
 *     power law
 * @param maxRelativeError the largest distance of a point from the fit, as a part of the measured
 *     value
 */
public record LeastSquaresFit(
    boolean isPowerLaw,
    double slope,
    double intercept,
    double standardError,
    double rSquared,
    double maxRelativeError) {

  /** y = intercept + slope x. */
  public static LeastSquaresFit line(double[] xs, double[] ys) {
    return fit(false, xs, ys, xs, ys);
  }

  /** y = c x^slope; all values are above 0. */
  public static LeastSquaresFit isPowerLaw(double[] xs, double[] ys) {
    return fit(true, logarithms(xs), logarithms(ys), xs, ys);
  }

  private static double[] logarithms(double[] values) {
    double[] logs = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      logs[i] = Math.log(values[i]);
    }
    return logs;
  }

  private static LeastSquaresFit fit(
      boolean power, double[] xs, double[] ys, double[] givenX, double[] givenY) {
    int count = xs.length;
    double meanX = 0;
    double meanY = 0;
    for (int i = 0; i < count; i++) {
      meanX += xs[i] / count;
      meanY += ys[i] / count;
    }
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    for (int i = 0; i < count; i++) {
      sxx += (xs[i] - meanX) * (xs[i] - meanX);
      sxy += (xs[i] - meanX) * (ys[i] - meanY);
      syy += (ys[i] - meanY) * (ys[i] - meanY);
    }
    double slope = sxy / sxx;
    double intercept = meanY - slope * meanX;
    double sse = 0;
    for (int i = 0; i < count; i++) {
      double residual = ys[i] - intercept - slope * xs[i];
      sse += residual * residual;
    }
    double error = count < 3 ? Double.NaN : Math.sqrt(sse / (count - 2) / sxx);
    LeastSquaresFit fit =
        new LeastSquaresFit(power, slope, intercept, error, syy == 0 ? 1 : 1 - sse / syy, 0);
    double worst = 0;
    for (int i = 0; i < count; i++) {
      worst = Math.max(worst, Math.abs(fit.at(givenX[i]) / givenY[i] - 1));
    }
    return new LeastSquaresFit(power, slope, intercept, error, fit.rSquared, worst);
  }

  /** What the fit says for this x. */
  public double at(double size) {
    return isPowerLaw ? Math.exp(intercept + slope * Math.log(size)) : intercept + slope * size;
  }
}
