package org.alderyard.benchmarks.capacity;

/**
 * Least-squares linear fit.
 *
 * @param slope the increase of y per unit of x
 * @param intercept the value of y at x = 0
 * @param worstError the maximum absolute residual divided by the maximum absolute y
 */
record LineFit(double slope, double intercept, double worstError) {

  static LineFit through(double[] x, double[] y) {
    double meanX = mean(x);
    double meanY = mean(y);
    double productSum = 0;
    double squareSum = 0;
    double maxAbsoluteY = 0;
    for (int i = 0; i < x.length; i++) {
      productSum += (x[i] - meanX) * (y[i] - meanY);
      squareSum += (x[i] - meanX) * (x[i] - meanX);
      maxAbsoluteY = Math.max(maxAbsoluteY, Math.abs(y[i]));
    }
    double slope = productSum / squareSum;
    double intercept = meanY - slope * meanX;
    double maxResidual = 0;
    for (int i = 0; i < x.length; i++) {
      maxResidual = Math.max(maxResidual, Math.abs(y[i] - (intercept + slope * x[i])));
    }
    return new LineFit(slope, intercept, maxAbsoluteY == 0 ? 0 : maxResidual / maxAbsoluteY);
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
