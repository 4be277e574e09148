package org.alderyard.common.watch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;

/**
 * Selects the watchers of a database group by rendezvous hashing: the proxies with the highest
 * scores, in different availability zones if enough zones have proxies.
 *
 * <p>If all watchers were in one zone, a network partition of that zone would cut all of them off
 * from a healthy primary, and they would agree to replace it.
 */
public final class WatcherAssignment {
  /** The number of hosts that watch a group. */
  public static final int WATCHERS = 3;

  private static final Comparator<ScoredHost> BY_DESCENDING_SCORE =
      Comparator.comparingLong(ScoredHost::score)
          .reversed()
          .thenComparing(scoredHost -> scoredHost.host().id());

  private final RendezvousScores scores = new RendezvousScores();

  private record ScoredHost(HostState host, long score) {}

  /**
   * Returns the watchers of a group by descending score; fewer than {@link #WATCHERS} if there are
   * not enough proxies.
   */
  public List<HostId> watchers(GroupId group, Collection<HostState> hosts) {
    long groupHash = RendezvousScores.groupHash(group);
    List<ScoredHost> scoredHosts =
        hosts.stream()
            .filter(HostState::acceptsNewWork)
            .map(host -> new ScoredHost(host, scores.score(groupHash, host.id())))
            .sorted(BY_DESCENDING_SCORE)
            .toList();
    List<HostId> chosen = new ArrayList<>();
    Set<ZoneName> zones = new HashSet<>();
    for (ScoredHost candidate : scoredHosts) {
      if (chosen.size() < WATCHERS && zones.add(candidate.host().zone())) {
        chosen.add(candidate.host().id());
      }
    }
    for (ScoredHost candidate : scoredHosts) {
      if (chosen.size() < WATCHERS && !chosen.contains(candidate.host().id())) {
        chosen.add(candidate.host().id());
      }
    }
    return chosen;
  }

  /**
   * Returns whether a host is a watcher of a group.
   *
   * <p>With three or more zones, a host that does not have the highest score of its own zone is no
   * watcher. With thousands of hosts, this check usually needs a few comparisons and not the scores
   * of all hosts.
   */
  public boolean isWatcher(HostId host, GroupId group, Map<HostId, HostState> hosts) {
    HostState self = hosts.get(host);
    if (self == null || !self.acceptsNewWork()) {
      return false;
    }
    long groupHash = RendezvousScores.groupHash(group);
    long ownScore = scores.score(groupHash, host);
    for (HostState other : hosts.values()) {
      boolean higherInZone =
          other.zone().equals(self.zone())
              && other.acceptsNewWork()
              && scores.score(groupHash, other.id()) > ownScore;
      if (higherInZone) {
        return zoneCount(hosts) < WATCHERS && watchers(group, hosts.values()).contains(host);
      }
    }
    return watchers(group, hosts.values()).contains(host);
  }

  private static long zoneCount(Map<HostId, HostState> hosts) {
    return hosts.values().stream().map(HostState::zone).distinct().limit(WATCHERS).count();
  }
}
