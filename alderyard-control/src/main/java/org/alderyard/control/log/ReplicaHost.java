package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Addresses;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.Role;
import org.alderyard.control.store.DataFolder;
import org.alderyard.control.store.RecoveredState;
import org.alderyard.control.store.ReplicaStore;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftAck;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.Replacement;
import org.alderyard.protocol.wire.PeerIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Joins the replica of this host to its cluster, and passes messages and clock ticks to its Raft
 * core. Used only on the serial loop, except for the two protocol handlers.
 */
final class ReplicaHost {
  private static final Logger log = LoggerFactory.getLogger(ReplicaHost.class);
  // A learner that waits to become a voter repeats its request only so that the leader keeps it.
  private static final long LEARNER_JOIN_INTERVAL_MILLIS = 2_000;

  private final ReplicatedLogBuilder builder;
  private final SerialLoop loop;
  private final Executor snapshotExecutor;
  private final PendingRequests pending;
  private final DataFolder folder;
  private final JoinRecord joinRecord;
  private final Member self;
  private final MemberAddresses addresses;
  private final Map<Long, Member> senders = new HashMap<>();
  private final MembershipRepair repair;
  private final JoinPoller joinPoller;
  private final LostDiskProbe lostDiskProbe;
  private final EndedProcessProbe endedProcessProbe;
  private long nextJoinMillis;
  private String lastLoggedReason = "";
  // Not null while the log is open.
  private LogDriver driver;
  private boolean leaving;
  private boolean closed;

  ReplicaHost(
      ReplicatedLogBuilder builder,
      SerialLoop loop,
      WorkerPool workers,
      Executor snapshotExecutor,
      PendingRequests pending) {
    this.builder = builder;
    this.loop = loop;
    this.snapshotExecutor = snapshotExecutor;
    this.pending = pending;
    addresses = new MemberAddresses(builder.members, builder.openMembership.isPresent());
    folder = DataFolder.open(builder.dataFolder, builder.clusterId, builder.host, builder.random);
    joinRecord = new JoinRecord(folder);
    self =
        Member.newBuilder()
            .setReplicaId(folder.identity().getReplicaId())
            .setHostId(builder.host.value())
            .setAddress(Addresses.text(builder.address))
            .build();
    repair = new MembershipRepair(builder.openMembership, builder.options.joinInterval());
    lostDiskProbe = new LostDiskProbe(builder.links, loop, builder.options, self, this::core);
    endedProcessProbe =
        new EndedProcessProbe(
            builder.links,
            loop,
            workers,
            this::core,
            member -> addresses.resolve(member.getAddress()),
            this::onEndedProcess);
    joinPoller =
        new JoinPoller(builder.links, loop, builder.options, this::joinTargets, this::onJoinRound);
    try {
      if (folder.identity().getFormed()) {
        openLog();
      }
    } catch (RuntimeException failure) {
      folder.close();
      throw failure;
    }
    builder.links.onDisconnect(
        address -> loop.submit(() -> endedProcessProbe.connectionEnded(address)));
    builder.dispatcher.serveOnNetworkThread(RaftMethods.MESSAGES, this::onMessages);
    builder.dispatcher.serve(RaftMethods.JOIN, this::onJoin);
  }

  /**
   * Returns the hosts to send join requests to: the listed members to found a cluster, and also all
   * known control hosts to join one.
   */
  private Map<String, InetSocketAddress> joinTargets() {
    Map<String, InetSocketAddress> joinTargets = addresses.listed();
    if (!mayFoundCluster()) {
      builder
          .openMembership
          .orElseThrow()
          .controlHosts()
          .get()
          .forEach(address -> joinTargets.put(Addresses.text(address), address));
    }
    joinTargets.remove(self.getAddress());
    return joinTargets;
  }

  /**
   * Returns whether this host may found the cluster instead of joining one. A host that has
   * recorded founders continues with them after a restart.
   */
  private boolean mayFoundCluster() {
    if (builder.openMembership.isEmpty()) {
      return true;
    }
    return driver == null
        && (builder.openMembership.get().mayFound() || joinRecord.isFounder())
        && addresses.isListed(self.getAddress());
  }

  long nowMillis() {
    return builder.clock.nowMillis();
  }

  Optional<RaftCore> core() {
    return Optional.ofNullable(driver).map(LogDriver::core);
  }

  void performEffects() {
    if (driver != null) {
      driver.performEffects();
    }
  }

