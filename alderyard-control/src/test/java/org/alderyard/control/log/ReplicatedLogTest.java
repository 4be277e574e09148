package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.LogSize;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the replicated log on three control hosts with real sockets and files. */
class ReplicatedLogTest {
  @TempDir Path root;

  private final List<InetSocketAddress> members =
      Stream.generate(FreePorts::nextAddress).limit(3).toList();
  private final Map<Integer, LogHost> hosts = new TreeMap<>();
  private final List<String> accepted = new ArrayList<>();
  private ReplicatedLogOptions options = LogHost.OPTIONS;

  private LogHost start(int number) {
    HostId host = new HostId("control-" + number);
    Path folder = root.resolve(host.value());
    LogHost started = new LogHost(host, members.get(number), members, folder, options);
    hosts.put(number, started);
    return started;
  }

  private void startAll() {
    for (int number = 0; number < members.size(); number++) {
      start(number);
    }
  }

  private void kill(int number) {
    hosts.remove(number).kill();
  }

  @AfterEach
  void closeAll() {
    hosts.values().forEach(LogHost::kill);
  }

  private int leader() {
    LogHost.await(
        "a leader", () -> hosts.values().stream().anyMatch(host -> host.log().isLeader()));
    return hosts.entrySet().stream()
        .filter(entry -> entry.getValue().log().isLeader())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseGet(this::leader);
  }

  private int follower() {
    int leader = leader();
    return hosts.keySet().stream().filter(number -> number != leader).findFirst().orElseThrow();
  }

  /**
   * Proposes a command until it is accepted. A command whose outcome is unknown is proposed again,
   * so it may be applied twice.
   */
  private void propose(String command) {
    while (true) {
      try {
        ByteString answer =
            hosts.get(leader()).log().propose(ByteString.copyFromUtf8(command)).join();
        assertThat(answer.toStringUtf8()).isEqualTo("answer to " + command);
        accepted.add(command);
        return;
      } catch (CompletionException refused) {
        assertThat(Futures.toAlderyardException(refused).code()).isEqualTo(ErrorCode.NOT_LEADER);
      }
    }
  }

  private void proposeMany(int count) {
    for (int i = 0; i < count; i++) {
      propose("command-" + accepted.size());
    }
  }

  private void awaitReplication() {
    LogHost.await(
        "all " + accepted.size() + " commands on all hosts",
        () -> hosts.values().stream().allMatch(host -> host.commands().containsAll(accepted)));
    for (LogHost host : hosts.values()) {
      assertThat(host.commands().stream().distinct().filter(accepted::contains).toList())
          .containsExactlyElementsIn(accepted)
          .inOrder();
    }
  }

  private static AlderyardException failure(CompletableFuture<?> call) {
    return Futures.toAlderyardException(assertThrows(CompletionException.class, call::join));
  }

  /**
   * The leader's process is killed between changes. The next leader must hold all accepted
   * commands, and the killed host must restart from its disk and catch up.
   */
  @Test
  void killedLeaderRestartsFromDiskAndCatchesUp() {
    startAll();
    proposeMany(5);
    int killed = leader();
    kill(killed);
    proposeMany(5);
    awaitReplication();
    start(killed);
    awaitReplication();
    assertThat(hosts.get(killed).log().term()).isGreaterThan(0);
  }

  /**
   * A host is down for hundreds of changes, and the other hosts have trimmed their logs, so the
   * host must catch up from a snapshot. Then all three hosts restart from their snapshots and logs.
   */
  @Test
  void hostCatchesUpFromSnapshotAfterHundredsOfChanges() {
    startAll();
    proposeMany(3);
    int stoppedHost = follower();
    kill(stoppedHost);
    proposeMany(300);
    LogHost leader = hosts.get(leader());
    LogHost.await("a snapshot", () -> leader.log().status().snapshotIndex() > 200);
    start(stoppedHost);
    awaitReplication();
    assertThat(hosts.get(stoppedHost).log().status().snapshotIndex()).isGreaterThan(200);

    for (int number = 0; number < members.size(); number++) {
      kill(number);
    }
    startAll();
    proposeMany(1);
    awaitReplication();
  }

  /**
   * A host is down while the others trim their logs because of the bytes of a few entries, so the
   * host must catch up from a snapshot.
   */
  @Test
  void hostCatchesUpFromSnapshotOfLogThatIsTrimmedByBytes() {
    options = LogHost.options(new LogSize(Long.MAX_VALUE, 500), new LogSize(Long.MAX_VALUE, 100));
    startAll();
    proposeMany(3);
    int stoppedHost = follower();
    kill(stoppedHost);
    proposeMany(60);
    LogHost leader = hosts.get(leader());
    LogHost.await("a snapshot", () -> leader.log().status().snapshotIndex() > 20);

    start(stoppedHost);

    awaitReplication();
    assertThat(hosts.get(stoppedHost).log().status().snapshotIndex()).isGreaterThan(20);
  }

