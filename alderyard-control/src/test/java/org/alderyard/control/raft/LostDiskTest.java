package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.TimeoutNow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests elections by half of four voters, of which one has lost its disk. */
class LostDiskTest {
  private static final long ELECTION_MILLIS = RaftReplica.OPTIONS.electionTimeoutMaxMillis();

  private final RaftCluster cluster = new RaftCluster(11, 3);

  @BeforeEach
  void promoteSuccessor() {
    RaftReplica leader = cluster.runUntilConverged();
    cluster.add(4, Membership.EMPTY);
    change(leader, new AddLearner(RaftCluster.member(4)));
    cluster.runUntilConverged();
    change(leader, new Promote(4));
    cluster.runUntilConverged();
    assertThat(cluster.propose(leader)).isTrue();
    cluster.runUntilConverged();
  }

  private static void change(RaftReplica leader, MembershipChange change) {
    assertThat(leader.core().changeMembership(change)).isEqualTo(Verdict.ACCEPTED);
    leader.performEffects(false);
  }

  private void split(List<Long> half, List<Long> otherHalf) {
    for (long one : half) {
      for (long other : otherHalf) {
        cluster.blockLink(one, other);
        cluster.blockLink(other, one);
      }
    }
  }

  private List<Long> othersThan(RaftReplica replica) {
    return cluster.replicas.keySet().stream().filter(id -> id != replica.id).toList();
  }

  /** Guards against a log that ends for good after a host is gone and one more disk is lost. */
  @Test
  void halfOfVotersContinuesAfterLossOfDisk() {
    RaftReplica leader = cluster.leader().orElseThrow();
    List<Long> others = othersThan(leader);
    leader.crash();
    cluster.replica(others.get(0)).crash();
    cluster.run(10 * ELECTION_MILLIS);
    assertThat(cluster.leader()).isEmpty();

    cluster.runningReplicas().forEach(replica -> replica.core().recordLostDisk(others.get(0)));
    RaftReplica newLeader = cluster.runUntilConverged();
    assertThat(newLeader.core().membership().isVoter(others.get(0))).isFalse();
    assertThat(cluster.propose(newLeader)).isTrue();
    cluster.runUntilConverged();
  }

  /** Guards against two halves of the voters that both elect a leader while they are cut apart. */
  @Test
  void halfOfVotersElectsNobodyWithoutLostDisk() {
    split(List.of(1L, 2L), List.of(3L, 4L));
    cluster.run(10 * ELECTION_MILLIS);
    assertThat(cluster.leader()).isEmpty();
  }

  /**
   * Guards against two leaders of one term: a vote that was requested before the loss of the disk
   * may meet a vote that the lost replica cast.
   */
  @Test
  void lossReportedAfterRequestForVotesCountsOnlyInNextElection() {
    RaftReplica candidate = cluster.replica(1);
    split(List.of(1L, 2L), List.of(3L, 4L));
    cluster.run(10 * ELECTION_MILLIS);
    candidate
        .core()
        .receive(
            RaftMessage.newBuilder()
                .setFrom(2)
                .setTo(1)
                .setTerm(candidate.core().term())
                .setTimeoutNow(TimeoutNow.getDefaultInstance())
                .build(),
            cluster.nowMillis());
    candidate.performEffects(false);
    candidate.core().recordLostDisk(3);
    while (!cluster.messages.isEmpty()) {
      cluster.deliver(cluster.messages.remove(0), false);
    }
    assertThat(cluster.replica(2).core().term()).isEqualTo(candidate.core().term());
    assertThat(candidate.isLeader()).isFalse();

    cluster.replica(3).crash();
    cluster.run(10 * ELECTION_MILLIS);
    assertThat(cluster.leader()).isPresent();
  }

  /**
   * Guards against two majorities: a leader that is cut off with one voter removes another one, so
   * that both would be a majority of what remains, while the other half elects a leader.
   */
  @Test
  void removalNeedsMajorityOfVotersBeforeIt() {
    RaftReplica leader = cluster.leader().orElseThrow();
    List<Long> others = othersThan(leader);
    split(List.of(leader.id, others.get(0)), List.of(others.get(1), others.get(2)));
    final long commitIndex = leader.core().commitIndex();
    change(leader, new Remove(others.get(1)));
    cluster.run(10 * ELECTION_MILLIS);

    assertThat(leader.core().commitIndex()).isEqualTo(commitIndex);
    assertThat(cluster.leader()).isEmpty();
    cluster.restoreLinks();
    cluster.runUntilConverged();
  }

  /** Guards against a restarted replica that needs a voter who has been removed long ago. */
  @Test
  void committedRemovalIsKnownAfterRestart() {
    RaftReplica leader = cluster.leader().orElseThrow();
    List<Long> others = othersThan(leader);
    cluster.replica(others.get(0)).crash();
    change(leader, new Remove(others.get(0)));
    cluster.runUntilConverged();
    List<RaftReplica> rest = List.copyOf(cluster.runningReplicas());
    rest.forEach(RaftReplica::crash);
    rest.subList(0, 2).forEach(replica -> replica.start(cluster.nowMillis()));

    cluster.run(10 * ELECTION_MILLIS);
    assertThat(cluster.leader()).isPresent();
  }
}
