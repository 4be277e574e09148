package org.alderyard.proxy.callersession;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.proxy.pool.ConnectionSharing;

/**
 * Selects holders for the statements of this host by their recent replies.
 *
 * <p>Locking: guarded by the object's own lock; no other lock is acquired while it is held.
 */
final class HolderSelector {
  /**
   * Latency that is added for a holder in another availability zone. A statement's duration depends
   * more on its server than on its holder, so a holder in another zone is preferred only over a far
   * slower one; its statements add traffic between zones.
   */
  private static final double OTHER_ZONE_PENALTY_MILLIS = 400;

  /**
   * Latency that is added for a holder that is not the preferred one of the organisation and may
   * have to open a connection, which delays the statements of others as well.
   */
  private static final double OTHER_HOLDER_PENALTY_MILLIS = 200;

  private static final double BACKOFF_PENALTY_MILLIS = 100_000;

  /**
   * Latency that is added for a holder without an open link, whose first statement needs a
   * handshake.
   */
  private static final double UNCONNECTED_PENALTY_MILLIS = 50;

  /**
   * Time without a reply from any holder after which this host opens its own connections. Without
   * the delay, all hosts of a fleet would open connections while their holders are briefly slow, as
   * after a start, and servers accept fewer connections than there are hosts.
   */
  private static final long LOCAL_FALLBACK_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final HostId self;
  private final ZoneName zone;
  private final Predicate<HostState> isConnected;
  private final HolderAssignment assignment;
  private final HolderAffinity affinity = new HolderAffinity();
  // Guarded by this.
  private Map<HostId, HostState> cachedHosts = Map.of();
  private Map<GroupId, GroupState> cachedGroups = Map.of();
  private Optional<ConfigurationState> cachedConfiguration = Optional.empty();
  private final Map<GroupId, GroupHolders> cache = new HashMap<>();
  private final Map<HostId, HolderTracker> trackers = new HashMap<>();

  /**
   * The holders of one group in the current view. Cached, as every use of a connection reads it.
   *
   * @param holders empty if all hosts hold connections
   * @param initialConnections how many connections to a server this host may open before it has a
   *     lease
   */
  private record GroupHolders(Optional<List<HostState>> holders, int initialConnections) {}

  /**
   * Creates a selector that has not recorded any reply.
   *
   * @param isConnected whether this host has an open link to a host
   */
  HolderSelector(HostId self, ZoneName zone, Predicate<HostState> isConnected) {
    this(self, zone, isConnected, ConnectionSharing.RECENCY);
  }

  HolderSelector(
      HostId self, ZoneName zone, Predicate<HostState> isConnected, ConnectionSharing sharing) {
    assignment = new HolderAssignment(sharing);
    this.self = self;
    this.zone = zone;
    this.isConnected = isConnected;
  }

  /**
   * Returns the other hosts that are likely to have recent information about a group: its holders,
   * or all proxies if all hosts hold connections.
   */
  synchronized List<HostState> sampleSources(View view, GroupId group) {
    return groupHolders(view, group)
        .holders()
        .orElseGet(() -> view.hosts().values().stream().filter(HostState::proxy).toList())
        .stream()
        .filter(host -> !host.id().equals(self))
        .toList();
  }

  /**
   * Returns the holders of a group to which this host forwards statements.
   *
   * @return empty if this host is a holder of the group, or if all hosts hold connections
   */
  synchronized Optional<List<HostState>> remoteHolders(View view, GroupId group) {
    return groupHolders(view, group).holders().filter(all -> !includesSelf(all));
  }

  /**
   * Returns how many connections to each server of a group this host may open before it has a
   * lease.
   *
   * @return 1 on a host that is not a holder, for the case that no holder can be reached
   */
  synchronized int initialConnections(View view, GroupId group) {
    return groupHolders(view, group).initialConnections();
  }

