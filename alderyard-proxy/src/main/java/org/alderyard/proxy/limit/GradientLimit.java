package org.alderyard.proxy.limit;

/** Follows the ratio of the long-term latency to the latest one, smoothed. */
public final class GradientLimit implements ConcurrencyLimit {
  private static final double TOLERANCE = 2.0;
  private static final double LONG_TERM_SHARE = 0.002;
  private static final double SMOOTHING = 0.2;
  private static final double MIN_GRADIENT = 0.5;

  private final int slots;
  private double longTermNanos;
  private double limit;

  /** Creates a limit that starts at, and never exceeds, the slots of the server. */
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
    longTermNanos =
        longTermNanos == 0
            ? latencyNanos
            : longTermNanos + LONG_TERM_SHARE * (latencyNanos - longTermNanos);
    if (inFlight < current() / 2) {
      return;
    }
    double ratio = answered ? TOLERANCE * longTermNanos / Math.max(1, latencyNanos) : MIN_GRADIENT;
    double gradient = Math.max(MIN_GRADIENT, Math.min(1.0, ratio));
    double wanted = limit * gradient + Math.sqrt(limit);
    limit = Math.max(1, Math.min(slots, limit + SMOOTHING * (wanted - limit)));
  }
}
