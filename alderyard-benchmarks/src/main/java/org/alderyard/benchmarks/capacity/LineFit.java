package org.alderyard.benchmarks.capacity;

/**
 * The straight line through some points by least squares.
 *
 * @param slope the growth of y for one more x
 * @param intercept y where x is 0
 * @param worstError the greatest distance of a point from the line, as a share of the greatest y
 */
record LineFit(double slope, double intercept, double worstError) {

  static LineFit through(double[] x, double[] y) {
    double meanX = mean(x);
    double meanY = mean(y);
    double above = 0;
    double below = 0;
    double greatest = 0;
    for (int i = 0; i < x.length; i++) {
      above += (x[i] - meanX) * (y[i] - meanY);
      below += (x[i] - meanX) * (x[i] - meanX);
      greatest = Math.max(greatest, Math.abs(y[i]));
    }
    double slope = above / below;
    double intercept = meanY - slope * meanX;
    double worst = 0;
    for (int i = 0; i < x.length; i++) {
      worst = Math.max(worst, Math.abs(y[i] - (intercept + slope * x[i])));
    }
    return new LineFit(slope, intercept, greatest == 0 ? 0 : worst / greatest);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }

  String text(String unit) {
    return String.format(
        "slope %.4g %s, intercept %.4g, worst error %.1f %%",
        slope, unit, intercept, 100 * worstError);
  }
}
