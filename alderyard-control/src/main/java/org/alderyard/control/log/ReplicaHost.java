package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.Role;
import org.alderyard.control.store.DataFolder;
import org.alderyard.control.store.Recovered;
import org.alderyard.control.store.ReplicaStore;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.MemberList;
import org.alderyard.protocol.generated.raft.RaftAck;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.wire.PeerIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings a replica into its cluster and feeds it; used on the loop, but for the two handlers. */
final class ReplicaHost {
  private static final Logger log = LoggerFactory.getLogger(ReplicaHost.class);
  private static final int JOINING_KEPT_ROUNDS = 20;
  // Longer than a restart or a short partition takes, so that those change no membership.
  private static final long LOST_AFTER_MILLIS = 6_000;
  // A learner that waits for a seat only has to be remembered by the leader.
  private static final long WAITING_ROUND_MILLIS = 2_000;

  private final ReplicatedLogBuilder builder;
  private final SerialLoop loop;
  private final Executor saver;
  private final PendingProposals pending;
  private final DataFolder folder;
  private final Member self;
  private final Map<String, InetSocketAddress> listed = new LinkedHashMap<>();
  private final Map<Long, Member> senders = new HashMap<>();
  private final Map<String, Joining> joining = new HashMap<>();
  private final JoinRounds rounds;
  private long nextRoundMillis;
  private String lastReason = "";
  // Not null while this host takes part in the log.
  private LogDriver driver;
  private boolean closed;

  ReplicaHost(
      ReplicatedLogBuilder builder, SerialLoop loop, Executor saver, PendingProposals pending) {
    this.builder = builder;
    this.loop = loop;
    this.saver = saver;
    this.pending = pending;
    builder.members.forEach(address -> listed.put(endpoint(address), address));
    folder = DataFolder.open(builder.dataFolder, builder.clusterId, builder.host, builder.random);
    self =
        Member.newBuilder()
            .setReplicaId(folder.identity().getReplicaId())
            .setHostId(builder.host.value())
            .setAddress(endpoint(builder.address))
            .build();
    rounds =
        new JoinRounds(builder.links, loop, builder.options, self, this::others, this::onRound);
    try {
      if (folder.identity().getFormed()) {
        takePart();
      }
    } catch (RuntimeException unusable) {
      folder.close();
      throw unusable;
    }
    builder.dispatcher.serve(RaftMethods.MESSAGES, this::onMessages);
    builder.dispatcher.serve(RaftMethods.JOIN, this::onJoin);
  }

  /** The hosts to ask: to found, those that are listed; to join, any control host. */
  private Map<String, InetSocketAddress> others() {
    Map<String, InetSocketAddress> others = new LinkedHashMap<>(listed);
    if (!founding()) {
      builder
          .open
          .orElseThrow()
          .controlHosts()
          .get()
          .forEach(address -> others.put(endpoint(address), address));
    }
    others.remove(self.getAddress());
    return others;
  }

  /** A host that has recorded founders goes on with them, also after a restart. */
  private boolean founding() {
    if (builder.open.isEmpty()) {
      return true;
    }
    boolean begun = folder.identity().getFounders().getMembersCount() > 0;
    return driver == null
        && (builder.open.get().mayFound() || begun)
        && listed.containsKey(self.getAddress());
  }

  private static String endpoint(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  long nowMillis() {
    return builder.clock.nowMillis();
  }

  Optional<RaftCore> core() {
    return Optional.ofNullable(driver).map(LogDriver::core);
  }

  void perform() {
    if (driver != null) {
      driver.perform();
    }
  }

  private void takePart() {
    Membership founders = new Membership(folder.identity().getFounders());
    ReplicaStore store = new ReplicaStore(folder, founders);
    Recovered recovered = store.recovered();
    RaftCore core =
        new RaftCore(
            self.getReplicaId(),
            builder.options.raft(),
            recovered.hardState(),
            recovered.snapshot(),
            recovered.entries(),
            builder.random,
            nowMillis());
    Transport transport =
        new Transport(builder.links, loop, builder.options, self, this::addressOf);
    driver =
        new LogDriver(
            core,
            store,
            builder.machine,
            transport,
            pending,
            builder.options,
            loop,
            saver,
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
        .flatMap(member -> reachable(member.getAddress()));
  }

  private Optional<InetSocketAddress> reachable(String endpoint) {
    Optional<InetSocketAddress> known = Optional.ofNullable(listed.get(endpoint));
    if (known.isPresent() || builder.open.isEmpty()) {
      return known;
    }
    return Optional.of(address(endpoint));
  }

  static InetSocketAddress address(String endpoint) {
    int colon = endpoint.lastIndexOf(':');
    return new InetSocketAddress(
        endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)));
  }

  void tick(long nowMillis) {
    if (closed) {
      return;
    }
    if (driver != null) {
      driver.core().tick(nowMillis);
      repair(nowMillis);
      noteAdmission();
    }
    if (needsJoin() && nowMillis >= nextRoundMillis) {
      nextRoundMillis = nowMillis + roundMillis();
      rounds.start(driver != null);
    }
  }

  private long roundMillis() {
    boolean waits =
        driver != null
            && driver.core().leader().isPresent()
            && driver.core().membership().member(self.getReplicaId()).isPresent();
    return waits ? WAITING_ROUND_MILLIS : builder.options.joinInterval().toMillis();
  }

