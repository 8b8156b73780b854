package edgenode.benchmark;

/**
 * A straight line by ordinary least squares, y = intercept + slope x; for a power law the same on
 * logarithms, y = exp(intercept) x^slope.
 *
 * @param slope of the line, or the exponent of the power law
 * @param error the slope's standard error: sqrt(SSE / (n - 2) / Sxx); NaN for fewer than three
 *     points
 * @param r2 the part (0 to 1) of the variance that the fit explains, of logarithms for a power law
 * @param worst the largest distance of a point from the fit, as a part of the measured value
 */
public record Fit(
    boolean power, double slope, double intercept, double error, double r2, double worst) {

  /** y = intercept + slope x. */
  public static Fit line(double[] x, double[] y) {
    return of(false, x, y, x, y);
  }

  /** y = c x^slope; all values are above 0. */
  public static Fit power(double[] x, double[] y) {
    return of(true, logarithms(x), logarithms(y), x, y);
  }

  private static double[] logarithms(double[] of) {
    double[] all = new double[of.length];
    for (int i = 0; i < of.length; i++) {
      all[i] = Math.log(of[i]);
    }
    return all;
  }

  private static Fit of(boolean power, double[] x, double[] y, double[] givenX, double[] givenY) {
    int n = x.length;
    double meanX = 0;
    double meanY = 0;
    for (int i = 0; i < n; i++) {
      meanX += x[i] / n;
      meanY += y[i] / n;
    }
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    for (int i = 0; i < n; i++) {
      sxx += (x[i] - meanX) * (x[i] - meanX);
      sxy += (x[i] - meanX) * (y[i] - meanY);
      syy += (y[i] - meanY) * (y[i] - meanY);
    }
    double slope = sxy / sxx;
    double intercept = meanY - slope * meanX;
    double sse = 0;
    for (int i = 0; i < n; i++) {
      double off = y[i] - intercept - slope * x[i];
      sse += off * off;
    }
    double error = n < 3 ? Double.NaN : Math.sqrt(sse / (n - 2) / sxx);
    Fit fit = new Fit(power, slope, intercept, error, syy == 0 ? 1 : 1 - sse / syy, 0);
    double worst = 0;
    for (int i = 0; i < n; i++) {
      worst = Math.max(worst, Math.abs(fit.at(givenX[i]) / givenY[i] - 1));
    }
    return new Fit(power, slope, intercept, error, fit.r2, worst);
  }

  /** What the fit says for this x. */
  public double at(double x) {
    return power ? Math.exp(intercept + slope * Math.log(x)) : intercept + slope * x;
  }
}
