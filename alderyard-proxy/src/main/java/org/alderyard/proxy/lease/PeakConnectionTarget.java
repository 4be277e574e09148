package org.alderyard.proxy.lease;

import java.util.Objects;
import java.util.function.ToIntFunction;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/**
 * Requests the recent peak use plus headroom, for proxies that must not exceed their leases.
 *
 * <p>The lease also limits how many statements run concurrently, so the peak use alone cannot show
 * unmet demand: a proxy with sixty queued statements requested three connections and ran one
 * statement at a time. Statements queued before the limiter of a server therefore count as demand.
 */
public final class PeakConnectionTarget implements ConnectionTarget {
  /**
   * The number of connections requested beyond recent use, so that a connection is available when
   * load rises.
   */
  private static final int HEADROOM = 2;

  private final ToIntFunction<ServerId> queued;

  /**
   * Creates the target.
   *
   * @param queued returns the maximum number of statements queued for a server since the last call
   */
  public PeakConnectionTarget(ToIntFunction<ServerId> queued) {
    this.queued = Objects.requireNonNull(queued);
  }

  @Override
  public int targetConnections(ServerId server, PoolUse use) {
    return use.peakInUse() + use.queuedRequests() + queued.applyAsInt(server) + HEADROOM;
  }
}
