package org.alderyard.proxy.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/**
 * Requests the connections that the recent mean demand needs, and reduces the number slowly.
 *
 * <p>The peaks of a dozen hosts do not coincide, so the sum of the peaks far exceeds the actual
 * need and leaves no capacity on a server for hosts that restart. A number that falls as fast as it
 * rises would close connections and reopen them with the next burst, and opening a connection is
 * expensive.
 *
 * <p>Thread-safe. The lock is this object; the demand is read while the lock is held.
 */
public final class SmoothedConnectionTarget implements ConnectionTarget {
  /** The fraction of the smoothed demand that remains after each call with less demand. */
  private static final double DECAY = 0.9;

  /**
   * The number of connections per unit of mean demand. It exceeds 1 because statements arrive in
   * bursts.
   */
  private static final double SPARE_FACTOR = 1.5;

  /**
   * The smoothed demand below which a server has been idle long enough to give up its last
   * connection.
   */
  private static final double IDLE_DEMAND = 0.005;

  private final ToDoubleFunction<ServerId> meanDemand;
  // Guarded by this.
  private final Map<ServerId, Double> smoothedDemands = new HashMap<>();

  /**
   * Creates the target.
   *
   * @param meanDemand returns the time-weighted mean number of connections in use or requested
   *     since the last call
   */
  public SmoothedConnectionTarget(ToDoubleFunction<ServerId> meanDemand) {
    this.meanDemand = Objects.requireNonNull(meanDemand);
  }

  @Override
  public synchronized int targetConnections(ServerId server, PoolUse use) {
    double mean = meanDemand.applyAsDouble(server);
    double smoothedDemand = Math.max(mean, smoothedDemands.getOrDefault(server, 0.0) * DECAY);
    smoothedDemands.put(server, smoothedDemand);
    return smoothedDemand < IDLE_DEMAND ? 0 : (int) Math.ceil(smoothedDemand * SPARE_FACTOR);
  }

  @Override
  public synchronized void retain(Set<ServerId> servers) {
    smoothedDemands.keySet().retainAll(servers);
  }
}
