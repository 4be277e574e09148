package org.alderyard.control.promotion;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.session.ReplicationClient;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.ControlLog;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.PrimarySighting;
import org.alderyard.protocol.generated.control.PromotionIntentReply;
import org.alderyard.protocol.generated.control.ReportPrimariesRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests failovers through an appointing service with scripted responses. */
class PromotionServiceTest {
  private static final GroupId GROUP = new GroupId("g1");

  private record Call(String server, long token) {}

  /** The last intent in the log, and the primary at that time. */
  private record Intent(String server, String replacedPrimary) {}

  private final WorkerPool workers = new WorkerPool("test", 2);
  private final List<Call> calls = Collections.synchronizedList(new ArrayList<>());
  private final List<PromotionResponse> scriptedResponses =
      Collections.synchronizedList(new ArrayList<>());
  private final Map<String, ReplicationStatus> statuses = new ConcurrentHashMap<>();
  private final Map<String, ServerStatus> replicaStatuses = new ConcurrentHashMap<>();
  private final Set<String> pausedServers = ConcurrentHashMap.newKeySet();
  private volatile ServerStatus primaryStatus = ServerStatus.ACTIVE;
  private volatile String primary = "s1";
  private volatile int syncReplicas;
  private volatile List<String> servers = List.of("s1", "s2", "s3");
  private volatile boolean announced = true;
  private volatile Runnable beforeIntent = () -> {};
  private final Set<String> restartedServers = ConcurrentHashMap.newKeySet();
  private volatile boolean leadershipConfirmed = true;
  private volatile Duration responseDelay = Duration.ZERO;
  private volatile Optional<Intent> intent = Optional.empty();
  private final AtomicLong clockOffsetNanos = new AtomicLong();
  private final AtomicLong barriers = new AtomicLong();
  private volatile Optional<Error> preparationFailure = Optional.empty();
  private volatile boolean leadershipHandedOver;

  @AfterEach
  void close() {
    workers.close();
  }

  private static ReplicationStatus status(long index, long lagMillis) {
    return new ReplicationStatus(false, 3, new Position(3, index), lagMillis);
  }

  private View view() {
    View.Editor editor = View.EMPTY.edit();
    editor.configuration(
        new ConfigurationState(
            1,
            List.of(),
            new TreeMap<>(Map.of(GROUP, 40)),
            syncReplicas > 0 ? new TreeMap<>(Map.of(GROUP, syncReplicas)) : new TreeMap<>(),
            0,
            0,
            Organisations.NONE,
            Bytes.of(new byte[0]),
            false,
            Bytes.of(new byte[0])));
    editor
        .groups()
        .put(GROUP, new GroupState(GROUP, 1, Optional.of(new ServerId(primary)), List.of(), 2, 40));
    for (String id : servers) {
      ServerStatus status =
          id.equals("s1") ? primaryStatus : replicaStatuses.getOrDefault(id, ServerStatus.ACTIVE);
      editor.put(
          new ServerState(
              new ServerId(id),
              1,
              GROUP,
              new ZoneName("z"),
              new InetSocketAddress("127.0.0.1", 1),
              status));
    }
    return editor.at(new ViewVersion(1, 1));
  }

  private PromotionService startService() {
    PromotionService service =
        new PromotionService(
            new LeaderLog(),
            new HostId("h1"),
            this::view,
            group -> pendingPromotion(),
            new AnnouncedStarts(),
            new ScriptedReplication(),
            new ScriptedPromoter(),
            workers,
            () -> System.nanoTime() + clockOffsetNanos.get(),
            InstantSource.system());
    service.start();
    return service;
  }

