package org.alderyard.control.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.AnnouncementFilter;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.HostExpiry;
import org.alderyard.protocol.generated.control.HostRegistration;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.Status;
import org.alderyard.protocol.view.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases of backend servers and hosts, which only the leader keeps.
 *
 * <p>Renewals stay in the leader's memory. Only changes of the view go to the log: registrations,
 * servers that leave and expired leases.
 */
final class RegistryService {
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

  /** Minimum lease of a backend server, in milliseconds. */
  static final int MIN_SERVER_LEASE_MILLIS = 100;

  static final int MAX_SERVER_LEASE_MILLIS = 60_000;

  private static final Logger log = LoggerFactory.getLogger(RegistryService.class);
  private static final int PROPOSAL_RETRY_MILLIS = 1_000;
  private static final long NO_TERM = -1;

  private final ControlLog controlLog;
  private final ControlState state;
  private final Proposer proposer;
  private final MonotonicClock clock;
  private final Object lock = new Object();
  // Guarded by lock.
  private final LeaseTable<ServerId> serverLeases = new LeaseTable<>();
  private final LeaseTable<HostId> hostLeases = new LeaseTable<>();
  private final Map<HostId, ViewVersion> acknowledgedVersions = new HashMap<>();
  private final Map<ServerId, LastAnnouncement> lastAnnouncements = new HashMap<>();
  private long leaseTerm = NO_TERM;
  private ViewVersion leaseViewVersion = ViewVersion.NONE;

  RegistryService(
      ControlLog controlLog, ControlState state, Proposer proposer, MonotonicClock clock) {
    this.controlLog = controlLog;
    this.state = state;
    this.proposer = proposer;
    this.clock = clock;
  }

  /**
   * Processes announcements of servers, once a quorum has confirmed that this host is the leader.
   */
  CompletableFuture<AnnounceReply> announce(AnnounceRequest request) {
    long receivedMillis = clock.nowMillis();
    // Rejects invalid names before any command is proposed.
    request
        .getAnnouncementsList()
        .forEach(announcement -> StateCodec.server(announcement.getServer()));
    return controlLog.readBarrier().thenCompose(done -> announce(request, receivedMillis));
  }

  private CompletableFuture<AnnounceReply> announce(AnnounceRequest request, long receivedMillis) {
    AnnounceReply.Builder reply = AnnounceReply.newBuilder();
    List<CompletableFuture<?>> proposals = new ArrayList<>();
    for (Announcement received : request.getAnnouncementsList()) {
      Announcement announcement = withBoundedLease(received);
      ServerState server = StateCodec.server(announcement.getServer());
      Optional<ServerState> known = state.view().server(server.id());
      if (known.isPresent() && AnnouncementFilter.isStale(announcement.getServer(), known.get())) {
        log.info(
            "event=announcement-ignored server={} reason=late incarnation={} known={} status={}",
            server.id(),
            server.incarnation(),
            known.get().incarnation(),
            known.get().status());
        reply.addStaleServers(server.id().value());
        continue;
      }
      if (isOvertaken(announcement, server)) {
        log.info(
            "event=announcement-ignored server={} reason=overtaken incarnation={} sequence={}",
            server.id(),
            server.incarnation(),
            announcement.getSequence());
        continue;
      }
      renew(server, receivedMillis + announcement.getLeaseMillis());
      if (changesState(announcement, server, known)) {
        log.info(
            "event=announcement server={} incarnation={} leaving={}",
            server.id(),
            server.incarnation(),
            announcement.getLeaving());
        proposals.add(proposer.propose(Command.newBuilder().setAnnouncement(announcement)));
      }
    }
    for (ServerExpiry ended : request.getEndedList()) {
      log.info("event=server-ended server={} reason=said-goodbye", ended.getServer());
      proposals.add(
          proposer.propose(
              Command.newBuilder().setServerExpiry(ended.toBuilder().setSaidGoodbye(true))));
    }
    return CompletableFuture.allOf(proposals.toArray(CompletableFuture[]::new))
        .thenApply(done -> reply.build());
  }

