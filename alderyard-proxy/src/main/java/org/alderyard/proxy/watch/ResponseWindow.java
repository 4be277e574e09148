package org.alderyard.proxy.watch;

/** Sliding window of response times that a phi accrual failure detector evaluates. */
final class ResponseWindow {
  private static final int SIZE = 64;
  // Coefficients of the standard logistic approximation of the normal distribution.
  private static final double LINEAR = 1.5976;
  private static final double CUBIC = 0.070566;

  private final long[] responseTimesMillis = new long[SIZE];
  private int count;
  private int next;

  void add(long responseMillis) {
    responseTimesMillis[next] = responseMillis;
    next = (next + 1) % SIZE;
    count = Math.min(SIZE, count + 1);
  }

  /**
   * Returns phi, the negative decimal logarithm of the probability that an answer still arrives.
   *
   * @param unansweredMillis the time since the oldest unanswered probe
   * @param pauseMillis a pause of the server that is tolerated in addition to the measured times
   * @param minDeviationMillis the minimum standard deviation, since equal response times would
   *     yield 0
   */
  double phi(long unansweredMillis, long pauseMillis, long minDeviationMillis) {
    double mean = mean();
    double deviation = Math.max(minDeviationMillis, deviation(mean));
    double z = (unansweredMillis - pauseMillis - mean) / deviation;
    double exponent = z * (LINEAR + CUBIC * z * z);
    // log10(1 + e^x), which is x / ln 10 where e^x overflows a double.
    return exponent > 500 ? exponent / Math.log(10) : Math.log10(1 + Math.exp(exponent));
  }

  private double mean() {
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += responseTimesMillis[i];
    }
    return count == 0 ? 0 : sum / count;
  }

  private double deviation(double mean) {
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += (responseTimesMillis[i] - mean) * (responseTimesMillis[i] - mean);
    }
    return count == 0 ? 0 : Math.sqrt(sum / count);
  }
}
