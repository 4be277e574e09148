package org.alderyard.proxy.watch;

/** The last response times of a server, and how improbable it makes a longer one. */
final class ResponseWindow {
  private static final int SIZE = 64;
  // Coefficients of the usual logistic approximation of the normal distribution.
  private static final double LINEAR = 1.5976;
  private static final double CUBIC = 0.070566;

  private final long[] millis = new long[SIZE];
  private int count;
  private int next;

  void add(long responseMillis) {
    millis[next] = responseMillis;
    next = (next + 1) % SIZE;
    count = Math.min(SIZE, count + 1);
  }

  /**
   * Returns the negative decimal logarithm of the chance that an answer still comes.
   *
   * @param waitedMillis how long it has been waited for
   * @param pauseMillis a pause that is allowed on top of the measured times
   * @param minDeviationMillis guards against a deviation of 0 after equal response times
   */
  double phi(long waitedMillis, long pauseMillis, long minDeviationMillis) {
    double mean = mean();
    double deviation = Math.max(minDeviationMillis, deviation(mean));
    double y = (waitedMillis - pauseMillis - mean) / deviation;
    double exponent = y * (LINEAR + CUBIC * y * y);
    // log10(1 + e^x), which is x / ln 10 where e^x is too large for a double.
    return exponent > 500 ? exponent / Math.log(10) : Math.log10(1 + Math.exp(exponent));
  }

  private double mean() {
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += millis[i];
    }
    return count == 0 ? 0 : sum / count;
  }

  private double deviation(double mean) {
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += (millis[i] - mean) * (millis[i] - mean);
    }
    return count == 0 ? 0 : Math.sqrt(sum / count);
  }
}
