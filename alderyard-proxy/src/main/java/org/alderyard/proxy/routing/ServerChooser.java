package org.alderyard.proxy.routing;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.alderyard.common.id.ZoneName;

/**
 * Chooses among servers that may all serve: the cheaper one of two drawn at random.
 *
 * <p>The cost is the work in front of a new statement, weighed by latency. A server of another zone
 * costs more by a fixed factor, so that the own zone is preferred only until its queue makes up for
 * the way: a small zone takes what it can carry and the rest spills over.
 */
public final class ServerChooser {
  /** The cost of another zone: about one statement in front of an otherwise idle server. */
  public static final double DEFAULT_OTHER_ZONE_FACTOR = 1.5;

  /** A floor for latencies, so that a server that failed at once does not look free. */
  private static final long MIN_LATENCY_NANOS = 100_000;

  private final ZoneName ownZone;
  private final double otherZoneFactor;
  private final RandomGenerator random;

  /** Creates a chooser for a proxy in the given zone. */
  public ServerChooser(ZoneName ownZone, double otherZoneFactor, RandomGenerator random) {
    this.ownZone = Objects.requireNonNull(ownZone);
    this.otherZoneFactor = otherZoneFactor;
    this.random = Objects.requireNonNull(random);
  }

  /** Returns one of the given servers, of which there is at least one. */
  public Candidate choose(List<Candidate> candidates) {
    int size = candidates.size();
    Candidate first = candidates.get(size == 1 ? 0 : random.nextInt(size));
    if (size == 1) {
      return first;
    }
    int other = random.nextInt(size - 1);
    Candidate second = candidates.get(other);
    if (second == first) {
      second = candidates.get(size - 1);
    }
    return cost(second, candidates) < cost(first, candidates) ? second : first;
  }

  private double cost(Candidate candidate, List<Candidate> candidates) {
    ServerLoad load = candidate.load();
    long latency = load.latencyNanos() == 0 ? typicalLatency(candidates) : load.latencyNanos();
    double zoneFactor = candidate.server().zone().equals(ownZone) ? 1.0 : otherZoneFactor;
    double ahead = (load.outstanding() + 1.0) / (Math.max(1, load.slots()) * load.weight());
    return ahead * Math.max(latency, MIN_LATENCY_NANOS) * zoneFactor;
  }

  /** A server without a measured latency is taken to be like the others. */
  private static long typicalLatency(List<Candidate> candidates) {
    return (long)
        candidates.stream()
            .mapToLong(candidate -> candidate.load().latencyNanos())
            .filter(latency -> latency > 0)
            .average()
            .orElse(MIN_LATENCY_NANOS);
  }
}