  private void openLog() {
    Membership founders = new Membership(folder.identity().getFounders());
    ReplicaStore store = new ReplicaStore(folder, founders);
    RecoveredState recovered = store.recovered();
    RaftCore core =
        new RaftCore(
            self.getReplicaId(),
            builder.options.raft(),
            recovered.hardState(),
            recovered.snapshot(),
            recovered.entries(),
            builder.random,
            nowMillis());
    RaftTransport transport =
        new RaftTransport(
            builder.links, loop, builder.options, self, this::addressOf, this::onEndedProcess);
    driver =
        new LogDriver(
            core,
            store,
            builder.stateMachine,
            transport,
            pending,
            builder.options,
            loop,
            snapshotExecutor,
            builder.clock);
    log.info(
        "event=log-opened replica={} term={} snapshot={} last={} torn-bytes={}",
        self.getReplicaId(),
        core.term(),
        recovered.snapshot().lastIndex(),
        core.lastIndex(),
        recovered.tornBytes());
  }

  private Optional<InetSocketAddress> addressOf(long replicaId) {
    if (driver == null) {
      return Optional.empty();
    }
    return driver
        .core()
        .membership()
        .member(replicaId)
        .or(() -> Optional.ofNullable(senders.get(replicaId)))
        .flatMap(member -> addresses.resolve(member.getAddress()));
  }

  void tick(long nowMillis) {
    if (closed) {
      return;
    }
    if (driver != null) {
      driver.core().tick(nowMillis);
      repair.repair(driver.core(), nowMillis);
      recordAdmission();
    }
    if (needsToJoin() && nowMillis >= nextJoinMillis) {
      nextJoinMillis = nowMillis + joinIntervalMillis();
      joinPoller.startRound(joinRequest());
    }
  }

  /**
   * Returns the time before which {@link #tick(long)} has nothing to do. While the membership may
   * have to change, that is the next interval of the options, since the reasons have no deadline.
   */
  long nextTickMillis() {
    if (closed) {
      return Long.MAX_VALUE;
    }
    long nextMillis = needsToJoin() ? nextJoinMillis : Long.MAX_VALUE;
    if (driver == null) {
      return nextMillis;
    }
    nextMillis = Math.min(nextMillis, driver.core().nextTickMillis());
    boolean membershipPending = repair.isPending(driver.core()) || joinRecord.awaitsAdmission();
    return membershipPending
        ? Math.min(nextMillis, nowMillis() + builder.options.tick().toMillis())
        : nextMillis;
  }

  private void onEndedProcess(long replicaId) {
    if (driver == null) {
      return;
    }
    driver.core().recordEndedProcess(replicaId, nowMillis());
    repair.repair(driver.core(), nowMillis());
  }

  /** Dates the proposal or read that follows. */
  void advanceTo(long nowMillis) {
    if (driver != null) {
      driver.core().advanceTo(nowMillis);
    }
  }

  private long joinIntervalMillis() {
    boolean awaitsPromotion =
        driver != null
            && driver.core().leader().isPresent()
            && driver.core().membership().member(self.getReplicaId()).isPresent();
    return awaitsPromotion
        ? LEARNER_JOIN_INTERVAL_MILLIS
        : builder.options.joinInterval().toMillis();
  }

  /**
   * Returns whether this replica has to send join requests. With listed members, a replica joins
   * only once, and does not rejoin after its removal. With an open membership, a removed replica
   * rejoins as a learner. The replica then sends join requests whenever it knows no leader, since
   * it may have been removed while it was unreachable, and other hosts do not notify it.
   */
  private boolean needsToJoin() {
    if (leaving) {
      return false;
    }
    if (builder.openMembership.isPresent()) {
      return driver == null
          || driver.core().leader().isEmpty()
          || !driver.core().membership().isVoter(self.getReplicaId());
    }
    return driver == null || joinRecord.awaitsAdmission();
  }

  private JoinRequest joinRequest() {
    return JoinRequest.newBuilder()
        .setSelf(self.toBuilder().setSuccessor(joinRecord.isNewSuccessor()))
        .setNewcomer(driver != null)
        .build();
  }

  private void recordAdmission() {
    if (joinRecord.awaitsAdmission() && driver.core().membership().isVoter(self.getReplicaId())) {
      joinRecord.recordAdmission();
      log.info("event=admitted replica={}", self.getReplicaId());
    }
  }

  private void onJoinRound(Map<String, JoinReply> replies) {
    if (closed || driver != null) {
      return;
    }
    Formation.Decision decision =
        mayFoundCluster()
            ? Formation.decide(self, folder.identity(), joinPoller.others(), replies)
            : Formation.decideToJoin(self, replies);
    if (!decision.reason().equals(lastLoggedReason)) {
      lastLoggedReason = decision.reason();
      log.info(
          "event=formation action={} reason={} answered={} of={}",
          decision.action(),
          decision.reason(),
          replies.size(),
          joinPoller.others().size());
    }
    switch (decision.action()) {
      case WAIT -> {}
      case RECORD -> joinRecord.recordFounders(decision.founders(), false);
      case FOUND -> {
        joinRecord.recordFounders(decision.founders(), true);
        openLog();
      }
      case JOIN -> {
        joinRecord.recordJoin(decision.founders(), joinsExistingCluster());
        openLog();
      }
      default -> throw new IllegalStateException("action " + decision.action());
    }
  }

