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
 * Chooses the watchers of a group by rendezvous hash: the proxies with the highest scores, in
 * different availability zones as far as there are enough.
 *
 * <p>Watchers of one zone would all lose touch with a healthy primary when their zone is cut off,
 * and agree on replacing it.
 */
public final class WatcherAssignment {
  /** How many hosts watch a group. */
  public static final int WATCHERS = 3;

  private static final Comparator<Scored> BEST_FIRST =
      Comparator.comparingLong(Scored::score)
          .reversed()
          .thenComparing(scored -> scored.host().id());

  private final RendezvousScores scores = new RendezvousScores();

  private record Scored(HostState host, long score) {}

  /** Returns the watchers of a group, best score first; fewer than three if there are fewer. */
  public List<HostId> watchers(GroupId group, Collection<HostState> hosts) {
    long groupHash = RendezvousScores.groupHash(group);
    List<Scored> scored =
        hosts.stream()
            .filter(HostState::takesWork)
            .map(host -> new Scored(host, scores.score(groupHash, host.id())))
            .sorted(BEST_FIRST)
            .toList();
    List<HostId> chosen = new ArrayList<>();
    Set<ZoneName> zones = new HashSet<>();
    for (Scored next : scored) {
      if (chosen.size() < WATCHERS && zones.add(next.host().zone())) {
        chosen.add(next.host().id());
      }
    }
    for (Scored next : scored) {
      if (chosen.size() < WATCHERS && !chosen.contains(next.host().id())) {
        chosen.add(next.host().id());
      }
    }
    return chosen;
  }

  /**
   * Returns whether a host is a watcher of a group.
   *
   * <p>In three zones or more, a host that is not the best of its own zone is none: with thousands
   * of hosts a few comparisons tell, without the scores of all.
   */
  public boolean watches(HostId host, GroupId group, Map<HostId, HostState> hosts) {
    HostState self = hosts.get(host);
    if (self == null || !self.takesWork()) {
      return false;
    }
    long groupHash = RendezvousScores.groupHash(group);
    long own = scores.score(groupHash, host);
    for (HostState other : hosts.values()) {
      boolean better =
          other.zone().equals(self.zone())
              && other.takesWork()
              && scores.score(groupHash, other.id()) > own;
      if (better) {
        return zones(hosts) < WATCHERS && watchers(group, hosts.values()).contains(host);
      }
    }
    return watchers(group, hosts.values()).contains(host);
  }

  private static long zones(Map<HostId, HostState> hosts) {
    return hosts.values().stream().map(HostState::zone).distinct().limit(WATCHERS).count();
  }
}