  private Optional<ServerId> pendingPromotion() {
    return intent
        .filter(last -> last.replacedPrimary().equals(primary))
        .map(last -> new ServerId(last.server()));
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  @Test
  void replicaWithHighestPositionIsChosen() throws Exception {
    statuses.put("s2", status(10, 0));
    statuses.put("s3", status(12, 500));
    primaryStatus = ServerStatus.LEAVING;
    startService();

    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s3");
  }

  @Test
  void callWithoutResponseIsRepeatedWithSameToken() throws Exception {
    // Guards against two primaries: the service executes a call, but its response is lost. A new
    // token for another server would appoint a second primary seconds after the first.
    statuses.put("s2", status(10, 0));
    scriptedResponses.add(PromotionResponse.UNKNOWN);
    scriptedResponses.add(PromotionResponse.THROTTLED);
    primaryStatus = ServerStatus.GONE;
    startService();

    awaitTrue(() -> calls.size() >= 3);
    assertThat(calls.subList(0, 3).stream().distinct().toList()).hasSize(1);
  }

  /**
   * Guards against a token that is lower than the one of the next leader: this host was stopped
   * between two calls and still takes itself for the leader.
   */
  @Test
  void callIsNotRepeatedWithItsTokenOnceAnotherHostLeads() throws Exception {
    statuses.put("s2", status(10, 0));
    scriptedResponses.add(PromotionResponse.UNKNOWN);
    primaryStatus = ServerStatus.GONE;
    leadershipConfirmed = false;
    startService();

    awaitTrue(() -> calls.size() >= 2);
    assertThat(calls.get(1).token()).isGreaterThan(calls.get(0).token());
  }

  @Test
  void refusedCallIsNotRepeatedWithItsToken() throws Exception {
    statuses.put("s2", status(10, 0));
    scriptedResponses.add(PromotionResponse.REFUSED);
    primaryStatus = ServerStatus.LEAVING;
    startService();

    awaitTrue(() -> calls.size() >= 2);
    assertThat(calls.get(1).token()).isGreaterThan(calls.get(0).token());
  }

  @Test
  void activePrimaryIsNotReplaced() throws Exception {
    statuses.put("s2", status(10, 0));
    startService();

    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(calls).isEmpty();
  }

  // Guards against the loss of acknowledged commits that only a replica that leaves has received.
  @Test
  void replicaThatLeavesIsPromotedIfOnlyItHoldsSynchronousCommits() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    replicaStatuses.put("s2", ServerStatus.LEAVING);
    primaryStatus = ServerStatus.GONE;
    startService();

    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s2");
  }

  // Guards against the loss of acknowledged commits that only an unreachable replica has received.
  @Test
  void groupWithSynchronousReplicaWaitsForEachReplica() throws Exception {
    syncReplicas = 1;
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    startService();

    TimeUnit.MILLISECONDS.sleep(700);
    assertThat(calls).isEmpty();
    statuses.put("s2", status(12, 0));
    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s2");
  }

  // Guards against the loss of commits that a replica acknowledged before it started again empty.
  @Test
  void groupWithSynchronousReplicaWaitsForOneThatStartedAgain() throws Exception {
    syncReplicas = 1;
    restartedServers.add("s2");
    statuses.put("s2", status(0, 0));
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    startService();

    TimeUnit.MILLISECONDS.sleep(700);
    assertThat(calls).isEmpty();
  }

  // Guards against a group that is never promoted again after the restart of a replica.
  @Test
  void replicaThatStartedAgainCountsOnceItHoldsTheLogOfItsPrimary() throws Exception {
    syncReplicas = 1;
    restartedServers.add("s2");
    statuses.put("s1", new ReplicationStatus(true, 3, new Position(3, 12), 0));
    statuses.put("s2", status(8, 0));
    statuses.put("s3", status(10, 0));
    startService();

    TimeUnit.MILLISECONDS.sleep(700);
    assertThat(restartedServers).containsExactly("s2");
    statuses.put("s2", status(12, 0));
    awaitTrue(restartedServers::isEmpty);
    primaryStatus = ServerStatus.GONE;
    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s2");
  }

  // Guards against a replica that never counts again, as it lags while commits go on.
  @Test
  void laggingReplicaCountsOnceItHasReachedAnEarlierPositionOfItsPrimary() throws Exception {
    syncReplicas = 1;
    restartedServers.add("s2");
    statuses.put("s1", new ReplicationStatus(true, 3, new Position(3, 12), 0));
    statuses.put("s2", status(8, 0));
    startService();

    TimeUnit.MILLISECONDS.sleep(700);
    assertThat(restartedServers).containsExactly("s2");
    statuses.put("s1", new ReplicationStatus(true, 3, new Position(3, 20), 0));
    statuses.put("s2", status(16, 0));
    awaitTrue(restartedServers::isEmpty);
  }