  /** A host of the first start may join too, if the cluster has more hosts than founders. */
  private boolean joinsExistingCluster() {
    return builder.openMembership.map(open -> !open.mayFound()).orElse(false);
  }

  /**
   * Hands the vote of this replica over to a learner. Completes at once if this replica has no vote
   * or the voters are fixed by the settings; never fails.
   */
  CompletableFuture<Replacement> handOverVote(WorkerPool workers, long timeoutMillis) {
    boolean votes =
        driver != null
            && builder.openMembership.isPresent()
            && driver.core().membership().isVoter(self.getReplicaId());
    if (!votes) {
      return CompletableFuture.completedFuture(Replacement.REPLACEMENT_UNKNOWN);
    }
    leaving = true;
    List<InetSocketAddress> others =
        driver.core().membership().members().stream()
            .filter(member -> member.getReplicaId() != self.getReplicaId())
            .flatMap(member -> addresses.resolve(member.getAddress()).stream())
            .toList();
    return new VoteHandOver(builder.links, workers, self, builder.options)
        .run(others, timeoutMillis);
  }

  /** Acknowledges the receipt immediately; Raft replies are sent as separate messages. */
  private CompletableFuture<RaftAck> onMessages(PeerIdentity peer, RaftBatch batch) {
    if (!batch.getSender().getHostId().equals(peer.host().value())) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.PEER_REJECTED,
              "host " + peer.host() + " sent messages as host " + batch.getSender().getHostId()));
    }
    long nowMillis = nowMillis();
    if (!loop.submit(() -> receive(batch, nowMillis))) {
      return CompletableFuture.failedFuture(logClosed());
    }
    return CompletableFuture.completedFuture(RaftAck.getDefaultInstance());
  }

  private void receive(RaftBatch batch, long nowMillis) {
    if (driver == null) {
      return;
    }
    senders.put(batch.getSender().getReplicaId(), batch.getSender());
    for (RaftMessage message : batch.getMessagesList()) {
      if (message.getFrom() == batch.getSender().getReplicaId()) {
        driver.core().receive(message, nowMillis);
      }
    }
  }

  private CompletableFuture<JoinReply> onJoin(PeerIdentity peer, JoinRequest request) {
    CompletableFuture<JoinReply> reply = new CompletableFuture<>();
    long nowMillis = nowMillis();
    boolean submitted =
        loop.submit(
            () -> {
              Member member = request.getSelf();
              boolean fromSender = member.getHostId().equals(peer.host().value());
              boolean permitted =
                  builder.openMembership.isPresent() || addresses.isListed(member.getAddress());
              if (request.getNewcomer() && fromSender && permitted) {
                repair.recordJoin(member, nowMillis);
                addresses
                    .resolve(member.getAddress())
                    .ifPresent(address -> lostDiskProbe.replicaJoins(member, address));
              }
              Replacement replacement =
                  request.getLeaving() && fromSender && driver != null
                      ? repair.replace(driver.core(), member.getReplicaId(), nowMillis)
                      : Replacement.REPLACEMENT_UNKNOWN;
              reply.complete(
                  JoinReply.newBuilder()
                      .setReplacement(replacement)
                      .setSelf(self)
                      .setFounders(folder.identity().getFounders())
                      .setFormed(folder.identity().getFormed())
                      .build());
            });
    if (!submitted) {
      reply.completeExceptionally(logClosed());
    }
    return reply;
  }

  private static AlderyardException logClosed() {
    return AlderyardException.notRun(ErrorCode.DRAINING, "the log of this host is closed");
  }

  LogStatus status() {
    if (driver == null) {
      return LogStatus.NONE;
    }
    RaftCore core = driver.core();
    Optional<Member> leader = Optional.empty();
    if (core.leader().isPresent()) {
      long leaderId = core.leader().getAsLong();
      leader =
          core.membership().member(leaderId).or(() -> Optional.ofNullable(senders.get(leaderId)));
    }
    return new LogStatus(
        core.term(),
        core.role() == Role.LEADER,
        core.hasCommittedInTerm(),
        leader.map(member -> new HostId(member.getHostId())),
        leader.flatMap(member -> addresses.resolve(member.getAddress())),
        driver.appliedIndex(),
        driver.snapshotIndex(),
        core.membership());
  }

  /** Makes writes that wait for a full disk fail, so that the log can stop. Thread-safe. */
  void abandonWrites() {
    folder.abandonWrites();
  }

  void close() {
    closed = true;
    if (driver != null) {
      driver.close();
      driver = null;
    }
    folder.close();
  }
}
