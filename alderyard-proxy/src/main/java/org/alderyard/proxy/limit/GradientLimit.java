package org.alderyard.proxy.limit;

/** Scales the limit by the smoothed ratio of the long-term latency to the latest latency. */
public final class GradientLimit implements ConcurrencyLimit {
  private static final double TOLERANCE = 2.0;
  private static final double LONG_TERM_WEIGHT = 0.002;
  private static final double SMOOTHING = 0.2;
  private static final double MIN_GRADIENT = 0.5;

  private final int slots;
  private double longTermLatencyNanos;
  private double limit;

  /** Creates a limit that starts at the number of slots of the server and never exceeds it. */
  public GradientLimit(int slots) {
    this.slots = Math.max(1, slots);
    this.limit = this.slots;
  }

  @Override
  public int current() {
    return Math.max(1, (int) limit);
  }

  @Override
  public void sample(long latencyNanos, int inFlight, boolean answered) {
    longTermLatencyNanos =
        longTermLatencyNanos == 0
            ? latencyNanos
            : longTermLatencyNanos + LONG_TERM_WEIGHT * (latencyNanos - longTermLatencyNanos);
    if (inFlight < current() / 2) {
      return;
    }
    double ratio =
        answered ? TOLERANCE * longTermLatencyNanos / Math.max(1, latencyNanos) : MIN_GRADIENT;
    double gradient = Math.max(MIN_GRADIENT, Math.min(1.0, ratio));
    double targetLimit = limit * gradient + Math.sqrt(limit);
    limit = Math.max(1, Math.min(slots, limit + SMOOTHING * (targetLimit - limit)));
  }
}
