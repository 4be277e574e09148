package org.alderyard.proxy.routing;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.alderyard.common.id.ZoneName;

/**
 * Balances load over eligible servers: draws two at random and chooses the cheaper one.
 *
 * <p>The cost of a server is the number of statements ahead of a new one, weighted by latency. The
 * cost of a server in another zone is multiplied by a fixed factor. The proxy's own zone is
 * therefore preferred only until its queues outweigh the distance, and the load that exceeds the
 * capacity of a small zone spills over to other zones.
 */
public final class ServerChooser {
  /**
   * Cost factor of a server in another zone, worth about one statement ahead on an otherwise idle
   * server.
   */
  public static final double DEFAULT_OTHER_ZONE_FACTOR = 1.5;

  /** Lower bound for latencies, so that a server that fails fast doesn't seem to have no cost. */
  private static final long MIN_LATENCY_NANOS = 100_000;

  private final ZoneName ownZone;
  private final double otherZoneFactor;
  private final RandomGenerator random;

  /** Creates a chooser for a proxy in the given zone, with the cost factor of other zones. */
  public ServerChooser(ZoneName ownZone, double otherZoneFactor, RandomGenerator random) {
    this.ownZone = Objects.requireNonNull(ownZone);
    this.otherZoneFactor = otherZoneFactor;
    this.random = Objects.requireNonNull(random);
  }

  /** Returns one of the given servers. The list must not be empty. */
  public Candidate choose(List<Candidate> candidates) {
    int size = candidates.size();
    Candidate first = candidates.get(size == 1 ? 0 : random.nextInt(size));
    if (size == 1) {
      return first;
    }
    int secondIndex = random.nextInt(size - 1);
    Candidate second = candidates.get(secondIndex);
    if (second == first) {
      second = candidates.get(size - 1);
    }
    return cost(second, candidates) < cost(first, candidates) ? second : first;
  }

  private double cost(Candidate candidate, List<Candidate> candidates) {
    ServerLoad load = candidate.load();
    long latency = load.latencyNanos() == 0 ? typicalLatency(candidates) : load.latencyNanos();
    double zoneFactor = candidate.server().zone().equals(ownZone) ? 1.0 : otherZoneFactor;
    double loadPerSlot = (load.outstanding() + 1.0) / (Math.max(1, load.slots()) * load.weight());
    return loadPerSlot * Math.max(latency, MIN_LATENCY_NANOS) * zoneFactor;
  }

  /** Returns the average latency, which is assumed for a server without a measured latency. */
  private static long typicalLatency(List<Candidate> candidates) {
    return (long)
        candidates.stream()
            .mapToLong(candidate -> candidate.load().latencyNanos())
            .filter(latency -> latency > 0)
            .average()
            .orElse(MIN_LATENCY_NANOS);
  }
}
