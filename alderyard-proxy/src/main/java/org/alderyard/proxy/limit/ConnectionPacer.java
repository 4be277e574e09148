package org.alderyard.proxy.limit;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Bounds the pace at which connections to one server are opened.
 *
 * <p>Guards against the rush after a failover: every proxy needs the new primary at once, and a
 * server that spends its time on opening connections (about 10 ms each) answers no statement. Safe
 * for several threads; the lock is a leaf.
 */
public final class ConnectionPacer {
  private final IntSupplier perSecond;
  private final int burst;
  // Guarded by this. When the next connection may be opened if none had been saved up.
  private long nextNanos;
  private boolean started;

  /**
   * Creates a pacer.
   *
   * @param perSecond the connections that are opened in a second, at most; asked each time
   * @param burst the connections that may be opened at once after a quiet time
   */
  public ConnectionPacer(IntSupplier perSecond, int burst) {
    this.perSecond = Objects.requireNonNull(perSecond);
    this.burst = Math.max(1, burst);
  }

  /** Takes a turn; returns how long to wait before trying again, or nothing if it is granted. */
  public synchronized OptionalLong tryOpen(long nowNanos) {
    long intervalNanos = TimeUnit.SECONDS.toNanos(1) / Math.max(1, perSecond.getAsInt());
    long earliest = nowNanos - (burst - 1) * intervalNanos;
    if (!started || nextNanos - earliest < 0) {
      nextNanos = earliest;
      started = true;
    }
    long waitNanos = nextNanos - nowNanos;
    if (waitNanos > 0) {
      return OptionalLong.of(waitNanos);
    }
    nextNanos += intervalNanos;
    return OptionalLong.empty();
  }
}
