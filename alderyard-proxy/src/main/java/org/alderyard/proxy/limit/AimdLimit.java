package org.alderyard.proxy.limit;

/**
 * Additive increase, multiplicative decrease: grows while the server is as fast as it was idle.
 *
 * <p>A latency above {@link #SLOW_FACTOR} times the least one of late, or no answer, is the sign
 * that other proxies' statements stand in front of ours at the server.
 */
public final class AimdLimit implements ConcurrencyLimit {
  static final double SLOW_FACTOR = 2.0;
  static final double DECREASE = 0.8;
  static final double INCREASE = 0.1;

  private final int slots;
  private final RecentMinimum least = new RecentMinimum();
  private double limit;
  private int samplesUntilNextDecrease;

  /** Creates a limit that starts at, and never exceeds, the slots of the server. */
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
      least.add(latencyNanos);
    }
    boolean slow = !answered || latencyNanos > SLOW_FACTOR * least.value();
    if (slow) {
      decrease();
    } else if (inFlight >= current()) {
      limit = Math.min(slots, limit + INCREASE / limit);
    }
  }

  /** Statements that were sent before a decrease say nothing of it yet. */
  private void decrease() {
    if (samplesUntilNextDecrease > 0) {
      return;
    }
    limit = Math.max(1, limit * DECREASE);
    samplesUntilNextDecrease = current();
  }
}
