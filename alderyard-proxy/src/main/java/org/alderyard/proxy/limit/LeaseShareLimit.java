package org.alderyard.proxy.limit;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Limits this proxy to a part of the server's slots, in proportion to its share of the server's
 * connections.
 *
 * <p>If each of a dozen proxies used all slots of a server, the server would receive a dozen times
 * the statements that it runs concurrently. Latency reveals this only to a proxy that has measured
 * the idle server, whereas the lease is known to each proxy, follows demand and needs no
 * measurement. Twice the number of slots is shared out, so that the next statement is already at
 * the server when one ends.
 */
public final class LeaseShareLimit implements ConcurrencyLimit {
  static final int OVERSUBSCRIPTION = 2;

  private final int slots;
  private final IntSupplier leasedConnections;
  private final IntSupplier maxConnections;

  /**
   * Creates a limit.
   *
   * @param slots the number of statements that the server runs concurrently
   * @param leasedConnections supplies the number of connections that this proxy may have
   * @param maxConnections supplies the number of connections that the server accepts from all
   *     proxies
   */
  public LeaseShareLimit(int slots, IntSupplier leasedConnections, IntSupplier maxConnections) {
    this.slots = Math.max(1, slots);
    this.leasedConnections = Objects.requireNonNull(leasedConnections);
    this.maxConnections = Objects.requireNonNull(maxConnections);
  }

  @Override
  public int current() {
    long share =
        (long) OVERSUBSCRIPTION
            * slots
            * leasedConnections.getAsInt()
            / Math.max(1, maxConnections.getAsInt());
    return (int) Math.max(1, Math.min(slots, share));
  }

  @Override
  public void sample(long latencyNanos, int inFlight, boolean answered) {}
}
