package org.alderyard.control.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ControlState;

/**
 * The leases of servers and hosts in the memory of the leader, with the announcements and view
 * versions that came with their renewals. Thread-safe.
 *
 * <p>All of it belongs to one term: the first call in another term starts with no leases.
 */
final class LeaderLeases {
  /**
   * Duration of a view lease: the time that a host may act on its view without a confirmation, in
   * milliseconds.
   */
  static final int VIEW_LEASE_MILLIS = 3_000;

  /**
   * Time from the end of its lease to the removal of a host, in milliseconds.
   *
   * <p>In this time the host no longer counts for the number of hosts on which a ticket is in
   * force. A removal is a view change for all hosts, and a leader that is overloaded for some
   * seconds must not remove many running hosts.
   */
  static final int REMOVAL_DELAY_MILLIS = 7_000;

  private static final int PROPOSAL_RETRY_MILLIS = 1_000;
  private static final long NO_TERM = -1;

  private final ControlLog controlLog;
  private final ControlState state;
  private final MonotonicClock clock;
  private final Object lock = new Object();
  // Guarded by lock.
  private final LeaseTable<ServerId> serverLeases = new LeaseTable<>();
  private final LeaseTable<HostId> hostLeases = new LeaseTable<>();
  private final Map<HostId, ViewVersion> acknowledgedVersions = new HashMap<>();
  private final Map<ServerId, LastAnnouncement> lastAnnouncements = new HashMap<>();
  private final Map<ServerId, Renewal> renewals = new HashMap<>();
  private long leaseTerm = NO_TERM;
  private ViewVersion leaseViewVersion = ViewVersion.NONE;

  LeaderLeases(ControlLog controlLog, ControlState state, MonotonicClock clock) {
    this.controlLog = controlLog;
    this.state = state;
    this.clock = clock;
  }

  private record LastAnnouncement(long incarnation, long sequence) {}

  private record Renewal(long incarnation, long receivedMillis) {}

  /**
   * Number of hosts on which a version is in force, out of the hosts that may hold a view lease.
   */
  record Progress(int inForce, int expected) {}

  /** Leases that have expired since they were last taken. */
  record ExpiredLeases(
      List<LeaseTable.Expired<ServerId>> servers, List<LeaseTable.Expired<HostId>> hosts) {}

