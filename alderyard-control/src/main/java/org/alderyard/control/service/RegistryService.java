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
 * The leases of backend servers and hosts, which only the leader keeps.
 *
 * <p>A renewal stays in the leader's memory; the log gets what changes the view: a registration, a
 * leaving server, the end of a lease.
 */
final class RegistryService {
  /** How long a host may act on a view without a confirmation, in milliseconds. */
  static final int VIEW_LEASE_MILLIS = 3_000;

  /**
   * How long after the end of its lease a host stays registered, in milliseconds.
   *
   * <p>It counts no longer for "in force" meanwhile. The removal is a change for all hosts, and a
   * leader that is busy for some seconds must not remove many that live.
   */
  static final int REMOVAL_DELAY_MILLIS = 7_000;

  /** The shortest and the longest lease of a backend server, in milliseconds. */
  static final int MIN_SERVER_LEASE_MILLIS = 100;

  static final int MAX_SERVER_LEASE_MILLIS = 60_000;

  private static final Logger log = LoggerFactory.getLogger(RegistryService.class);
  private static final int PROPOSAL_PAUSE_MILLIS = 1_000;
  private static final long NO_TERM = -1;

  private final ControlLog controlLog;
  private final ControlState state;
  private final Proposer proposer;
  private final MonotonicClock clock;
  private final Object lock = new Object();
  // Guarded by lock.
  private final LeaseTable<ServerId> serverLeases = new LeaseTable<>();
  private final LeaseTable<HostId> hostLeases = new LeaseTable<>();
  private final Map<HostId, ViewVersion> acknowledged = new HashMap<>();
  private final Map<ServerId, Heard> heard = new HashMap<>();
  private long leasesOfTerm = NO_TERM;
  private ViewVersion leasesOfVersion = ViewVersion.NONE;

  RegistryService(
      ControlLog controlLog, ControlState state, Proposer proposer, MonotonicClock clock) {
    this.controlLog = controlLog;
    this.state = state;
    this.proposer = proposer;
    this.clock = clock;
  }

  /** Takes announcements, once a quorum has confirmed that this host leads. */
  CompletableFuture<AnnounceReply> announce(AnnounceRequest request) {
    long receivedMillis = clock.nowMillis();
    // Refuses names that no server can have before anything is ordered.
    request.getAnnouncementsList().forEach(a -> StateCodec.server(a.getServer()));
    return controlLog.readBarrier().thenCompose(done -> announce(request, receivedMillis));
  }

