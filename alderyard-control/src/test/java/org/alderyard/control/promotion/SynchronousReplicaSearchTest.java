package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the search for a replica that holds all acknowledged commits against model replicas. */
class SynchronousReplicaSearchTest {
  private static final long TERM = 3;
  private static final int SEEDS = 2_000;
  private static final int MAX_REPLICAS = 4;
  private static final int NEWCOMER_ONE_IN = 6;

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final List<Replica> replicas = new ArrayList<>();
  private Runnable beforeCall = () -> {};
  private Optional<ServerId> calledServer = Optional.empty();
  private boolean leadershipConfirmed = true;
  // Restarts that the control state learns of only with the replica's next announcement.
  private final Set<ServerId> unknownRestarts = ConcurrentHashMap.newKeySet();
  private final Set<ServerId> knownRestarts = ConcurrentHashMap.newKeySet();

  @AfterEach
  void close() {
    workers.close();
  }

  private static final class Replica {
    private final ServerState server;
    private long received;
    private boolean reachable = true;
    private boolean paused;
    private boolean refusesPause;
    private int busyReplies;

    private Replica(ServerState server, long received) {
      this.server = server;
      this.received = received;
    }
  }

  private Replica add(String id, ServerStatus status, long received) {
    ServerState server =
        new ServerState(
            new ServerId(id),
            1,
            new GroupId("g1"),
            new ZoneName("z"),
            new InetSocketAddress("127.0.0.1", 1),
            status);
    Replica replica = new Replica(server, received);
    replicas.add(replica);
    return replica;
  }

  private ReplicaChoice search(int syncReplicas, boolean primaryRuns) throws Exception {
    final int known = replicas.size();
    return new SynchronousReplicaSearch(
            replicas.stream().map(replica -> replica.server).toList(),
            new ModelStarts(),
            syncReplicas,
            primaryRuns,
            calledServer,
            () -> replicas.size() == known,
            () ->
                leadershipConfirmed
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(
                        AlderyardException.notRun(ErrorCode.NOT_LEADER, "model")),
            new ReplicaCalls(new ModelReplication(), workers),
            MonotonicClock.system())
        .run()
        .get(10, TimeUnit.SECONDS);
  }

  private static ServerId id(Replica replica) {
    return replica.server.id();
  }

