package org.alderyard.proxy.lease;

import java.util.Objects;
import java.util.function.ToIntFunction;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/**
 * Asks for the most that was used of late and some more, where a proxy must not exceed its lease.
 *
 * <p>Guards against a demand that its own limit hides: the lease sets how many statements may run
 * at once, and what runs at once was the demand, so a proxy with sixty waiting statements asked for
 * three connections and ran one statement at a time. What waits before the gate counts too.
 */
public final class PeakWish implements ConnectionWish {
  /** What a proxy asks for beyond its use of late, so that a rise finds a connection. */
  private static final int HEADROOM = 2;

  private final ToIntFunction<ServerId> queued;

  /**
   * Creates a wish.
   *
   * @param queued the most statements that waited before a server since the last call
   */
  public PeakWish(ToIntFunction<ServerId> queued) {
    this.queued = Objects.requireNonNull(queued);
  }

  @Override
  public int wanted(ServerId server, PoolUse use) {
    return use.peakInUse() + use.waiting() + queued.applyAsInt(server) + HEADROOM;
  }
}