  @Test
  void groupWithoutSynchronousReplicasDoesNotWaitForUnreachableReplica() throws Exception {
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    startService();

    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s3");
    assertThat(pausedServers).isEmpty();
  }

  // Guards against replicas that receive nothing for good after a promotion.
  @Test
  void pausedReplicasResumeOnceAnotherServerIsPrimary() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    startService();

    awaitTrue(() -> !calls.isEmpty());
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(pausedServers).containsExactly("s3");
    primary = "s2";
    awaitTrue(pausedServers::isEmpty);
  }

  /**
   * Guards against the loss of commits that a resumed replica acknowledges before a call without a
   * response is executed, however late that is.
   */
  @Test
  void replicasStayPausedUntilCallWithoutResponseIsSettled() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.LEAVING;
    scriptedResponses.addAll(Collections.nCopies(1_000, PromotionResponse.UNKNOWN));
    startService();

    awaitTrue(() -> !calls.isEmpty());
    primaryStatus = ServerStatus.ACTIVE;
    awaitTrue(() -> calls.size() >= 6);
    clockOffsetNanos.addAndGet(TimeUnit.MINUTES.toNanos(1));
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(pausedServers).containsExactly("s3");
  }

  // Guards against an old call that promotes a replica long after the primary has returned.
  @Test
  void failoverWithPendingCallGoesOnWhenPrimaryReturns() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(12, 0));
    primaryStatus = ServerStatus.LEAVING;
    scriptedResponses.addAll(Collections.nCopies(6, PromotionResponse.UNKNOWN));
    startService();

    awaitTrue(() -> !calls.isEmpty());
    primaryStatus = ServerStatus.ACTIVE;
    awaitTrue(() -> calls.size() > 6);
    assertThat(calls.get(6).server()).isEqualTo(calls.get(0).server());
    assertThat(calls.get(6).token()).isGreaterThan(calls.get(0).token());
  }

  // Guards against a call of an earlier leader, which may be executed after replicas have resumed.
  @Test
  void promotionOfEarlierLeaderIsCompleted() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(12, 0));
    intent = Optional.of(new Intent("s3", "s1"));
    startService();

    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s3");
    assertThat(pausedServers).containsExactly("s2");
  }

  // Guards against replicas that stay paused for a call that was never executed.
  @Test
  void refusedCallIsWithdrawnSoThatReplicasResume() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(12, 0));
    primaryStatus = ServerStatus.LEAVING;
    scriptedResponses.addAll(Collections.nCopies(1_000, PromotionResponse.REFUSED));
    startService();

    awaitTrue(() -> !calls.isEmpty());
    primaryStatus = ServerStatus.ACTIVE;
    awaitTrue(() -> pausedServers.isEmpty() && intent.isEmpty());
    TimeUnit.MILLISECONDS.sleep(500);
    int callsSoFar = calls.size();
    TimeUnit.MILLISECONDS.sleep(500);
    assertThat(calls).hasSize(callsSoFar);
  }

  // Guards against a token that is lower than one that the service has seen from this host, when
  // calls take longer than the time until the next attempt.
  @Test
  void slowServiceReceivesNoLowerTokenAfterHigherOne() throws Exception {
    statuses.put("s2", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    responseDelay = Duration.ofMillis(900);
    scriptedResponses.addAll(Collections.nCopies(1_000, PromotionResponse.UNKNOWN));
    startService();

    awaitTrue(() -> calls.size() >= 8);
    assertThat(calls.stream().map(Call::token).toList()).isInOrder();
    assertThat(calls.get(7).token()).isGreaterThan(calls.get(0).token());
  }

  // Guards against the withdrawal of an intent while an older call may still be executed.
  @Test
  void intentIsNotWithdrawnAfterEarlierCallWithoutResponse() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(12, 0));
    primaryStatus = ServerStatus.LEAVING;
    scriptedResponses.add(PromotionResponse.UNKNOWN);
    scriptedResponses.addAll(Collections.nCopies(1_000, PromotionResponse.REFUSED));
    startService();

    awaitTrue(() -> calls.size() >= 4);
    assertThat(intent).isPresent();
    assertThat(pausedServers).hasSize(1);
  }

  // Guards against callers that wait for a primary which can't come before a server is back.
  @Test
  void groupWithoutReplicaToPromoteIsReportedAsBlocked() throws Exception {
    syncReplicas = 1;
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.GONE;
    PromotionService service = startService();

    awaitTrue(() -> blockedGroups(service).contains(GROUP.value()));
    statuses.put("s2", status(10, 0));
    awaitTrue(() -> !calls.isEmpty());
    assertThat(blockedGroups(service)).isEmpty();
  }

  private static List<String> blockedGroups(PromotionService service) {
    return service
        .handleReport(
            ReportPrimariesRequest.newBuilder()
                .setHost("h2")
                .addSightings(PrimarySighting.newBuilder().setGroup(GROUP.value()).setServer("s1"))
                .build())
        .join()
        .getBlockedGroupsList();
  }

  private static Command parseCommand(ByteString bytes) {
    try {
      return Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException malformed) {
      throw new AssertionError(malformed);
    }
  }

  // Guards against a failover that no host makes: the threads of its calls can't be started.
  @Test
  void hostThatCannotCallHandsOverLeadership() throws Exception {
    statuses.put("s2", status(10, 10));
    preparationFailure = Optional.of(new OutOfMemoryError("unable to create native thread"));
    primaryStatus = ServerStatus.GONE;
    startService();
    awaitTrue(() -> leadershipHandedOver);
    assertThat(calls).isEmpty();
    assertThat(intent).isEmpty();
  }

  // Guards against a former leader that resumes a replica which the next leader has paused.
  @Test
  void formerLeaderResumesNoReplica() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(10, 10));
    pausedServers.add("s2");
    leadershipConfirmed = false;
    startService();
    awaitTrue(
        () -> {
          clockOffsetNanos.addAndGet(PausedReplicas.EARLIER_SEARCH_NANOS);
          return barriers.get() > 1;
        });
    assertThat(pausedServers).contains("s2");

    leadershipConfirmed = true;
    awaitTrue(() -> pausedServers.isEmpty());
  }

  /**
   * Guards against the loss of commits that a replica acknowledged which registered while a server
   * was searched for.
   */
  @Test
  void replicaThatRegistersDuringSearchIsCounted() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    statuses.put("s4", status(15, 0));
    announced = false;
    primaryStatus = ServerStatus.LEAVING;
    startService();

    awaitTrue(() -> pausedServers.contains("s3"));
    servers = List.of("s1", "s2", "s3", "s4");
    announced = true;
    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s4");
  }

  /** Guards against the same loss where the replica registers just before the call. */
  @Test
  void replicaThatRegistersBeforeCallIsCounted() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    statuses.put("s4", status(15, 0));
    beforeIntent = () -> servers = List.of("s1", "s2", "s3", "s4");
    primaryStatus = ServerStatus.LEAVING;
    startService();

    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s4");
  }

  /** Guards against a choice that rests on fewer acknowledging replicas than are in force. */
  @Test
  void choiceIsRepeatedIfSyncReplicasAreSwitchedOn() throws Exception {
    statuses.put("s3", status(10, 0));
    beforeIntent = () -> syncReplicas = 1;
    primaryStatus = ServerStatus.GONE;
    startService();

    TimeUnit.MILLISECONDS.sleep(700);
    assertThat(calls).isEmpty();
    statuses.put("s2", status(12, 0));
    awaitTrue(() -> !calls.isEmpty());
    assertThat(calls.get(0).server()).isEqualTo("s2");
  }

  /** Guards against the same loss where the replica registers while a call may be executed. */
  @Test
  void replicaThatStartsWhileCallIsPendingIsPausedBeforeItIsAdmitted() throws Exception {
    syncReplicas = 1;
    statuses.put("s2", status(12, 0));
    statuses.put("s3", status(10, 0));
    primaryStatus = ServerStatus.LEAVING;
    scriptedResponses.addAll(Collections.nCopies(1_000, PromotionResponse.UNKNOWN));
    PromotionService service = startService();
    awaitTrue(() -> !calls.isEmpty());
    servers = List.of("s1", "s2", "s3", "s4");
    ServerState started = view().server(new ServerId("s4")).orElseThrow();

    assertThat(service.admit(started, true).get(5, TimeUnit.SECONDS)).isFalse();
    assertThat(service.admit(started, false).get(5, TimeUnit.SECONDS)).isFalse();
    statuses.put("s4", status(0, 0));
    assertThat(service.admit(started, false).get(5, TimeUnit.SECONDS)).isTrue();
    assertThat(pausedServers).contains("s4");
    primary = "s2";
    awaitTrue(() -> !pausedServers.contains("s4"));
  }

  @Test
  void replicaThatStartsWithoutPromotionIsAdmittedAtOnce() throws Exception {
    syncReplicas = 1;
    PromotionService service = startService();
    ServerState started = view().server(new ServerId("s3")).orElseThrow();

    assertThat(service.admit(started, true).get(5, TimeUnit.SECONDS)).isTrue();
    assertThat(pausedServers).isEmpty();
  }

  private final class ScriptedPromoter implements PrimaryPromoter {
    @Override
    public void prepare() {
      preparationFailure.ifPresent(
          failure -> {
            throw failure;
          });
    }

    @Override
    public CompletableFuture<PromotionResponse> promote(
        GroupId group,
        ServerId server,
        HostId controlLeader,
        long fencingToken,
        CallPermit permit) {
      calls.add(new Call(server.value(), fencingToken));
      PromotionResponse response =
          scriptedResponses.isEmpty() ? PromotionResponse.ACCEPTED : scriptedResponses.remove(0);
      CompletableFuture<PromotionResponse> delayed = new CompletableFuture<>();
      workers.schedule(responseDelay, () -> delayed.complete(response));
      return delayed;
    }
  }

  private final class AnnouncedStarts implements ReplicaStarts {
    @Override
    public boolean mayLackCommits(ServerId server) {
      return restartedServers.contains(server.value());
    }

    @Override
    public boolean isAnnouncedSince(ServerState server, long millis) {
      return announced;
    }
  }

  private final class ScriptedReplication implements ReplicationClient {
    @Override
    public CompletableFuture<ReplicationStatus> probe(ServerState server, Duration timeout) {
      return Optional.ofNullable(statuses.get(server.id().value()))
          .map(CompletableFuture::completedFuture)
          .orElseGet(
              () ->
                  CompletableFuture.failedFuture(
                      AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "gone")));
    }

    @Override
    public CompletableFuture<ReplicationStatus> pause(
        ServerState server, long term, Duration timeout) {
      assertThat(term).isGreaterThan(3);
      pausedServers.add(server.id().value());
      return probe(server, timeout);
    }

    @Override
    public CompletableFuture<ReplicationStatus> resume(ServerState server, Duration timeout) {
      pausedServers.remove(server.id().value());
      return probe(server, timeout);
    }
  }

  /** A log that commits each entry immediately. */
  private final class LeaderLog implements ControlLog {
    private final AtomicLong index = new AtomicLong();

    @Override
    public CompletableFuture<ByteString> propose(ByteString bytes) {
      Command command = parseCommand(bytes);
      if (command.hasPromotionWithdrawal()) {
        intent = Optional.empty();
        return CompletableFuture.completedFuture(ByteString.EMPTY);
      }
      if (command.hasReplicaCaughtUp()) {
        restartedServers.remove(command.getReplicaCaughtUp().getServer());
        return CompletableFuture.completedFuture(ByteString.EMPTY);
      }
      beforeIntent.run();
      intent = Optional.of(new Intent(command.getPromotionIntent().getServer(), primary));
      return CompletableFuture.completedFuture(
          PromotionIntentReply.newBuilder()
              .setFencingToken(index.incrementAndGet())
              .build()
              .toByteString());
    }

    @Override
    public CompletableFuture<Void> readBarrier() {
      barriers.incrementAndGet();
      return leadershipConfirmed
          ? CompletableFuture.completedFuture(null)
          : CompletableFuture.failedFuture(
              AlderyardException.notRun(ErrorCode.NOT_LEADER, "another host leads"));
    }

    @Override
    public CompletableFuture<Boolean> transferLeadership() {
      leadershipHandedOver = true;
      return CompletableFuture.completedFuture(true);
    }

    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public Optional<HostId> leader() {
      return Optional.of(new HostId("h1"));
    }

    @Override
    public long term() {
      return 1;
    }

    @Override
    public void close() {}
  }
}
