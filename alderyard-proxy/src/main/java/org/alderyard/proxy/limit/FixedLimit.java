package org.alderyard.proxy.limit;

/** A constant limit: the number of slots of the server. */
public final class FixedLimit implements ConcurrencyLimit {
  private final int slots;

  /** Creates a limit of the given number of slots, at least 1. */
  public FixedLimit(int slots) {
    this.slots = Math.max(1, slots);
  }

  @Override
  public int current() {
    return slots;
  }

  @Override
  public void sample(long latencyNanos, int inFlight, boolean answered) {}
}
