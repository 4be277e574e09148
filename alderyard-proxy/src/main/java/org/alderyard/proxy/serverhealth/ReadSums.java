package org.alderyard.proxy.serverhealth;

/**
 * Weighted sums over the reads that were sent to one server.
 *
 * @param answered reads that the server ran
 * @param failed reads that the server failed or did not answer
 * @param refused reads for which the server had no free slot
 * @param answeredMillis sum of the response times of answered reads, in milliseconds
 */
record ReadSums(double answered, double failed, double refused, double answeredMillis) {
  static final ReadSums NONE = new ReadSums(0, 0, 0, 0);

  static ReadSums of(ReadOutcome outcome, double millis) {
    return switch (outcome) {
      case ANSWERED -> new ReadSums(1, 0, 0, millis);
      case FAILED -> new ReadSums(0, 1, 0, 0);
      case REFUSED -> new ReadSums(0, 0, 1, 0);
    };
  }

  ReadSums plus(ReadSums other) {
    return new ReadSums(
        answered + other.answered,
        failed + other.failed,
        refused + other.refused,
        answeredMillis + other.answeredMillis);
  }

  ReadSums scaled(double factor) {
    return new ReadSums(
        answered * factor, failed * factor, refused * factor, answeredMillis * factor);
  }

  /** Returns the mean response time; 0 without answers. */
  double meanMillis() {
    return answered == 0 ? 0 : answeredMillis / answered;
  }

  /** Returns the share of failed reads among those that the server did not refuse. */
  double failedShare() {
    double ran = answered + failed;
    return ran == 0 ? 0 : failed / ran;
  }
}