  private CompletableFuture<AnnounceReply> announce(AnnounceRequest request, long receivedMillis) {
    AnnounceReply.Builder reply = AnnounceReply.newBuilder();
    List<CompletableFuture<?>> proposals = new ArrayList<>();
    for (Announcement received : request.getAnnouncementsList()) {
      Announcement announcement = bounded(received);
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
      if (overtaken(announcement, server)) {
        log.info(
            "event=announcement-ignored server={} reason=overtaken incarnation={} sequence={}",
            server.id(),
            server.incarnation(),
            announcement.getSequence());
        continue;
      }
      renew(server, receivedMillis + announcement.getLeaseMillis());
      if (changes(announcement, server, known)) {
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

  /** An announcement that was passed by a later one of the same server says nothing new. */
  private boolean overtaken(Announcement announcement, ServerState server) {
    if (announcement.getSequence() == 0) {
      return false;
    }
    synchronized (lock) {
      startTerm();
      Heard last = heard.get(server.id());
      boolean late =
          last != null
              && last.incarnation() == server.incarnation()
              && last.sequence() > announcement.getSequence();
      if (!late) {
        heard.put(server.id(), new Heard(server.incarnation(), announcement.getSequence()));
      }
      return late;
    }
  }

  private record Heard(long incarnation, long sequence) {}

  private static Announcement bounded(Announcement announcement) {
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

  private boolean changes(
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
      startTerm();
      serverLeases.renew(server.id(), server.incarnation(), endMillis);
    }
  }

  /** Renews a host's lease, once a quorum has confirmed that this host leads. */
  CompletableFuture<HeartbeatReply> heartbeat(HeartbeatRequest request) {
    // From before the confirmation: a later leader gives every lease a full period from its
    // election, which can't be earlier than this.
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
          ErrorCode.PEER_REJECTED, "a newer process runs under the name of host " + host.id());
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
      startTerm();
      hostLeases.renew(host.id(), host.incarnation(), receivedMillis + VIEW_LEASE_MILLIS);
      acknowledged.put(host.id(), StateCodec.version(request.getRunning()));
    }
  }

  /** Returns on how many of the hosts a version is in force; only the leader knows. */
  Progress progress(ViewVersion version) {
    synchronized (lock) {
      startTerm();
      long nowMillis = clock.nowMillis();
      List<HostId> hosts =
          state.view().hosts().keySet().stream().filter(host -> mayAct(host, nowMillis)).toList();
      long inForce =
          hosts.stream()
              .filter(
                  host -> acknowledged.getOrDefault(host, ViewVersion.NONE).compareTo(version) >= 0)
              .count();
      return new Progress((int) inForce, hosts.size());
    }
  }

  /** A host without an entry may hold a lease that an earlier leader gave it. */
  private boolean mayAct(HostId host, long nowMillis) {
    return hostLeases.find(host).filter(lease -> lease.endMillis() <= nowMillis).isEmpty();
  }

  /** How far the hosts have followed. */
  record Progress(int inForce, int expected) {}

  /** Ends the leases that ran out; does nothing on a host that does not lead. */
  void sweep() {
    if (!controlLog.leading()) {
      return;
    }
    List<LeaseTable.Expired<ServerId>> servers;
    List<LeaseTable.Expired<HostId>> hosts;
    long nowMillis = clock.nowMillis();
    synchronized (lock) {
      startTerm();
      fillIn(nowMillis);
      servers = serverLeases.expired(nowMillis);
      hosts = hostLeases.expired(nowMillis - REMOVAL_DELAY_MILLIS);
      // An end that is not ordered, since the quorum is lost, is proposed again after a pause.
      long againMillis = nowMillis + PROPOSAL_PAUSE_MILLIS;
      servers.forEach(s -> serverLeases.renew(s.holder(), s.incarnation(), againMillis));
      hosts.forEach(
          h -> hostLeases.renew(h.holder(), h.incarnation(), againMillis - REMOVAL_DELAY_MILLIS));
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
   * Forgets the leases of an earlier term.
   *
   * <p>Guards against a leader that was away: its table holds renewals from before, and would end
   * leases that another leader has renewed since. After this every lease gets a full period.
   */
  private void startTerm() {
    long term = controlLog.term();
    if (term == leasesOfTerm) {
      return;
    }
    leasesOfTerm = term;
    leasesOfVersion = ViewVersion.NONE;
    serverLeases.clear();
    hostLeases.clear();
    acknowledged.clear();
    heard.clear();
  }

  private static boolean ended(ServerStatus status) {
    return status == ServerStatus.EXPIRED || status == ServerStatus.GONE;
  }

  /** Gives a full period to who is in the view without a lease, and drops who is no longer. */
  private void fillIn(long nowMillis) {
    View view = state.view();
    if (view.version().equals(leasesOfVersion)) {
      return;
    }
    leasesOfVersion = view.version();
    serverLeases.keepOnly(id -> view.server(id).filter(s -> !ended(s.status())).isPresent());
    heard.keySet().retainAll(view.servers().keySet());
    hostLeases.keepOnly(id -> view.hosts().containsKey(id));
    acknowledged.keySet().retainAll(view.hosts().keySet());
    for (ServerState server : view.servers().values()) {
      boolean covered =
          ended(server.status())
              || serverLeases
                  .find(server.id())
                  .filter(lease -> lease.incarnation() >= server.incarnation())
                  .isPresent();
      if (!covered) {
        int leaseMillis =
            Math.max(MIN_SERVER_LEASE_MILLIS, state.serverLeaseMillis(server.id().value()));
        serverLeases.renew(server.id(), server.incarnation(), nowMillis + leaseMillis);
      }
    }
    for (HostState host : view.hosts().values()) {
      boolean covered =
          hostLeases
              .find(host.id())
              .filter(lease -> lease.incarnation() >= host.incarnation())
              .isPresent();
      if (!covered) {
        hostLeases.renew(host.id(), host.incarnation(), nowMillis + VIEW_LEASE_MILLIS);
      }
    }
  }
}