  /**
   * A replica asks to be taken in only once; if it is voted out later it stays out. With an open
   * membership it comes back as a learner, and asks whenever it sees no leader: it may have been
   * voted out while it was away, and nobody else would tell it.
   */
  private boolean needsJoin() {
    if (builder.open.isPresent()) {
      return driver == null
          || driver.core().leader().isEmpty()
          || !driver.core().membership().isVoter(self.getReplicaId());
    }
    return driver == null || (isNewcomer() && !folder.identity().getAdmitted());
  }

  private boolean isNewcomer() {
    return folder.identity().getFounders().getMembersCount() == 0;
  }

  private void noteAdmission() {
    boolean admitted = folder.identity().getAdmitted() || !isNewcomer();
    if (!admitted && driver.core().membership().isVoter(self.getReplicaId())) {
      folder.write(folder.identity().toBuilder().setAdmitted(true).build());
      log.info("event=admitted replica={}", self.getReplicaId());
    }
  }

  private void onRound(Map<String, JoinReply> replies) {
    if (closed || driver != null) {
      return;
    }
    Formation.Decision decision =
        founding()
            ? Formation.decide(self, folder.identity(), rounds.others(), replies)
            : Formation.decideToJoin(self, replies);
    if (!decision.reason().equals(lastReason)) {
      lastReason = decision.reason();
      log.info(
          "event=formation action={} reason={} answered={} of={}",
          decision.action(),
          decision.reason(),
          replies.size(),
          rounds.others().size());
    }
    switch (decision.action()) {
      case WAIT -> {}
      case RECORD -> record(decision.founders(), false);
      case FOUND, JOIN -> {
        record(decision.founders(), true);
        takePart();
      }
      default -> throw new IllegalStateException("action " + decision.action());
    }
  }

  private void record(MemberList founders, boolean formed) {
    folder.write(folder.identity().toBuilder().setFounders(founders).setFormed(formed).build());
  }

  private void repair(long nowMillis) {
    RaftCore core = driver.core();
    if (core.role() != Role.LEADER || joining.isEmpty()) {
      return;
    }
    long keptMillis = JOINING_KEPT_ROUNDS * builder.options.joinInterval().toMillis();
    joining
        .values()
        .removeIf(
            entry ->
                nowMillis - entry.heardMillis > keptMillis
                    || core.membership().isVoter(entry.member.getReplicaId()));
    Optional<MembershipChange> change =
        plan(core).next(joining.values().stream().map(Joining::member).toList());
    if (change.isPresent() && core.change(change.get()) == Verdict.ACCEPTED) {
      log.info("event=membership-repair change=\"{}\" term={}", change.get(), core.term());
    }
  }

  private RepairPlan plan(RaftCore core) {
    if (builder.open.isEmpty()) {
      return new RepairPlan(core.membership(), core::hasCaughtUp);
    }
    return new RepairPlan(
        core.membership(),
        core::hasCaughtUp,
        builder.open.get().voters(),
        replicaId -> core.silentMillis(replicaId) > LOST_AFTER_MILLIS);
  }

  /** The receipt is answered at once; what the messages ask for is answered by messages. */
  private CompletableFuture<RaftAck> onMessages(PeerIdentity peer, RaftBatch batch) {
    if (!batch.getSender().getHostId().equals(peer.host().value())) {
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.PEER_REJECTED,
              "host " + peer.host() + " sends as host " + batch.getSender().getHostId()));
    }
    long nowMillis = nowMillis();
    if (!loop.submit(() -> receive(batch, nowMillis))) {
      return CompletableFuture.failedFuture(stopped());
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
    CompletableFuture<JoinReply> answer = new CompletableFuture<>();
    long nowMillis = nowMillis();
    boolean taken =
        loop.submit(
            () -> {
              Member member = request.getSelf();
              boolean own = member.getHostId().equals(peer.host().value());
              boolean welcome = builder.open.isPresent() || listed.containsKey(member.getAddress());
              if (request.getNewcomer() && own && welcome) {
                joining.put(member.getAddress(), new Joining(member, nowMillis));
              }
              answer.complete(
                  JoinReply.newBuilder()
                      .setSelf(self)
                      .setFounders(folder.identity().getFounders())
                      .setFormed(folder.identity().getFormed())
                      .build());
            });
    if (!taken) {
      answer.completeExceptionally(stopped());
    }
    return answer;
  }

  private static AlderyardException stopped() {
    return AlderyardException.notRun(ErrorCode.DRAINING, "the log of this host is closed");
  }

  LogStatus status() {
    if (driver == null) {
      return LogStatus.NONE;
    }
    RaftCore core = driver.core();
    Optional<HostId> leader = Optional.empty();
    if (core.leader().isPresent()) {
      long leaderId = core.leader().getAsLong();
      leader =
          core.membership()
              .member(leaderId)
              .or(() -> Optional.ofNullable(senders.get(leaderId)))
              .map(member -> new HostId(member.getHostId()));
    }
    return new LogStatus(
        core.term(),
        core.role() == Role.LEADER,
        core.isEstablished(),
        leader,
        driver.appliedIndex(),
        driver.snapshotIndex(),
        core.membership());
  }

  void close() {
    closed = true;
    if (driver != null) {
      driver.close();
      driver = null;
    }
    folder.close();
  }

  private record Joining(Member member, long heardMillis) {}
}
