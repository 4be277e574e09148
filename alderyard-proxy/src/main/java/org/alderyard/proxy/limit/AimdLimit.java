package org.alderyard.proxy.limit;

/**
 * Adjusts the limit by additive increase and multiplicative decrease (AIMD).
 *
 * <p>A latency above {@link #SLOW_FACTOR} times the recent minimum, or a missing answer, indicates
 * that statements of other proxies are queued at the server, and lowers the limit. The limit grows
 * while latency stays near the latency of an idle server.
 */
public final class AimdLimit implements ConcurrencyLimit {
  static final double SLOW_FACTOR = 2.0;
  static final double DECREASE_FACTOR = 0.8;
  static final double INCREASE_STEP = 0.1;

  private final int slots;
  private final RecentMinimum recentMinimum = new RecentMinimum();
  private double limit;
  private int samplesUntilNextDecrease;

  /** Creates a limit that starts at the number of slots of the server and never exceeds it. */
  public AimdLimit(int slots) {
    this.slots = Math.max(1, slots);
    this.limit = this.slots;
  }

  @Override
  public int current() {
    return Math.max(1, (int) limit);
  }

  @Override
  public void sample(long latencyNanos, int inFlight, boolean answered) {
    samplesUntilNextDecrease--;
    if (answered) {
      recentMinimum.add(latencyNanos);
    }
    boolean slow = !answered || latencyNanos > SLOW_FACTOR * recentMinimum.value();
    if (slow) {
      decrease();
    } else if (inFlight >= current()) {
      limit = Math.min(slots, limit + INCREASE_STEP / limit);
    }
  }

  /**
   * Lowers the limit, at most once per round of statements: statements sent before a decrease do
   * not show its effect.
   */
  private void decrease() {
    if (samplesUntilNextDecrease > 0) {
      return;
    }
    limit = Math.max(1, limit * DECREASE_FACTOR);
    samplesUntilNextDecrease = current();
  }
}
