package org.alderyard.proxy.callersession;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;

/**
 * The holders of all groups, and how they have answered this host.
 *
 * <p>Lock: the object itself, a leaf.
 */
final class Holders {
  /**
   * What leaving the availability zone counts as. How long a statement takes says more of its
   * server than of its holder, so only a holder that is far slower is passed over for one in
   * another zone, with all the bytes that then cross between them.
   */
  private static final double OTHER_ZONE_MILLIS = 400;

  private static final double PAUSED_MILLIS = 100_000;

  /** A link that is not there yet takes a handshake first. */
  private static final double UNLINKED_MILLIS = 50;

  /**
   * Guards against a fleet whose hosts all open connections of their own when their holders are
   * slow for a moment, as after a start: servers accept fewer than there are hosts.
   */
  private static final long SERVE_ITSELF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final HostId self;
  private final ZoneName zone;
  private final Predicate<HostState> linked;
  private final HolderAssignment assignment = new HolderAssignment();
  // Guarded by this.
  private Map<HostId, HostState> hostsOfCache = Map.of();
  private Map<GroupId, GroupState> groupsOfCache = Map.of();
  private final Map<GroupId, HoldersOfGroup> cache = new HashMap<>();
  private final Map<HostId, HolderTrack> tracks = new HashMap<>();

  /**
   * What the view says of one group. Kept, since each use of a connection asks for it.
   *
   * @param holders empty if all hosts hold connections
   * @param firstConnections how many this host may open before it has a lease
   */
  private record HoldersOfGroup(Optional<List<HostState>> holders, int firstConnections) {}

  /**
   * Creates holders that have not been asked yet.
   *
   * @param linked whether there is a connection to a host
   */
  Holders(HostId self, ZoneName zone, Predicate<HostState> linked) {
    this.self = self;
    this.zone = zone;
    this.linked = linked;
  }

  /** Returns the other hosts that most likely know something of a group. */
  synchronized List<HostState> wellInformed(View view, GroupId group) {
    return of(view, group)
        .holders()
        .orElseGet(() -> view.hosts().values().stream().filter(HostState::proxy).toList())
        .stream()
        .filter(host -> !host.id().equals(self))
        .toList();
  }

  /**
   * Returns the holders of a group.
   *
   * @return empty if this host is one of them, or all hosts are
   */
  synchronized Optional<List<HostState>> others(View view, GroupId group) {
    return of(view, group).holders().filter(all -> !includeSelf(all));
  }

  /**
   * Returns how many connections to each server of a group this host may open before a lease.
   *
   * @return 1 on a host that is no holder, for when none can be reached
   */
  synchronized int firstConnections(View view, GroupId group) {
    return of(view, group).firstConnections();
  }

  private HoldersOfGroup of(View view, GroupId group) {
    if (view.hosts() != hostsOfCache || view.groups() != groupsOfCache) {
      hostsOfCache = view.hosts();
      groupsOfCache = view.groups();
      cache.clear();
      tracks.keySet().retainAll(hostsOfCache.keySet());
    }
    return cache.computeIfAbsent(group, id -> compute(view, id));
  }

  private HoldersOfGroup compute(View view, GroupId group) {
    Optional<List<HostState>> holders = assignment.holders(view, group);
    boolean holds = holders.filter(this::includeSelf).isPresent();
    int connections =
        holds ? HolderAssignment.firstConnections(view, group, holders.get().size()) : 1;
    return new HoldersOfGroup(holders, connections);
  }

  private boolean includeSelf(List<HostState> holders) {
    return holders.stream().anyMatch(holder -> holder.id().equals(self));
  }

  /**
   * Returns the holder that most likely answers soonest, was not tried yet and may get more work.
   */
  synchronized Optional<HostState> best(List<HostState> holders, Set<HostId> tried, long nowNanos) {
    return holders.stream()
        .filter(holder -> !tried.contains(holder.id()) && !track(holder).full())
        .min(Comparator.comparingDouble(holder -> expectedMillis(holder, nowNanos)));
  }

  private double expectedMillis(HostState holder, long nowNanos) {
    HolderTrack track = track(holder);
    return track.expectedMillis()
        + (holder.zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS)
        + (linked.test(holder) ? 0 : UNLINKED_MILLIS)
        + (track.paused(nowNanos) ? PAUSED_MILLIS : 0);
  }

  /** Returns whether none of the holders has answered for so long that this host serves itself. */
  synchronized boolean silent(List<HostState> holders, long nowNanos) {
    return holders.stream()
        .allMatch(holder -> track(holder).silentNanos(nowNanos) >= SERVE_ITSELF_NANOS);
  }

  synchronized void started(HostState holder) {
    track(holder).started();
  }

  synchronized void ended(HostState holder) {
    track(holder).ended();
  }

  synchronized void answered(HostState holder, long nowNanos, long tookNanos) {
    track(holder).answered(nowNanos, tookNanos, true);
  }

  /** A holder can't be reached, refused to work for others, or is silent. */
  synchronized void failed(HostState holder, long nowNanos) {
    track(holder).failed(nowNanos);
  }

  /** Returns whether an answer came since a time. */
  synchronized boolean answeredSince(HostState holder, long sinceNanos, long nowNanos) {
    return track(holder).answeredWithin(nowNanos, nowNanos - sinceNanos);
  }

  synchronized double latencyMillis(HostState holder) {
    return track(holder).latencyMillis();
  }

  private HolderTrack track(HostState holder) {
    HolderTrack track = tracks.get(holder.id());
    if (track == null || track.incarnation() != holder.incarnation()) {
      track = new HolderTrack(holder.incarnation());
      tracks.put(holder.id(), track);
    }
    return track;
  }
}