  private GroupHolders groupHolders(View view, GroupId group) {
    if (view.hosts() != cachedHosts
        || view.groups() != cachedGroups
        || !view.configuration().equals(cachedConfiguration)) {
      cachedConfiguration = view.configuration();
      cachedHosts = view.hosts();
      cachedGroups = view.groups();
      cache.clear();
      trackers.keySet().retainAll(cachedHosts.keySet());
    }
    return cache.computeIfAbsent(group, id -> computeHolders(view, id));
  }

  private GroupHolders computeHolders(View view, GroupId group) {
    Optional<List<HostState>> holders = assignment.holders(view, group);
    boolean isHolder = holders.filter(this::includesSelf).isPresent();
    int connections =
        isHolder ? HolderAssignment.initialConnections(view, group, holders.get().size()) : 1;
    return new GroupHolders(holders, connections);
  }

  private boolean includesSelf(List<HostState> holders) {
    return holders.stream().anyMatch(holder -> holder.id().equals(self));
  }

  /**
   * Returns the holder with the lowest expected latency that has not been tried and is below its
   * in-flight limit; the preferred holder of the organisation in this availability zone if it
   * replies.
   */
  synchronized Optional<HostState> selectBest(
      GroupId group,
      ConnectionOwner owner,
      List<HostState> holders,
      Set<HostId> tried,
      long nowNanos) {
    List<HostState> inZone = holders.stream().filter(holder -> holder.zone().equals(zone)).toList();
    Optional<HostId> preferred =
        affinity.preferred(group, owner, inZone.isEmpty() ? holders : inZone).map(HostState::id);
    return holders.stream()
        .filter(holder -> !tried.contains(holder.id()) && !tracker(holder).atInFlightLimit())
        .min(
            Comparator.comparingDouble(
                holder ->
                    expectedMillis(holder, preferred.equals(Optional.of(holder.id())), nowNanos)));
  }

  private double expectedMillis(HostState holder, boolean preferred, long nowNanos) {
    HolderTracker tracker = tracker(holder);
    return tracker.expectedMillis()
        + (holder.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_MILLIS)
        + (preferred ? 0 : OTHER_HOLDER_PENALTY_MILLIS)
        + (isConnected.test(holder) ? 0 : UNCONNECTED_PENALTY_MILLIS)
        + (tracker.inBackoff(nowNanos) ? BACKOFF_PENALTY_MILLIS : 0);
  }

  /**
   * Returns whether all holders have been unresponsive for so long that this host must use its own
   * connections.
   */
  synchronized boolean allUnresponsive(List<HostState> holders, long nowNanos) {
    return holders.stream()
        .allMatch(holder -> tracker(holder).unresponsiveNanos(nowNanos) >= LOCAL_FALLBACK_NANOS);
  }

  synchronized void started(HostState holder) {
    tracker(holder).started();
  }

  synchronized void ended(HostState holder) {
    tracker(holder).ended();
  }

  synchronized void answered(HostState holder, long nowNanos, long tookNanos) {
    tracker(holder).answered(nowNanos, tookNanos, true);
  }

  /** Records that a holder is unreachable, refused a forwarded statement, or did not reply. */
  synchronized void failed(HostState holder, long nowNanos) {
    tracker(holder).failed(nowNanos);
  }

  /** Returns whether the holder has replied since the given time. */
  synchronized boolean answeredSince(HostState holder, long sinceNanos, long nowNanos) {
    return tracker(holder).answeredWithin(nowNanos, nowNanos - sinceNanos);
  }

  synchronized double latencyMillis(HostState holder) {
    return tracker(holder).latencyMillis();
  }

  private HolderTracker tracker(HostState holder) {
    HolderTracker tracker = trackers.get(holder.id());
    if (tracker == null || tracker.incarnation() != holder.incarnation()) {
      tracker = new HolderTracker(holder.incarnation());
      trackers.put(holder.id(), tracker);
    }
    return tracker;
  }
}