  /** Returns whether a later announcement of the same server has already been received. */
  private boolean isOvertaken(Announcement announcement, ServerState server) {
    if (announcement.getSequence() == 0) {
      return false;
    }
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      LastAnnouncement last = lastAnnouncements.get(server.id());
      boolean overtaken =
          last != null
              && last.incarnation() == server.incarnation()
              && last.sequence() > announcement.getSequence();
      if (!overtaken) {
        lastAnnouncements.put(
            server.id(), new LastAnnouncement(server.incarnation(), announcement.getSequence()));
      }
      return overtaken;
    }
  }

  private record LastAnnouncement(long incarnation, long sequence) {}

  private static Announcement withBoundedLease(Announcement announcement) {
    int leaseMillis =
        Math.max(
            MIN_SERVER_LEASE_MILLIS,
            Math.min(MAX_SERVER_LEASE_MILLIS, announcement.getLeaseMillis()));
    Server server =
        announcement.getServer().toBuilder()
            .setStatus(announcement.getLeaving() ? Status.LEAVING : Status.ACTIVE)
            .build();
    return announcement.toBuilder().setServer(server).setLeaseMillis(leaseMillis).build();
  }

  private boolean changesState(
      Announcement announcement, ServerState announced, Optional<ServerState> known) {
    boolean firstPrimary =
        announcement.getPrimary()
            && state.view().group(announced.group()).stream().anyMatch(group -> group.term() == 0);
    boolean newRole =
        announcement.getReportsRole()
            && !state
                .reportsPrimaryRole(announced.id().value())
                .equals(Optional.of(announcement.getPrimary()));
    return firstPrimary && !announcement.getReportsRole()
        || newRole
        || !known.equals(Optional.of(announced));
  }

  private void renew(ServerState server, long endMillis) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      serverLeases.renew(server.id(), server.incarnation(), endMillis);
    }
  }

  /** Renews a host's lease, once a quorum has confirmed that this host is the leader. */
  CompletableFuture<HeartbeatReply> heartbeat(HeartbeatRequest request) {
    // The lease starts before the leadership is confirmed: a later leader grants every lease a full
    // period from its election, which can't be earlier than this time.
    long receivedMillis = clock.nowMillis();
    HostState host = StateCodec.host(request.getHost());
    return controlLog
        .readBarrier()
        .thenCompose(done -> register(host, request))
        .thenApply(
            done -> {
              if (!request.getLeaving()) {
                acknowledge(host, request, receivedMillis);
              }
              return HeartbeatReply.newBuilder()
                  .setCurrent(StateCodec.versionMessage(state.view().version()))
                  .setLeaseMillis(VIEW_LEASE_MILLIS)
                  .build();
            });
  }

  private CompletableFuture<?> register(HostState host, HeartbeatRequest request) {
    var known = state.hostRegistration(host.id().value());
    if (known.isPresent() && known.get().getIncarnation() > host.incarnation()) {
      throw AlderyardException.notRun(
          ErrorCode.PEER_REJECTED, "host is registered with a newer incarnation: " + host.id());
    }
    if (request.getLeaving()) {
      return expire(host.id(), host.incarnation(), "left");
    }
    if (known.equals(Optional.of(request.getHost()))) {
      return CompletableFuture.completedFuture(null);
    }
    log.info("event=host-registered host={} incarnation={}", host.id(), host.incarnation());
    return proposer.propose(
        Command.newBuilder()
            .setHostRegistration(HostRegistration.newBuilder().setHost(request.getHost())));
  }

  private void acknowledge(HostState host, HeartbeatRequest request, long receivedMillis) {
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      hostLeases.renew(host.id(), host.incarnation(), receivedMillis + VIEW_LEASE_MILLIS);
      acknowledgedVersions.put(host.id(), StateCodec.version(request.getRunning()));
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

  /**
   * Number of hosts on which a version is in force, out of the hosts that may hold a view lease.
   */
  record Progress(int inForce, int expected) {}

  /** Proposes the end of expired leases; does nothing on a host that is not the leader. */
  void expireLeases() {
    if (!controlLog.isLeader()) {
      return;
    }
    List<LeaseTable.Expired<ServerId>> servers;
    List<LeaseTable.Expired<HostId>> hosts;
    long nowMillis = clock.nowMillis();
    synchronized (lock) {
      clearLeasesOfEarlierTerm();
      syncLeasesWithView(nowMillis);
      servers = serverLeases.expired(nowMillis);
      hosts = hostLeases.expired(nowMillis - REMOVAL_DELAY_MILLIS);
      // An expiry that isn't committed because the quorum is lost is proposed again after a delay.
      long retryMillis = nowMillis + PROPOSAL_RETRY_MILLIS;
      servers.forEach(s -> serverLeases.renew(s.holder(), s.incarnation(), retryMillis));
      hosts.forEach(
          h -> hostLeases.renew(h.holder(), h.incarnation(), retryMillis - REMOVAL_DELAY_MILLIS));
    }
    servers.forEach(expired -> expire(expired));
    hosts.forEach(expired -> expire(expired.holder(), expired.incarnation(), "lease-expired"));
  }

  private void expire(LeaseTable.Expired<ServerId> expired) {
    log.info(
        "event=server-expired server={} incarnation={} reason=lease",
        expired.holder(),
        expired.incarnation());
    proposer.propose(
        Command.newBuilder()
            .setServerExpiry(
                ServerExpiry.newBuilder()
                    .setServer(expired.holder().value())
                    .setIncarnation(expired.incarnation())));
  }

  private CompletableFuture<?> expire(HostId host, long incarnation, String reason) {
    log.info("event=host-removed host={} incarnation={} reason={}", host, incarnation, reason);
    return proposer.propose(
        Command.newBuilder()
            .setHostExpiry(
                HostExpiry.newBuilder().setHost(host.value()).setIncarnation(incarnation)));
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
            Math.max(MIN_SERVER_LEASE_MILLIS, state.serverLeaseMillis(server.id().value()));
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
