package org.alderyard.control.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;

/**
 * What the hosts see of one another's primaries, and whether a primary is lost by their majority.
 *
 * <p>Guards against a failover for a primary that only some hosts can't reach, that is slow, or
 * whose health probe lies: only answers to work count, a slow server still answers a begin, and
 * more hosts must miss it than have an answer. Pure; not safe for several threads.
 */
final class SightingTable {
  /** A host reports about every second while all is well; older words are no longer its own. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /**
   * The silence after which a host counts as missing its primary. Begins are answered within some
   * ms; a pause of a host or server of half a second must not cost a promotion.
   */
  static final int SILENT_MILLIS = 600;

  private record Sighting(ServerId server, int silentMillis, long atNanos) {}

  private final Map<GroupId, Map<HostId, Sighting>> sightings = new HashMap<>();

  /** Takes a host's word. */
  void report(HostId host, GroupId group, ServerId server, int silentMillis, long nowNanos) {
    sightings
        .computeIfAbsent(group, id -> new HashMap<>())
        .put(host, new Sighting(server, silentMillis, nowNanos));
  }

  /** Returns whether more hosts miss this primary than have answers from it. */
  boolean lost(GroupId group, ServerId primary, long nowNanos) {
    int missing = 0;
    int answered = 0;
    for (Sighting sighting : sightings.getOrDefault(group, Map.of()).values()) {
      boolean counts =
          sighting.server().equals(primary) && nowNanos - sighting.atNanos() <= FRESH_NANOS;
      if (!counts) {
        continue;
      }
      if (sighting.silentMillis() == 0) {
        answered++;
      } else if (sighting.silentMillis() >= SILENT_MILLIS) {
        missing++;
      }
    }
    return missing > answered;
  }

  /** Forgets words that no longer count. */
  void prune(long nowNanos) {
    sightings
        .values()
        .forEach(words -> words.values().removeIf(word -> nowNanos - word.atNanos() > FRESH_NANOS));
    sightings.values().removeIf(Map::isEmpty);
  }
}
