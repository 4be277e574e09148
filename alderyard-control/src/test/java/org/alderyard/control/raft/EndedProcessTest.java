package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what replicas conclude from the end of the process of another one. */
class EndedProcessTest {
  private static final long MIN_ELECTION_MILLIS = RaftReplica.OPTIONS.electionTimeoutMinMillis();
  private static final long FROZEN_MILLIS = 10 * RaftReplica.OPTIONS.electionTimeoutMaxMillis();

  private final RaftCluster cluster = new RaftCluster(5, 3);
  private final RaftReplica first = cluster.runUntilConverged();

  private void reportEnd(long ended) {
    cluster
        .runningReplicas()
        .forEach(replica -> replica.core().recordEndedProcess(ended, cluster.nowMillis()));
  }

  /** Guards against a second loss while voters wait for the contact with a killed leader to end. */
  @Test
  void votersElectLeaderAtOnceAfterEndOfLeader() {
    first.crash();
    reportEnd(first.id);
    cluster.run(MIN_ELECTION_MILLIS / 2);

    assertThat(cluster.leader()).isPresent();
    assertThat(cluster.leader().orElseThrow().core().hasEnded(first.id)).isTrue();
  }

  /** Guards against a voter that learns of the end first, cannot win, and delays the others. */
  @Test
  void votersElectLeaderThoughTheyLearnOfItsEndOneAfterTheOther() {
    first.crash();
    for (RaftReplica replica : cluster.runningReplicas()) {
      replica.core().recordEndedProcess(first.id, cluster.nowMillis());
      cluster.run(2 * RaftReplica.OPTIONS.heartbeatMillis());
    }
    cluster.run(MIN_ELECTION_MILLIS / 2);

    assertThat(cluster.leader()).isPresent();
  }

  /** Guards against a leader that is replaced since only its connections were reset. */
  @Test
  void leaderThatIsHeardAgainKeepsItsTerm() {
    final long term = first.core().term();
    cluster.runningReplicas().stream()
        .filter(replica -> replica != first)
        .findFirst()
        .orElseThrow()
        .core()
        .recordEndedProcess(first.id, cluster.nowMillis());
    cluster.run(FROZEN_MILLIS);

    assertThat(cluster.leader()).hasValue(first);
    assertThat(first.core().term()).isEqualTo(term);
  }

  @Test
  void replicaThatRepliesAgainHasNotEnded() {
    long other = othersThan(first).get(0);
    first.core().recordEndedProcess(other, cluster.nowMillis());
    assertThat(first.core().hasEnded(other)).isTrue();

    cluster.run(MIN_ELECTION_MILLIS);
    assertThat(first.core().hasEnded(other)).isFalse();
  }

  /** Guards against votes that move while all hosts start, some of them later than the leader. */
  @Test
  void replicaThatHasNotStartedYetHasNotEnded() {
    List<Long> ids = List.copyOf(cluster.replicas.keySet());
    cluster.runningReplicas().forEach(RaftReplica::crash);
    cluster.replica(ids.get(0)).start(cluster.nowMillis());
    cluster.replica(ids.get(1)).start(cluster.nowMillis());
    RaftReplica leader = cluster.runUntilConverged();
    leader.core().recordEndedProcess(ids.get(2), cluster.nowMillis());

    assertThat(leader.core().hasEnded(ids.get(2))).isFalse();
  }

  /** Guards against two times that add up: that until the election, and that until the removal. */
  @Test
  void silenceOfFormerLeaderBeginsBeforeElection() {
    cluster.isolate(first.id);
    long silentSinceMillis = cluster.nowMillis();
    RaftReplica next = leaderBeside(first);
    long ledSinceMillis = cluster.nowMillis();
    cluster.run(MIN_ELECTION_MILLIS);

    assertThat(ledSinceMillis - silentSinceMillis).isAtLeast(MIN_ELECTION_MILLIS);
    assertThat(next.core().unresponsiveMillis(first.id))
        .isAtLeast(cluster.nowMillis() - silentSinceMillis - MIN_ELECTION_MILLIS / 2);
  }

  private RaftReplica leaderBeside(RaftReplica former) {
    for (long end = cluster.nowMillis() + FROZEN_MILLIS; cluster.nowMillis() < end; ) {
      cluster.run(RaftReplica.OPTIONS.heartbeatMillis());
      for (RaftReplica replica : cluster.runningReplicas()) {
        if (replica != former && replica.isLeader()) {
          return replica;
        }
      }
    }
    throw new AssertionError("no leader beside the isolated one");
  }

  private List<Long> othersThan(RaftReplica replica) {
    return cluster.replicas.keySet().stream().filter(id -> id != replica.id).toList();
  }
}
