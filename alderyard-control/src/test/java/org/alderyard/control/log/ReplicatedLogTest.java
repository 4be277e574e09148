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
import java.util.stream.Stream;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three control hosts over real sockets and files. */
class ReplicatedLogTest {
  @TempDir Path root;

  private final List<InetSocketAddress> members =
      Stream.generate(FreePorts::nextAddress).limit(3).toList();
  private final Map<Integer, LogHost> hosts = new TreeMap<>();
  private final List<String> accepted = new ArrayList<>();

  private LogHost start(int number) {
    HostId host = new HostId("control-" + number);
    Path folder = root.resolve(host.value());
    LogHost started = new LogHost(host, members.get(number), members, folder);
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
    LogHost.await("a leader", () -> hosts.values().stream().anyMatch(host -> host.log().leading()));
    return hosts.entrySet().stream()
        .filter(entry -> entry.getValue().log().leading())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseGet(this::leader);
  }

  private int follower() {
    int leader = leader();
    return hosts.keySet().stream().filter(number -> number != leader).findFirst().orElseThrow();
  }

  /** Proposes until it is accepted; one whose outcome is unknown counts if it was applied. */
  private void propose(String command) {
    while (true) {
      try {
        ByteString answer =
            hosts.get(leader()).log().propose(ByteString.copyFromUtf8(command)).join();
        assertThat(answer.toStringUtf8()).isEqualTo("answer to " + command);
        accepted.add(command);
        return;
      } catch (CompletionException refused) {
        assertThat(Futures.typed(refused).code()).isEqualTo(ErrorCode.NOT_LEADER);
      }
    }
  }

  private void proposeMany(int count) {
    for (int i = 0; i < count; i++) {
      propose("command-" + accepted.size());
    }
  }

  private void awaitEqual() {
    LogHost.await(
        "all hosts hold " + accepted.size() + " commands",
        () -> hosts.values().stream().allMatch(host -> host.commands().containsAll(accepted)));
    for (LogHost host : hosts.values()) {
      assertThat(host.commands().stream().distinct().filter(accepted::contains).toList())
          .containsExactlyElementsIn(accepted)
          .inOrder();
    }
  }

  private static AlderyardException failure(CompletableFuture<?> call) {
    return Futures.typed(assertThrows(CompletionException.class, call::join));
  }

  /**
   * An operator's changes go on while the leader's process is killed. The next leader takes over
   * with everything that was accepted; the killed host restarts from its disk and catches up.
   */
  @Test
  void leaderIsKilledAndRestartsFromDisk() {
    startAll();
    proposeMany(5);
    int killed = leader();
    kill(killed);
    proposeMany(5);
    awaitEqual();
    start(killed);
    awaitEqual();
    assertThat(hosts.get(killed).log().term()).isGreaterThan(0);
  }

  /**
   * A host is down for hundreds of changes. The others have trimmed their logs, so it gets a
   * snapshot and then the rest. Then all three restart at once, from their snapshots and logs.
   */
  @Test
  void hostIsDownForHundredsOfChanges() {
    startAll();
    proposeMany(3);
    int late = follower();
    kill(late);
    proposeMany(300);
    LogHost leader = hosts.get(leader());
    LogHost.await("a snapshot", () -> leader.log().status().snapshotIndex() > 200);
    start(late);
    awaitEqual();
    assertThat(hosts.get(late).log().status().snapshotIndex()).isGreaterThan(200);

    for (int number = 0; number < members.size(); number++) {
      kill(number);
    }
    startAll();
    proposeMany(1);
    awaitEqual();
  }

  /**
   * A host's disk is wiped and the host starts again under its name, with the settings of before.
   * It comes back as another replica, without anyone's help; the old replica id is gone. Right
   * after that a second host is lost, and the two that are left go on with all changes.
   */
  @Test
  void wipedHostIsTakenInAgainAndAnotherIsLost() throws Exception {
    startAll();
    proposeMany(120);
    int wiped = follower();
    final long old = replicaOf(wiped);
    kill(wiped);
    wipe(wiped);
    LogHost returned = start(wiped);
    LogHost.await(
        "a vote under another id",
        () -> {
          List<Long> voters = returned.log().status().membership().voters();
          return voters.size() == 3 && !voters.contains(old);
        });
    proposeMany(1);

    kill(hosts.keySet().stream().filter(number -> number != wiped).findFirst().orElseThrow());
    proposeMany(2);
    awaitEqual();
  }