  /** Guards against a choice among replicas that are not all any more. */
  @Test
  void searchFailsOnceAnotherReplicaRegisters() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12);
    add("s3", ServerStatus.ACTIVE, 10);
    assertThat(search(1, false).server()).isPresent();

    beforeCall =
        () -> {
          beforeCall = () -> {};
          add("s4", ServerStatus.ACTIVE, 14);
        };
    ReplicaChoice choice = search(1, false);
    assertThat(choice.server()).isEmpty();
    assertThat(choice.failure()).isEqualTo("replicas-changed");
  }

  // Guards against the promotion of a replica that has received nothing for a while, when one that
  // leaves has acknowledged all commits.
  @Test
  void replicaThatLeavesIsChosenIfOnlyItHoldsAllCommits() throws Exception {
    Replica leaving = add("s2", ServerStatus.LEAVING, 12);
    add("s3", ServerStatus.ACTIVE, 10);

    assertThat(search(1, false).server()).hasValue(id(leaving));
  }

  @Test
  void replicaThatStaysIsPreferredAtEqualPositions() throws Exception {
    add("s2", ServerStatus.LEAVING, 12);
    Replica staying = add("s3", ServerStatus.ACTIVE, 12);

    ReplicaChoice choice = search(1, false);

    assertThat(choice.server()).hasValue(id(staying));
    assertThat(choice.paused()).containsExactly(replicas.get(0).server);
  }

  @Test
  void searchFailsWithoutPausesIfReplicaIsNotReached() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12).reachable = false;
    add("s3", ServerStatus.ACTIVE, 12);

    ReplicaChoice choice = search(1, false);

    assertThat(choice.failure()).isEqualTo("replica-not-reached");
    assertThat(choice.paused()).isEmpty();
  }

  @Test
  void oneReplicaLessThanAcknowledgeMayBeMissing() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12).reachable = false;
    add("s3", ServerStatus.ACTIVE, 11);
    Replica best = add("s4", ServerStatus.ACTIVE, 12);

    assertThat(search(2, false).server()).hasValue(id(best));
    replicas.get(1).reachable = false;
    assertThat(search(2, false).failure()).isEqualTo("replica-not-reached");
  }

  @Test
  void busyReplicaIsAskedAgain() throws Exception {
    Replica busy = add("s2", ServerStatus.ACTIVE, 12);
    busy.busyReplies = 5;
    add("s3", ServerStatus.ACTIVE, 10);

    assertThat(search(1, false).server()).hasValue(id(busy));
  }

  @Test
  void replicaThatStaysCatchesUpWhilePrimaryRuns() throws Exception {
    add("s2", ServerStatus.LEAVING, 12);
    Replica staying = add("s3", ServerStatus.ACTIVE, 8);
    beforeCall = () -> staying.received++;

    assertThat(search(1, true).server()).hasValue(id(staying));
  }

  @Test
  void searchFailsIfReplicaThatStaysReceivesNothingWhilePrimaryRuns() throws Exception {
    add("s2", ServerStatus.LEAVING, 12);
    add("s3", ServerStatus.ACTIVE, 8);

    ReplicaChoice choice = search(1, true);

    assertThat(choice.failure()).isEqualTo("candidate-behind");
    assertThat(choice.paused()).containsExactly(replicas.get(0).server);
  }

  @Test
  void searchFailsIfReplicaIsNotPaused() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12).refusesPause = true;
    add("s3", ServerStatus.ACTIVE, 13);

    assertThat(search(1, false).failure()).isEqualTo("replica-not-paused");
  }

  // Guards against a second promotion that loses what the first promoted server acknowledges: its
  // call had no response and is executed late.
  @Test
  void serverOfPendingCallStaysCandidate() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12);
    Replica called = add("s3", ServerStatus.LEAVING, 12);
    calledServer = Optional.of(id(called));

    assertThat(search(1, false).server()).hasValue(id(called));
    add("s4", ServerStatus.ACTIVE, 12);
    called.reachable = false;
    assertThat(search(2, false).failure()).isEqualTo("called-replica-not-reached");
  }

  @Test
  void serverOfPendingCallIsNotChosenWithoutAcknowledgedCommits() throws Exception {
    Replica ahead = add("s2", ServerStatus.ACTIVE, 12);
    calledServer = Optional.of(id(add("s3", ServerStatus.ACTIVE, 10)));

    assertThat(search(1, false).server()).hasValue(id(ahead));
  }

  // Guards against a replica that a former leader pauses after the next one has resumed it.
  @Test
  void candidateIsNotPausedOnceAnotherHostLeads() throws Exception {
    Replica ahead = add("s2", ServerStatus.ACTIVE, 12);
    Replica candidate = add("s3", ServerStatus.ACTIVE, 10);
    calledServer = Optional.of(id(candidate));
    beforeCall = () -> leadershipConfirmed = !ahead.paused;

    assertThat(search(1, false).failure()).isEqualTo("leadership-not-confirmed");
    assertThat(candidate.paused).isFalse();
  }

  // Guards against replicas that stay paused: only the leader resumes them.
  @Test
  void hostThatDoesNotLeadPausesNoReplica() throws Exception {
    add("s2", ServerStatus.ACTIVE, 12);
    add("s3", ServerStatus.ACTIVE, 12);
    leadershipConfirmed = false;

    ReplicaChoice choice = search(1, false);

    assertThat(choice.failure()).isEqualTo("leadership-not-confirmed");
    assertThat(replicas.stream().noneMatch(replica -> replica.paused)).isTrue();
  }

  // Guards against the loss of acknowledged commits: the replica that had acknowledged them started
  // again without its log while the primary is away, and its position counted as complete.
  @Test
  void restartedReplicaCountsAsMissing() throws Exception {
    Replica restarted = add("s2", ServerStatus.ACTIVE, 0);
    add("s3", ServerStatus.ACTIVE, 10);
    knownRestarts.add(id(restarted));

    ReplicaChoice choice = search(1, false);

    assertThat(choice.failure()).isEqualTo("replica-restarted");
    assertThat(choice.paused()).isEmpty();
  }

  @Test
  void restartedReplicaIsNotNeededIfOthersAcknowledgeTogether() throws Exception {
    knownRestarts.add(id(add("s2", ServerStatus.ACTIVE, 12)));
    add("s3", ServerStatus.ACTIVE, 11);
    Replica best = add("s4", ServerStatus.ACTIVE, 12);

    assertThat(search(2, false).server()).hasValue(id(best));
  }

  // Guards against the same loss where the restart is not announced yet when the replica reports.
  @Test
  void restartThatIsAnnouncedAfterTheReportIsNoticed() throws Exception {
    unknownRestarts.add(id(add("s2", ServerStatus.ACTIVE, 0)));
    add("s3", ServerStatus.ACTIVE, 10);

    assertThat(search(1, false).failure()).isEqualTo("replica-restarted");
  }

  // Guards against commits that a late promotion loses: a restart ends the pause of a replica.
  @Test
  void restartedReplicaIsPausedAgainWhileCallIsPending() throws Exception {
    Replica restarted = add("s2", ServerStatus.ACTIVE, 0);
    knownRestarts.add(id(restarted));
    calledServer = Optional.of(id(add("s3", ServerStatus.ACTIVE, 10)));

    ReplicaChoice choice = search(1, false);

    assertThat(choice.failure()).isEqualTo("replica-restarted");
    assertThat(restarted.paused).isTrue();
    assertThat(choice.paused()).containsExactly(restarted.server);
  }

  // Guards against replicas that a former leader pauses and nobody resumes.
  @Test
  void hostThatDoesNotLeadPausesNoRestartedReplica() throws Exception {
    Replica restarted = add("s2", ServerStatus.ACTIVE, 0);
    knownRestarts.add(id(restarted));
    calledServer = Optional.of(id(add("s3", ServerStatus.ACTIVE, 10)));
    leadershipConfirmed = false;

    assertThat(search(1, false).failure()).isEqualTo("leadership-not-confirmed");
    assertThat(restarted.paused).isFalse();
  }

  /**
   * Replicas receive, and acknowledge, at random between the calls of the search and after it. The
   * chosen replica must hold each acknowledged commit at any later time.
   */
  @Test
  void chosenReplicaHoldsEachAcknowledgedCommit() throws Exception {
    int chosen = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      replicas.clear();
      int count = 1 + random.nextInt(MAX_REPLICAS);
      for (int i = 0; i < count; i++) {
        ServerStatus status = random.nextBoolean() ? ServerStatus.ACTIVE : ServerStatus.LEAVING;
        Replica replica = add("s" + i, status, random.nextInt(3));
        replica.reachable = random.nextInt(5) > 0;
        replica.refusesPause = random.nextInt(8) == 0;
      }
      beforeCall = () -> receiveAtRandom(random);
      int syncReplicas = 1 + random.nextInt(count);
      Optional<ServerId> server = search(syncReplicas, false).server();
      if (server.isEmpty()) {
        continue;
      }
      chosen++;
      for (int i = 0; i < 10; i++) {
        receiveAtRandom(random);
      }
      Replica promoted =
          replicas.stream().filter(r -> id(r).equals(server.get())).findFirst().orElseThrow();
      assertWithMessage("seed %s", seed)
          .that(promoted.received)
          .isAtLeast(acknowledgedIndex(syncReplicas));
    }
    assertThat(chosen).isAtLeast(SEEDS / 4);
  }

  /** Guards against the loss of commits that replicas acknowledge which register meanwhile. */
  @Test
  void chosenReplicaHoldsEachCommitAcknowledgedByReplicasThatRegister() throws Exception {
    int chosen = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      replicas.clear();
      for (int i = 0; i < 2; i++) {
        add("s" + i, ServerStatus.ACTIVE, random.nextInt(3));
      }
      beforeCall =
          () -> {
            if (replicas.size() < MAX_REPLICAS && random.nextInt(NEWCOMER_ONE_IN) == 0) {
              add("s" + replicas.size(), ServerStatus.ACTIVE, random.nextInt(3));
            }
            receiveAtRandom(random);
          };
      Optional<ServerId> server = search(1, false).server();
      if (server.isEmpty()) {
        continue;
      }
      chosen++;
      long promoted =
          replicas.stream().filter(r -> server.get().equals(id(r))).findFirst().get().received;
      assertWithMessage("seed %s", seed).that(promoted).isAtLeast(acknowledgedIndex(1));
    }
    assertThat(chosen).isAtLeast(SEEDS / 10);
  }

  private void receiveAtRandom(Random random) {
    for (Replica replica : replicas) {
      if (!replica.paused && random.nextBoolean()) {
        replica.received += random.nextInt(3);
      }
    }
  }

  /** Returns the index up to which enough replicas have received the commits. */
  private long acknowledgedIndex(int syncReplicas) {
    return replicas.stream()
        .map(replica -> replica.received)
        .sorted(Comparator.reverseOrder())
        .toList()
        .get(syncReplicas - 1);
  }

  private final class ModelStarts implements ReplicaStarts {
    @Override
    public boolean mayLackCommits(ServerId server) {
      return knownRestarts.contains(server);
    }

    @Override
    public boolean isAnnouncedSince(ServerState server, long millis) {
      boolean restarted = unknownRestarts.remove(server.id());
      if (restarted) {
        knownRestarts.add(server.id());
      }
      return !knownRestarts.contains(server.id());
    }
  }

  private final class ModelReplication implements ReplicationClient {
    @Override
    public CompletableFuture<ReplicationStatus> probe(ServerState server, Duration timeout) {
      beforeCall.run();
      Replica replica = replica(server);
      if (!replica.reachable) {
        return refused(ErrorCode.CONNECTION_LOST);
      }
      if (replica.busyReplies > 0) {
        replica.busyReplies--;
        return refused(ErrorCode.OVERLOADED);
      }
      return CompletableFuture.completedFuture(
          new ReplicationStatus(false, TERM, new Position(TERM, replica.received), 0));
    }

    @Override
    public CompletableFuture<ReplicationStatus> pause(
        ServerState server, long term, Duration timeout) {
      assertThat(term).isGreaterThan(TERM);
      if (replica(server).refusesPause) {
        return refused(ErrorCode.CONNECTION_LOST);
      }
      beforeCall.run();
      Replica replica = replica(server);
      replica.paused = replica.reachable;
      Runnable progress = beforeCall;
      beforeCall = () -> {};
      CompletableFuture<ReplicationStatus> reply = probe(server, timeout);
      beforeCall = progress;
      return reply;
    }

    @Override
    public CompletableFuture<ReplicationStatus> resume(ServerState server, Duration timeout) {
      replica(server).paused = false;
      return probe(server, timeout);
    }

    private Replica replica(ServerState server) {
      return replicas.stream().filter(r -> r.server.equals(server)).findFirst().orElseThrow();
    }

    private CompletableFuture<ReplicationStatus> refused(ErrorCode code) {
      return CompletableFuture.failedFuture(AlderyardException.notRun(code, "model"));
    }
  }
}
