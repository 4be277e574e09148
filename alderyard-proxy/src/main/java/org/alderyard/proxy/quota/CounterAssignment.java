package org.alderyard.proxy.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;

/**
 * Selects the hosts that count the operations of an organisation.
 *
 * <p>A few hosts of each availability zone are counters of all organisations, so that hosts need
 * few links to them. The selection depends on the hosts alone and changes little when a host comes
 * or goes.
 */
final class CounterAssignment {
  /** Hosts of an availability zone for each counter in it. */
  private static final int HOSTS_PER_COUNTER = 8;

  private static final long POOL_HASH = RendezvousScores.nameHash("quota counters");

  private final RendezvousScores scores = new RendezvousScores();
  private final int minCounters;

  /**
   * Creates an assignment.
   *
   * @param minCounters minimum number of counters of one organisation, if there are as many hosts
   */
  CounterAssignment(int minCounters) {
    this.minCounters = minCounters;
  }

  private record ScoredHost(HostState host, long score) {}

  private static final Comparator<ScoredHost> BY_SCORE =
      Comparator.comparingLong(ScoredHost::score)
          .reversed()
          .thenComparing(scored -> scored.host().id());

  /**
   * Control hosts are back first after a common restart, when all hosts wait for their counters.
   */
  private static final Comparator<ScoredHost> CONTROL_FIRST =
      Comparator.comparing((ScoredHost scored) -> !scored.host().control()).thenComparing(BY_SCORE);

  /** Returns the counters of each availability zone, which share all organisations among them. */
  Map<ZoneName, List<HostState>> counters(Collection<HostState> hosts) {
    Map<ZoneName, List<HostState>> zones = new TreeMap<>();
    for (HostState host : hosts) {
      if (host.acceptsNewWork()) {
        zones.computeIfAbsent(host.zone(), zone -> new ArrayList<>()).add(host);
      }
    }
    int countersOfOrganisation = countersPerZone(zones.size());
    zones.replaceAll(
        (zone, members) ->
            best(
                members,
                POOL_HASH,
                CONTROL_FIRST,
                Math.max(
                    countersOfOrganisation,
                    (members.size() + HOSTS_PER_COUNTER - 1) / HOSTS_PER_COUNTER)));
    return zones;
  }

  private int countersPerZone(int zones) {
    return Math.max(1, (minCounters + zones - 1) / Math.max(1, zones));
  }

  /** Returns the counters of one organisation, the best of each availability zone first. */
  List<HostState> countersOf(String organisation, Map<ZoneName, List<HostState>> counters) {
    long hash = RendezvousScores.nameHash(organisation);
    List<HostState> result = new ArrayList<>();
    counters
        .values()
        .forEach(
            zone -> result.addAll(best(zone, hash, BY_SCORE, countersPerZone(counters.size()))));
    return result;
  }

  private List<HostState> best(
      List<HostState> hosts, long hash, Comparator<ScoredHost> order, int count) {
    return hosts.stream()
        .map(host -> new ScoredHost(host, scores.score(hash, host.id())))
        .sorted(order)
        .limit(count)
        .map(ScoredHost::host)
        .toList();
  }
}
