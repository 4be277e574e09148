package org.alderyard.proxy.callersession;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.RendezvousScores;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.pool.ConnectionSharing;

/**
 * Selects the hosts that hold the connections to a group's servers and track the state of those
 * servers. The other hosts forward their statements to these holders.
 *
 * <p>The assignment depends on the view alone, so that all hosts with the same view agree without
 * communication. Each availability zone has its own holders, so that statements need not leave
 * their zone. A few holders run most of a group's statements and so have recent information about
 * its servers. If every host held connections, the fleet would need more connections than servers
 * accept, and each host would have to query the servers for the primary and the positions of
 * replicas.
 *
 * <p>Stateless apart from a cache of scores.
 */
final class HolderAssignment {
  /**
   * Connections to a server per host if all hosts hold connections: one for each host, and a second
   * one for hosts whose statements arrive in bursts.
   */
  private static final double CONNECTIONS_PER_HOST = 1.25;

  /**
   * Connections to a server per holder: enough to run transactions and other statements
   * concurrently.
   */
  private static final int CONNECTIONS_PER_HOLDER = 4;

  /**
   * Divisor of a server's accepted connections that gives the holders' share in the steady state.
   * The rest is reserved for hosts that take over while the server still counts the old
   * connections.
   */
  private static final int STEADY_STATE_DIVISOR = 2;

  private final RendezvousScores scores = new RendezvousScores();

  private final ConnectionSharing sharing;

  /** Creates an assignment in which all hosts hold connections if servers accept them. */
  HolderAssignment() {
    this(ConnectionSharing.RECENCY);
  }

  HolderAssignment(ConnectionSharing sharing) {
    this.sharing = sharing;
  }

  private record ScoredHost(HostState host, long score) {}

  private static final Comparator<ScoredHost> BEST_FIRST =
      Comparator.comparing((ScoredHost scored) -> scored.host().control())
          .thenComparing(Comparator.comparingLong(ScoredHost::score).reversed())
          .thenComparing(scored -> scored.host().id());

  /**
   * Returns the holders of a group.
   *
   * @return empty if all hosts hold connections, because the servers accept enough of them
   */
  Optional<List<HostState>> holders(View view, GroupId group) {
    int acceptedConnections = view.group(group).map(GroupState::connectionsPerServer).orElse(0);
    List<HostState> hosts =
        view.hosts().values().stream().filter(HostState::acceptsNewWork).toList();
    int steadyStateConnections = acceptedConnections / STEADY_STATE_DIVISOR;
    boolean enoughForAll = hosts.size() * CONNECTIONS_PER_HOST <= acceptedConnections;
    if (acceptedConnections == 0
        || enoughForAll && !meetAtHolders(view, hosts, acceptedConnections)) {
      return Optional.empty();
    }
    Map<ZoneName, List<ScoredHost>> zones = new TreeMap<>();
    long groupHash = RendezvousScores.groupHash(group);
    for (HostState host : hosts) {
      zones
          .computeIfAbsent(host.zone(), zone -> new ArrayList<>())
          .add(new ScoredHost(host, scores.score(groupHash, host.id())));
    }
    int targetHolders =
        Math.min(
            ceilDiv(hosts.size(), view.groups().size()),
            steadyStateConnections / CONNECTIONS_PER_HOLDER);
    int holdersPerZone = Math.max(1, ceilDiv(targetHolders, zones.size()));
    List<HostState> holders = new ArrayList<>();
    for (List<ScoredHost> zone : zones.values()) {
      zone.stream()
          .sorted(BEST_FIRST)
          .limit(holdersPerZone)
          .map(ScoredHost::host)
          .forEach(holders::add);
    }
    return Optional.of(holders);
  }

  /**
   * Returns whether a host with its part of the connections would open one for most statements,
   * because there are more organisations than connections.
   */
  private boolean meetAtHolders(View view, List<HostState> hosts, int acceptedConnections) {
    int organisations =
        view.configuration().map(current -> current.organisations().all().size()).orElse(0);
    return sharing == ConnectionSharing.WEIGHTED
        && organisations > acceptedConnections / Math.max(1, hosts.size());
  }

  private static int ceilDiv(int dividend, int divisor) {
    return (dividend + divisor - 1) / Math.max(1, divisor);
  }

  /**
   * Returns how many connections to each server of a group one of its holders may open before any
   * are granted: its part of the holders' steady-state share.
   *
   * @param holders the number of holders of the group
   */
  static int initialConnections(View view, GroupId group, int holders) {
    int acceptedConnections = view.group(group).map(GroupState::connectionsPerServer).orElse(0);
    return Math.max(1, acceptedConnections / STEADY_STATE_DIVISOR / holders);
  }
}
