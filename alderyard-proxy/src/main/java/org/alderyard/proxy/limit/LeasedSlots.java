package org.alderyard.proxy.limit;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * The part of a server's slots that goes with this proxy's part of its connections.
 *
 * <p>Guards against the sum of all proxies: each of a dozen that keeps to the slots of a server by
 * itself sends a dozen times what the server runs at once. Latency tells that only to a proxy that
 * has seen the server idle; the lease is known to all, follows the demand and needs no measurement.
 * Twice the slots are shared, so that the next statement is there when one ends.
 */
public final class LeasedSlots implements ConcurrencyLimit {
  static final int OVERSUBSCRIPTION = 2;

  private final int slots;
  private final IntSupplier leased;
  private final IntSupplier budget;

  /**
   * Creates a limit.
   *
   * @param slots the statements that the server runs at once
   * @param leased the connections that this proxy may have
   * @param budget the connections that the server accepts from all proxies
   */
  public LeasedSlots(int slots, IntSupplier leased, IntSupplier budget) {
    this.slots = Math.max(1, slots);
    this.leased = Objects.requireNonNull(leased);
    this.budget = Objects.requireNonNull(budget);
  }

  @Override
  public int current() {
    long share =
        (long) OVERSUBSCRIPTION * slots * leased.getAsInt() / Math.max(1, budget.getAsInt());
    return (int) Math.max(1, Math.min(slots, share));
  }

  @Override
  public void sample(long latencyNanos, int inFlight, boolean answered) {}
}