  /**
   * Records an announcement. Returns false if a later one of the same incarnation of the server has
   * already been recorded.
   *
   * @param sequence the number of the announcement, or 0 for one without a number
   */
  boolean recordAnnouncement(ServerState server, long sequence) {
    if (sequence == 0) {
      return true;
    }
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      LastAnnouncement last = lastAnnouncements.get(server.id());
      boolean overtaken =
          last != null && last.incarnation() == server.incarnation() && last.sequence() > sequence;
      if (!overtaken) {
        lastAnnouncements.put(server.id(), new LastAnnouncement(server.incarnation(), sequence));
      }
      return !overtaken;
    }
  }

  /** Renews the lease of a server whose announcement was received at the given time. */
  void renewServer(ServerState server, long receivedMillis, int leaseMillis) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      serverLeases.renew(server.id(), server.incarnation(), receivedMillis + leaseMillis);
      renewals.put(server.id(), new Renewal(server.incarnation(), receivedMillis));
    }
  }

  /** Returns whether this incarnation of a server was announced after the given time. */
  boolean isAnnouncedSince(ServerState server, long millis) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      Renewal last = renewals.get(server.id());
      return last != null
          && last.incarnation() == server.incarnation()
          && last.receivedMillis() > millis;
    }
  }

  /** Renews the lease of a host that runs the given view version. */
  void renewHost(HostState host, ViewVersion running, long receivedMillis) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      hostLeases.renew(host.id(), host.incarnation(), receivedMillis + VIEW_LEASE_MILLIS);
      acknowledgedVersions.put(host.id(), running);
    }
  }

  /**
   * Returns the number of hosts on which a view version is in force. Only the leader has this
   * information.
   */
  Progress progress(ViewVersion version) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      long nowMillis = clock.nowMillis();
      List<HostId> hosts =
          state.view().hosts().keySet().stream()
              .filter(host -> mayHoldLease(host, nowMillis))
              .toList();
      long inForce =
          hosts.stream()
              .filter(
                  host ->
                      acknowledgedVersions.getOrDefault(host, ViewVersion.NONE).compareTo(version)
                          >= 0)
              .count();
      return new Progress((int) inForce, hosts.size());
    }
  }

  /**
   * Returns whether a host may hold a view lease. A host without an entry may hold one that an
   * earlier leader granted.
   */
  private boolean mayHoldLease(HostId host, long nowMillis) {
    return hostLeases.find(host).filter(lease -> lease.endMillis() <= nowMillis).isEmpty();
  }

  /** Returns the expired leases. They are returned again after a delay if they are still held. */
  ExpiredLeases takeExpired() {
    long nowMillis = clock.nowMillis();
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      syncLeasesWithView(nowMillis);
      List<LeaseTable.Expired<ServerId>> servers = serverLeases.expired(nowMillis);
      List<LeaseTable.Expired<HostId>> hosts = hostLeases.expired(nowMillis - REMOVAL_DELAY_MILLIS);
      // An expiry that isn't committed because the quorum is lost is proposed again after a delay.
      long retryMillis = nowMillis + PROPOSAL_RETRY_MILLIS;
      servers.forEach(s -> serverLeases.renew(s.holder(), s.incarnation(), retryMillis));
      hosts.forEach(
          h -> hostLeases.renew(h.holder(), h.incarnation(), retryMillis - REMOVAL_DELAY_MILLIS));
      return new ExpiredLeases(servers, hosts);
    }
  }

  /**
   * Removes all leases of an earlier term, after which every lease gets a full period.
   *
   * <p>A host that becomes the leader again would otherwise end leases that another leader has
   * renewed since, because its table holds only the renewals of its earlier term.
   */
  private void clearLeasesOfEarlierTerm() {
    long term = controlLog.term();
    if (term == leaseTerm) {
      return;
    }
    leaseTerm = term;
    leaseViewVersion = ViewVersion.NONE;
    serverLeases.clear();
    hostLeases.clear();
    acknowledgedVersions.clear();
    lastAnnouncements.clear();
    renewals.clear();
  }

  private static boolean hasEnded(ServerStatus status) {
    return status == ServerStatus.EXPIRED || status == ServerStatus.GONE;
  }

  /**
   * Grants a full period to servers and hosts in the view that have no lease, and removes the
   * leases of those that are no longer in the view.
   */
  private void syncLeasesWithView(long nowMillis) {
    View view = state.view();
    if (view.version().equals(leaseViewVersion)) {
      return;
    }
    leaseViewVersion = view.version();
    serverLeases.retainHolders(
        id -> view.server(id).filter(s -> !hasEnded(s.status())).isPresent());
    lastAnnouncements.keySet().retainAll(view.servers().keySet());
    renewals.keySet().retainAll(view.servers().keySet());
    hostLeases.retainHolders(id -> view.hosts().containsKey(id));
    acknowledgedVersions.keySet().retainAll(view.hosts().keySet());
    for (ServerState server : view.servers().values()) {
      boolean hasLease =
          hasEnded(server.status())
              || serverLeases
                  .find(server.id())
                  .filter(lease -> lease.incarnation() >= server.incarnation())
                  .isPresent();
      if (!hasLease) {
        int leaseMillis =
            Math.max(
                RegistryService.MIN_SERVER_LEASE_MILLIS,
                state.serverLeaseMillis(server.id().value()));
        serverLeases.renew(server.id(), server.incarnation(), nowMillis + leaseMillis);
      }
    }
    for (HostState host : view.hosts().values()) {
      boolean hasLease =
          hostLeases
              .find(host.id())
              .filter(lease -> lease.incarnation() >= host.incarnation())
              .isPresent();
      if (!hasLease) {
        hostLeases.renew(host.id(), host.incarnation(), nowMillis + VIEW_LEASE_MILLIS);
      }
    }
  }
}
