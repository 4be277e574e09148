package org.alderyard.control.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerFingerprint;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
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
import org.alderyard.protocol.health.ReadReportTable;
import org.alderyard.protocol.view.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers backend servers and hosts, and ends those whose lease has expired.
 *
 * <p>Renewals stay in the leader's memory. Only changes of the view go to the log: registrations,
 * servers that leave and expired leases.
 */
final class RegistryService {
  /** Minimum lease of a backend server, in milliseconds. */
  static final int MIN_SERVER_LEASE_MILLIS = 100;

  static final int MAX_SERVER_LEASE_MILLIS = 60_000;

  private static final Logger log = LoggerFactory.getLogger(RegistryService.class);

  private final ControlLog controlLog;
  private final ControlState state;
  private final Proposer proposer;
  private final MonotonicClock clock;
  private final LeaderLeases leases;
  private volatile ReplicaAdmission admission = ReplicaAdmission.ALL;
  private final ReadReportTable readReports = new ReadReportTable();

  RegistryService(
      ControlLog controlLog, ControlState state, Proposer proposer, MonotonicClock clock) {
    this.controlLog = controlLog;
    this.state = state;
    this.proposer = proposer;
    this.clock = clock;
    leases = new LeaderLeases(controlLog, state, clock);
  }

  /** Sets what decides whether an announcement may be confirmed; without it, all are. */
  void admitBy(ReplicaAdmission newAdmission) {
    admission = newAdmission;
  }

  LeaderLeases leases() {
    return leases;
  }

  /**
   * Processes announcements of servers, once a quorum has confirmed that this host is the leader.
   */
  CompletableFuture<AnnounceReply> announce(AnnounceRequest request) {
    long receivedMillis = clock.nowMillis();
    // Rejects invalid names before any command is proposed, so that a request has no partial
    // effect.
    request
        .getAnnouncementsList()
        .forEach(announcement -> StateCodec.server(announcement.getServer()));
    request.getEndedList().forEach(ended -> new ServerId(ended.getServer()));
    return controlLog.readBarrier().thenCompose(done -> announce(request, receivedMillis));
  }

  private CompletableFuture<AnnounceReply> announce(AnnounceRequest request, long receivedMillis) {
    AnnounceReply.Builder reply = AnnounceReply.newBuilder();
    List<CompletableFuture<?>> proposals = new ArrayList<>();
    Map<ServerState, Boolean> announced = new LinkedHashMap<>();
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
      if (!leases.recordAnnouncement(server, announcement.getSequence())) {
        log.info(
            "event=announcement-ignored server={} reason=overtaken incarnation={} sequence={}",
            server.id(),
            server.incarnation(),
            announcement.getSequence());
        continue;
      }
      readReports.recordCold(
          ServerFingerprint.of(server.id(), server.incarnation()),
          announcement.getColdRemainingMillis(),
          clock.nowNanos());
      leases.renewServer(server, receivedMillis, announcement.getLeaseMillis());
      announced.put(
          server, known.filter(state -> state.incarnation() == server.incarnation()).isEmpty());
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
        .thenCompose(done -> admit(announced))
        .thenApply(done -> reply.build());
  }

  /** Fails if one of the servers may not be confirmed; it announces itself again. */
  private CompletableFuture<Void> admit(Map<ServerState, Boolean> announced) {
    CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    for (Map.Entry<ServerState, Boolean> entry : announced.entrySet()) {
      CompletableFuture<Boolean> admitted = admission.admit(entry.getKey(), entry.getValue());
      result = result.thenCombine(admitted, (done, isAdmitted) -> confirm(entry, isAdmitted));
    }
    return result;
  }

  private static Void confirm(Map.Entry<ServerState, Boolean> entry, boolean admitted) {
    if (!admitted) {
      throw AlderyardException.notRun(
          ErrorCode.NO_PRIMARY,
          "a promotion of group "
              + entry.getKey().group()
              + " is in progress, and replica "
              + entry.getKey().id()
              + " could not be paused; announce it again");
    }
    return null;
  }

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
                leases.renewHost(host, StateCodec.version(request.getRunning()), receivedMillis);
              }
              HeartbeatReply.Builder reply =
                  HeartbeatReply.newBuilder()
                      .setCurrent(StateCodec.versionMessage(state.view().version()))
                      .setLeaseMillis(LeaderLeases.VIEW_LEASE_MILLIS);
              if (request.getWantsReads()) {
                reply
                    .setHasReads(true)
                    .addAllReads(
                        readReports.exchange(
                            host.id().value(), request.getReadsList(), clock.nowNanos()));
              }
              return reply.build();
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

  /** Proposes the end of expired leases; does nothing on a host that is not the leader. */
  void expireLeases() {
    if (!controlLog.isLeader()) {
      return;
    }
    LeaderLeases.ExpiredLeases expired = leases.takeExpired();
    expired.servers().forEach(server -> expire(server));
    expired.hosts().forEach(host -> expire(host.holder(), host.incarnation(), "lease-expired"));
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
}
