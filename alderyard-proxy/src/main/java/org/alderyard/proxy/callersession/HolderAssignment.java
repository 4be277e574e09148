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

/**
 * Which hosts hold the connections to a group's servers and learn what these do; the others work
 * through them.
 *
 * <p>Derived from the view alone, so that all hosts of one view agree without asking. Each
 * availability zone has holders of its own, so that a statement need not leave its zone. A few
 * holders see most of a group's work, and what they know of it is young; a fleet in which every
 * host holds connections needs more of them than servers accept, and each host asks for itself who
 * leads and how far replicas are.
 *
 * <p>Pure but for a cache of scores.
 */
final class HolderAssignment {
  /**
   * Connections that a server accepts for each host if all hosts hold some: one for each, and a
   * second one where statements come in bunches.
   */
  private static final double CONNECTIONS_OF_HOST = 1.25;

  /** So many let a holder run a transaction and other statements side by side. */
  private static final int CONNECTIONS_OF_HOLDER = 4;

  /**
   * The part of what a server accepts that holders share while all is well; as much is free for
   * those that take over while the server still counts the old connections.
   */
  private static final int CALM_DIVISOR = 2;

  private final RendezvousScores scores = new RendezvousScores();

  private record Scored(HostState host, long score) {}

  private static final Comparator<Scored> BEST_FIRST =
      Comparator.comparing((Scored scored) -> scored.host().control())
          .thenComparing(Comparator.comparingLong(Scored::score).reversed())
          .thenComparing(scored -> scored.host().id());

  /**
   * Returns the holders of a group.
   *
   * @return empty if all hosts hold connections: there are enough for that
   */
  Optional<List<HostState>> holders(View view, GroupId group) {
    int accepted = view.group(group).map(GroupState::connectionsPerServer).orElse(0);
    List<HostState> hosts = view.hosts().values().stream().filter(HostState::takesWork).toList();
    int calm = accepted / CALM_DIVISOR;
    if (accepted == 0 || hosts.size() * CONNECTIONS_OF_HOST <= accepted) {
      return Optional.empty();
    }
    Map<ZoneName, List<Scored>> zones = new TreeMap<>();
    long groupHash = RendezvousScores.groupHash(group);
    for (HostState host : hosts) {
      zones
          .computeIfAbsent(host.zone(), zone -> new ArrayList<>())
          .add(new Scored(host, scores.score(groupHash, host.id())));
    }
    int wanted = Math.min(ceil(hosts.size(), view.groups().size()), calm / CONNECTIONS_OF_HOLDER);
    int ofZone = Math.max(1, ceil(wanted, zones.size()));
    List<HostState> holders = new ArrayList<>();
    for (List<Scored> zone : zones.values()) {
      zone.stream().sorted(BEST_FIRST).limit(ofZone).map(Scored::host).forEach(holders::add);
    }
    return Optional.of(holders);
  }

  private static int ceil(int dividend, int divisor) {
    return (dividend + divisor - 1) / Math.max(1, divisor);
  }

  /**
   * Returns how many connections to each server of a group one of its holders may open before any
   * are granted: its part of what leaves room for others.
   *
   * @param holders how many holders the group has
   */
  static int firstConnections(View view, GroupId group, int holders) {
    int accepted = view.group(group).map(GroupState::connectionsPerServer).orElse(0);
    return Math.max(1, accepted / CALM_DIVISOR / holders);
  }
}
