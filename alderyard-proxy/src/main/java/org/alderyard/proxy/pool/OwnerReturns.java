package org.alderyard.proxy.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.PooledConnection;

/**
 * When the owners of connections to one server are expected back, by how often they used one.
 *
 * <p>The uses of each owner are weighted with their age. Statements of many callers are nearly
 * independent of each other, so that the owner with the fewest uses returns last. Not thread-safe.
 */
final class OwnerReturns {
  /**
   * The age at which a use counts 1/e. A small organisation uses one server only every few seconds;
   * a shorter memory would take it for one that does not return.
   */
  private static final double MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Owners with a smaller weight are forgotten: without a use for about two minutes. */
  private static final double MIN_WEIGHT = 0.02;

  /** The number of owners beyond which those without recent uses are forgotten. */
  private static final int MAX_OWNERS = 256;

  private final Map<ConnectionOwner, Uses> uses = new HashMap<>();

  private record Uses(double weight, long atNanos) {
    double weightAt(long nowNanos) {
      return weight * Math.exp(-(nowNanos - atNanos) / MEMORY_NANOS);
    }
  }

  /** Records that an owner uses a connection. */
  void used(ConnectionOwner owner, long nowNanos) {
    if (uses.size() > MAX_OWNERS) {
      uses.values().removeIf(known -> known.weightAt(nowNanos) < MIN_WEIGHT);
    }
    uses.put(owner, new Uses(1 + weight(owner, nowNanos), nowNanos));
  }

  private double weight(ConnectionOwner owner, long nowNanos) {
    Uses known = uses.get(owner);
    return known == null ? 0 : known.weightAt(nowNanos);
  }

  /**
   * Returns the connection that is expected to be needed last. Of several idle connections of one
   * owner, each one is expected to be needed for a part of the owner's uses.
   *
   * @param leastRecentFirst the idle connections; the first one is returned of those that are equal
   */
  <C extends PooledConnection> Optional<C> lastExpected(
      Collection<C> leastRecentFirst, long nowNanos) {
    Map<ConnectionOwner, Integer> idle = new HashMap<>();
    leastRecentFirst.forEach(connection -> idle.merge(connection.owner(), 1, Integer::sum));
    Optional<C> last = Optional.empty();
    double lowest = Double.POSITIVE_INFINITY;
    for (C connection : leastRecentFirst) {
      ConnectionOwner owner = connection.owner();
      double share = weight(owner, nowNanos) / idle.get(owner);
      if (share < lowest) {
        lowest = share;
        last = Optional.of(connection);
      }
    }
    return last;
  }
}