  private long replicaOf(int number) {
    Membership membership = hosts.get(leader()).log().status().membership();
    return membership.membersOf("control-" + number).get(0).getReplicaId();
  }

  private void wipe(int number) throws Exception {
    try (Stream<Path> files = Files.list(root.resolve("control-" + number))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  /** A caller asks a host that does not lead: it learns that nothing ran, and where to go. */
  @Test
  void followerRefusesAndNamesTheLeader() {
    startAll();
    proposeMany(1);
    int leader = leader();
    LogHost follower = hosts.get(follower());
    LogHost.await("the leader is known", () -> follower.log().leader().isPresent());

    AlderyardException error =
        failure(follower.log().propose(ByteString.copyFromUtf8("elsewhere")));
    assertThat(error.code()).isEqualTo(ErrorCode.NOT_LEADER);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(error).hasMessageThat().contains("host control-" + leader + " leads");
    assertThat(error.retryAfterMillis().isPresent()).isTrue();
    assertThat(failure(follower.log().readBarrier()).code()).isEqualTo(ErrorCode.NOT_LEADER);
    hosts.get(leader).log().readBarrier().join();
    awaitEqual();
  }

  /**
   * A majority is lost. A change that the leader had taken is not held until some deadline: when
   * the leader steps down the caller is told at once that the outcome is unknown.
   */
  @Test
  void leaderWithoutMajorityStepsDownAndAnswers() {
    startAll();
    proposeMany(1);
    int leader = leader();
    List.copyOf(hosts.keySet()).stream().filter(number -> number != leader).forEach(this::kill);
    ReplicatedLog log = hosts.get(leader).log();

    AlderyardException error = failure(log.propose(ByteString.copyFromUtf8("no majority")));
    assertThat(error.code()).isEqualTo(ErrorCode.NOT_LEADER);
    LogHost.await("the leader steps down", () -> !log.leading());
    // The listener is told after the status has changed.
    List<String> told = hosts.get(leader).leadership;
    LogHost.await("the listener is told", () -> told.size() >= 2);
    assertThat(told).hasSize(2);
    assertThat(told.get(0)).endsWith("leads");
    assertThat(told.get(1)).endsWith("ends");
  }

  /** An operator stops the leader's process: it hands over, and says so, before it ends. */
  @Test
  void closedLeaderHandsOver() {
    startAll();
    proposeMany(3);
    int closed = leader();
    hosts.remove(closed).close();
    proposeMany(1);
    awaitEqual();
  }

  /** A host was removed by an operator; it restarts, and neither votes nor asks to come back. */
  @Test
  void removedHostThatReturnsDisturbsNobody() {
    startAll();
    proposeMany(1);
    int removed = follower();
    LogHost leader = hosts.get(leader());
    final long replica = replicaOf(removed);
    kill(removed);
    assertThat(leader.log().change(new Remove(replica)).join()).isEqualTo(Verdict.ACCEPTED);
    proposeMany(1);
    start(removed);
    proposeMany(60);
    assertThat(leader.log().status().membership().member(replica).isPresent()).isFalse();
    assertThat(leader.log().leading()).isTrue();
    assertThat(hosts.get(removed).commands()).doesNotContain("command-60");
  }

  /** A command that the state machine can't apply stops the host; nothing after it is applied. */
  @Test
  void failureOfTheStateMachineStopsTheHost() {
    startAll();
    LogHost leader = hosts.get(leader());
    AlderyardException error = failure(leader.log().propose(ByteString.copyFromUtf8("poison")));
    assertThat(error.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    LogHost.await("the listener hears of it", () -> leader.failure != null);
    assertThat(failure(leader.log().propose(ByteString.EMPTY)).outcome())
        .isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void commandThatIsTooLargeIsRefused() {
    startAll();
    AlderyardException error =
        failure(hosts.get(leader()).log().propose(ByteString.copyFrom(new byte[1_001])));
    assertThat(error.code()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE);
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
