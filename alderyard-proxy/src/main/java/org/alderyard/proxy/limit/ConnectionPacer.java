package org.alderyard.proxy.limit;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Limits the rate at which connections to one server are opened.
 *
 * <p>After a failover every proxy connects to the new primary at the same time. Opening a
 * connection costs a server about 10 ms, so without a rate limit the new primary would only open
 * connections and answer no statements.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
public final class ConnectionPacer {
  private final IntSupplier perSecond;
  private final int burst;
  // Guarded by this. The time of the next permit, in the past while burst permits are available.
  private long nextOpenNanos;
  private boolean initialized;

  /**
   * Creates a pacer.
   *
   * @param perSecond supplies the maximum number of connections per second; read on each attempt
   * @param burst the number of connections that may be opened without delay after an idle period
   */
  public ConnectionPacer(IntSupplier perSecond, int burst) {
    this.perSecond = Objects.requireNonNull(perSecond);
    this.burst = Math.max(1, burst);
  }

  /**
   * Tries to acquire a permit. Returns the nanoseconds to wait before the next attempt, or empty if
   * the permit is granted.
   */
  public synchronized OptionalLong tryAcquire(long nowNanos) {
    long intervalNanos = TimeUnit.SECONDS.toNanos(1) / Math.max(1, perSecond.getAsInt());
    long earliestNanos = nowNanos - (burst - 1) * intervalNanos;
    if (!initialized || nextOpenNanos - earliestNanos < 0) {
      nextOpenNanos = earliestNanos;
      initialized = true;
    }
    long waitNanos = nextOpenNanos - nowNanos;
    if (waitNanos > 0) {
      return OptionalLong.of(waitNanos);
    }
    nextOpenNanos += intervalNanos;
    return OptionalLong.empty();
  }
}
