package org.alderyard.control.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/**
 * Holds the sightings of primaries, which are the hosts' reports on whether their primaries
 * respond, and decides by majority whether a primary is lost.
 *
 * <p>Prevents a failover for a primary that only some hosts cannot reach, that is slow, or whose
 * health probe is wrong: only responses to requests count, a slow server still responds to a begin,
 * and more hosts must have lost the primary than receive responses from it.
 *
 * <p>Not thread-safe; performs no I/O and reads no clock.
 */
final class SightingTable {
  /** The age up to which a sighting counts; in steady state a host reports about every second. */
  private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /**
   * The time without a response after which a host counts a primary as lost. Begins are answered
   * within a few ms; a pause of half a second on a host or server must not cause a promotion.
   */
  static final int UNRESPONSIVE_MILLIS = 600;

  private record Sighting(ServerId server, int unresponsiveMillis, long reportedAtNanos) {}

  private final Map<GroupId, Map<HostId, Sighting>> sightings = new HashMap<>();

  /** Replaces the sighting of a host about the primary of a group. */
  void add(HostId host, GroupId group, ServerId server, int unresponsiveMillis, long nowNanos) {
    sightings
        .computeIfAbsent(group, id -> new HashMap<>())
        .put(host, new Sighting(server, unresponsiveMillis, nowNanos));
  }

  /** Returns whether more hosts have lost this primary than receive responses from it. */
  boolean isLost(GroupId group, ServerId primary, long nowNanos) {
    int lostCount = 0;
    int respondingCount = 0;
    for (Sighting sighting : sightings.getOrDefault(group, Map.of()).values()) {
      boolean isCurrent =
          sighting.server().equals(primary)
              && nowNanos - sighting.reportedAtNanos() <= MAX_AGE_NANOS;
      if (!isCurrent) {
        continue;
      }
      if (sighting.unresponsiveMillis() == 0) {
        respondingCount++;
      } else if (sighting.unresponsiveMillis() >= UNRESPONSIVE_MILLIS) {
        lostCount++;
      }
    }
    return lostCount > respondingCount;
  }

  /** Removes sightings that no longer count. */
  void removeExpired(long nowNanos) {
    sightings
        .values()
        .forEach(
            byHost ->
                byHost
                    .values()
                    .removeIf(sighting -> nowNanos - sighting.reportedAtNanos() > MAX_AGE_NANOS));
    sightings.values().removeIf(Map::isEmpty);
  }
}
