package org.alderyard.proxy.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.alderyard.common.id.ServerId;
import org.alderyard.proxy.pool.PoolUse;

/**
 * Asks for what the work of late needs on average, and gives it back slowly.
 *
 * <p>Peaks of a dozen hosts do not fall together, so the sum of their peaks is far more than they
 * need, and leaves no room on a server for hosts that come back. A wish that fell as fast as it
 * rises would close connections and open them again in the next wave; a new one is dear.
 *
 * <p>Lock: the object itself; the demand is read while it is held.
 */
public final class SteadyWish implements ConnectionWish {
  /** The part of the level that is kept from one call to the next while there is less work. */
  private static final double DECAY = 0.9;

  /** Connections for each one that has work on average: statements come in bunches. */
  private static final double SPARE_FACTOR = 1.5;

  /** Below this a server has had no work for so long that its connection may go. */
  private static final double IDLE_LEVEL = 0.005;

  private final ToDoubleFunction<ServerId> meanDemand;
  // Guarded by this.
  private final Map<ServerId, Double> levels = new HashMap<>();

  /**
   * Creates a wish.
   *
   * @param meanDemand how many connections had or wanted work on average since the last call
   */
  public SteadyWish(ToDoubleFunction<ServerId> meanDemand) {
    this.meanDemand = Objects.requireNonNull(meanDemand);
  }

  @Override
  public synchronized int wanted(ServerId server, PoolUse use) {
    double mean = meanDemand.applyAsDouble(server);
    double level = Math.max(mean, levels.getOrDefault(server, 0.0) * DECAY);
    levels.put(server, level);
    return level < IDLE_LEVEL ? 0 : (int) Math.ceil(level * SPARE_FACTOR);
  }

  @Override
  public synchronized void retain(Set<ServerId> servers) {
    levels.keySet().retainAll(servers);
  }
}