  /**
   * A host's disk is wiped, and the host restarts with the same name and settings. It must rejoin
   * with a new replica id without operator action, and the old id must be removed. Then a second
   * host is lost, and the remaining two must keep all changes and accept new ones.
   */
  @Test
  void wipedHostRejoinsBeforeAnotherHostIsLost() throws Exception {
    startAll();
    proposeMany(120);
    int wiped = follower();
    final long old = replicaOf(wiped);
    kill(wiped);
    wipe(wiped);
    LogHost returned = start(wiped);
    LogHost.await(
        "a voter with a new replica id",
        () -> {
          List<Long> voters = returned.log().status().membership().voters();
          return voters.size() == 3 && !voters.contains(old);
        });
    proposeMany(1);

    kill(hosts.keySet().stream().filter(number -> number != wiped).findFirst().orElseThrow());
    proposeMany(2);
    awaitReplication();
  }

  private long replicaOf(int number) {
    Membership membership = hosts.get(leader()).log().status().membership();
    return membership.membersOnHost("control-" + number).get(0).getReplicaId();
  }

  private void wipe(int number) throws Exception {
    try (Stream<Path> files = Files.list(root.resolve("control-" + number))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  /** A follower's refusal must state that nothing ran and name the leader. */
  @Test
  void followerRefusesProposalAndNamesLeader() {
    startAll();
    proposeMany(1);
    int leader = leader();
    LogHost follower = hosts.get(follower());
    LogHost.await("a known leader", () -> follower.log().leader().isPresent());

    AlderyardException error =
        failure(follower.log().propose(ByteString.copyFromUtf8("elsewhere")));
    assertThat(error.code()).isEqualTo(ErrorCode.NOT_LEADER);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(error).hasMessageThat().contains("host control-" + leader + " leads");
    assertThat(error.retryAfterMillis().isPresent()).isTrue();
    assertThat(failure(follower.log().readBarrier()).code()).isEqualTo(ErrorCode.NOT_LEADER);
    hosts.get(leader).log().readBarrier().join();
    awaitReplication();
  }

  /**
   * The majority is lost after the leader accepted a command. When the leader steps down, the
   * proposal must fail immediately with an unknown outcome, not only at a deadline.
   */
  @Test
  void leaderWithoutMajorityStepsDownAndFailsProposals() {
    startAll();
    proposeMany(1);
    int leader = leader();
    List.copyOf(hosts.keySet()).stream().filter(number -> number != leader).forEach(this::kill);
    ReplicatedLog log = hosts.get(leader).log();

    AlderyardException error = failure(log.propose(ByteString.copyFromUtf8("no majority")));
    assertThat(error.code()).isEqualTo(ErrorCode.NOT_LEADER);
    LogHost.await("the resignation of the leader", () -> !log.isLeader());
    // The listener is notified after the status has changed.
    List<String> notifications = hosts.get(leader).leadership;
    LogHost.await("the notification of the listener", () -> notifications.size() >= 2);
    assertThat(notifications).hasSize(2);
    assertThat(notifications.get(0)).endsWith("leads");
    assertThat(notifications.get(1)).endsWith("ends");
  }

  /** The leader is stopped by an operator and must transfer leadership before it exits. */
  @Test
  void closedLeaderTransfersLeadership() {
    startAll();
    proposeMany(3);
    int closed = leader();
    hosts.remove(closed).close();
    proposeMany(1);
    awaitReplication();
  }

  /** A host removed by an operator restarts, and must neither vote nor request to rejoin. */
  @Test
  void removedHostNeitherVotesNorRejoins() {
    startAll();
    proposeMany(1);
    int removed = follower();
    LogHost leader = hosts.get(leader());
    final long replica = replicaOf(removed);
    kill(removed);
    assertThat(leader.log().changeMembership(new Remove(replica)).join())
        .isEqualTo(Verdict.ACCEPTED);
    proposeMany(1);
    start(removed);
    proposeMany(60);
    assertThat(leader.log().status().membership().member(replica).isPresent()).isFalse();
    assertThat(leader.log().isLeader()).isTrue();
    assertThat(hosts.get(removed).commands()).doesNotContain("command-60");
  }

  /** A command that the state machine fails to apply must stop the host; later commands fail. */
  @Test
  void stateMachineFailureStopsHost() {
    startAll();
    LogHost leader = hosts.get(leader());
    AlderyardException error = failure(leader.log().propose(ByteString.copyFromUtf8("poison")));
    assertThat(error.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    LogHost.await("the failure notification of the listener", () -> leader.failure != null);
    assertThat(failure(leader.log().propose(ByteString.EMPTY)).outcome())
        .isEqualTo(Outcome.NOT_RUN);
  }

  /** Guards against a host whose log stands still for ever once its heap is full. */
  @Test
  void exhaustedHeapStopsHost() {
    startAll();
    LogHost leader = hosts.get(leader());
    CompletableFuture<ByteString> proposal =
        leader.log().propose(ByteString.copyFromUtf8("exhaust")).orTimeout(20, TimeUnit.SECONDS);
    AlderyardException error = failure(proposal);
    assertThat(error.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(error.code()).isEqualTo(ErrorCode.INTERNAL);
    LogHost.await("the failure notification of the listener", () -> leader.failure != null);
    assertThat(failure(leader.log().propose(ByteString.EMPTY)).outcome())
        .isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void refusesCommandAboveSizeLimit() {
    startAll();
    AlderyardException error =
        failure(hosts.get(leader()).log().propose(ByteString.copyFrom(new byte[1_001])));
    assertThat(error.code()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
