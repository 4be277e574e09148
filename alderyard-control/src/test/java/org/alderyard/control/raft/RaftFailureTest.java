package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.protocol.generated.raft.AppendReply;
import org.alderyard.protocol.generated.raft.AppendRequest;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.MemberList;
import org.alderyard.protocol.generated.raft.RaftMessage;
import org.alderyard.protocol.generated.raft.SnapshotChunk;
import org.alderyard.protocol.generated.raft.VoteRequest;
import org.junit.jupiter.api.Test;

/** Tests for single failures of the replicated log. */
class RaftFailureTest {
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long ELECTION_MILLIS = 2_000;
  private static final long LONG_TERM_MILLIS = 10_000;
  private static final long SLOW_SYNC_MILLIS = 120;
  private static final int SLOW_BATCHES = 50;

  private final RaftCluster cluster = new RaftCluster(7, 3);

  private RaftReplica proposeCommands(RaftReplica leader, int count) {
    for (int i = 0; i < count; i++) {
      assertThat(cluster.propose(leader)).isTrue();
    }
    return cluster.runUntilConverged();
  }

  private List<RaftReplica> othersExcept(RaftReplica replica) {
    return cluster.runningReplicas().stream().filter(other -> other != replica).toList();
  }

  private static void changeMembership(RaftReplica leader, MembershipChange change) {
    assertThat(leader.core().changeMembership(change)).isEqualTo(Verdict.ACCEPTED);
    leader.performEffects(false);
  }

  /**
   * A partitioned leader receives a command, which is never acknowledged, while the others elect a
   * new leader. When the old leader returns much later, it must drop its own entry and adopt
   * theirs, and its return must not cause an election.
   */
  @Test
  void leaderReturnsAfterLongPartition() {
    RaftReplica oldLeader = proposeCommands(cluster.runUntilConverged(), 3);
    cluster.isolate(oldLeader.id);
    assertThat(cluster.propose(oldLeader)).isTrue();
    cluster.run(ELECTION_MILLIS);
    assertThat(oldLeader.isLeader()).isFalse();
    RaftReplica newLeader = cluster.leader().orElseThrow();
    cluster.propose(newLeader);
    cluster.run(HOUR_MILLIS / 100);
    final long term = newLeader.core().term();

    cluster.restoreLinks();
    assertThat(cluster.runUntilConverged()).isEqualTo(newLeader);

    assertThat(newLeader.core().term()).isEqualTo(term);
    assertThat(oldLeader.digest()).isEqualTo(newLeader.digest());
  }

  /**
   * All hosts lose power at once and restart within a tenth of a second of each other. No caller is
   * served until a leader is elected. Since no live leader exists, the replicas must not wait for
   * an election timeout.
   */
  @Test
  void leaderIsElectedSoonAfterPowerLossOnAllHosts() {
    proposeCommands(cluster.runUntilConverged(), 5);
    List<RaftReplica> all = List.copyOf(cluster.runningReplicas());
    all.forEach(RaftReplica::crash);
    cluster.run(HOUR_MILLIS / 1_000);
    for (RaftReplica replica : all) {
      replica.start(cluster.nowMillis());
      cluster.run(20);
    }

    cluster.run(100);

    assertThat(cluster.leader().isPresent()).isTrue();
  }

  /**
   * A replica restarts while the leader is up and starts pre-votes immediately. The others have
   * contact with the leader and refuse, so the leader must keep its term.
   */
  @Test
  void startingReplicaDoesNotDisruptLeader() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 5);
    final long term = leader.core().term();
    RaftReplica other = othersExcept(leader).get(0);
    other.crash();
    cluster.run(HOUR_MILLIS / 1_000);
    other.start(cluster.nowMillis());

    cluster.run(ELECTION_MILLIS);

    assertThat(leader.isLeader()).isTrue();
    assertThat(leader.core().term()).isEqualTo(term);
  }

  /**
   * A read reaches a leader that was replaced without receiving the new term. From its own state it
   * would miss a change committed elsewhere, so the read must fail.
   */
  @Test
  void replacedLeaderConfirmsNoRead() {
    RaftReplica oldLeader = proposeCommands(cluster.runUntilConverged(), 1);
    cluster.isolate(oldLeader.id);
    cluster.invariants.recordRead(1);
    assertThat(oldLeader.core().requestRead(1)).isTrue();
    Effects effects = oldLeader.core().takeEffects();
    oldLeader.core().markSynced();
    assertThat(effects.reads()).isEmpty();

    cluster.advanceClock(ELECTION_MILLIS);
    oldLeader.core().tick(cluster.nowMillis());

    assertThat(oldLeader.core().takeEffects().failedReads()).containsExactly(1L);
    assertThat(oldLeader.core().requestRead(2)).isFalse();
  }

  /**
   * The leader receives messages but its own do not arrive, so its log is no longer replicated. The
   * others must elect a new leader, and the old one must step down.
   */
  @Test
  void leaderWhoseMessagesAreLostIsReplaced() {
    RaftReplica oldLeader = proposeCommands(cluster.runUntilConverged(), 1);
    othersExcept(oldLeader).forEach(other -> cluster.blockLink(oldLeader.id, other.id));

    cluster.run(ELECTION_MILLIS);

    assertThat(oldLeader.isLeader()).isFalse();
    assertThat(cluster.leader().isPresent()).isTrue();
    assertThat(cluster.propose(cluster.leader().orElseThrow())).isTrue();
  }

  /**
   * Messages of the leader arrive but it receives none. The others have no reason for an election
   * while nothing is committed, so the leader must step down by itself.
   */
  @Test
  void leaderThatReceivesNoRepliesStepsDown() {
    RaftReplica oldLeader = proposeCommands(cluster.runUntilConverged(), 1);
    othersExcept(oldLeader).forEach(other -> cluster.blockLink(other.id, oldLeader.id));

    cluster.run(ELECTION_MILLIS);

    assertThat(oldLeader.isLeader()).isFalse();
    assertThat(cluster.leader().isPresent()).isTrue();
  }

  /**
   * The disk of a host is wiped and the host returns under its old name. With its old vote it could
   * help to elect a leader that lacks committed entries. It must therefore join under a new replica
   * id, start as a learner, and drop messages for the old id. When a second host is lost right
   * after the repair, the remaining two must hold all entries and continue.
   */
  @Test
  void wipedVoterRejoinsBeforeAnotherHostIsLost() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 20);
    RaftReplica wiped = othersExcept(leader).get(0);
    wiped.crash();
    RaftReplica replacement = cluster.add(4, Membership.EMPTY);
    replacement
        .core()
        .receive(
            RaftMessage.newBuilder()
                .setFrom(leader.id)
                .setTo(wiped.id)
                .setTerm(99)
                .setVoteRequest(VoteRequest.newBuilder().setCandidateTerm(99).setLastTerm(99))
                .build(),
            cluster.nowMillis());
    assertThat(replacement.core().term()).isEqualTo(0);

    changeMembership(leader, new AddLearner(RaftCluster.member(replacement.id)));
    assertThat(leader.core().changeMembership(new Promote(replacement.id)))
        .isEqualTo(Verdict.CHANGE_IN_PROGRESS);
    cluster.runUntilConverged();
    changeMembership(leader, new Remove(wiped.id));
    cluster.runUntilConverged();
    changeMembership(leader, new Promote(replacement.id));
    cluster.runUntilConverged();
    final long digest = leader.digest();
    leader.crash();

    RaftReplica newLeader = cluster.runUntilConverged();
    assertThat(newLeader.digest()).isEqualTo(digest);
    assertThat(cluster.propose(newLeader)).isTrue();
  }

  /**
   * A learner without most of the log would block the majority if it became a voter, so its
   * promotion must be refused.
   */
  @Test
  void learnerThatIsBehindIsNotPromoted() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 20);
    cluster.add(4, Membership.EMPTY).crash();
    changeMembership(leader, new AddLearner(RaftCluster.member(4)));
    cluster.run(ELECTION_MILLIS);

    assertThat(leader.core().changeMembership(new Promote(4))).isEqualTo(Verdict.LEARNER_BEHIND);
    assertThat(leader.core().membership().voters()).containsExactly(1L, 2L, 3L);
  }

  /**
   * Guards against a voter that is gone: a learner is down while a leader is elected, which has not
   * heard of it yet, and the log is short.
   */
  @Test
  void learnerThatNeverRepliedToLeaderIsNotPromoted() {
    RaftReplica leader = cluster.runUntilConverged();
    cluster.add(4, Membership.EMPTY).crash();
    changeMembership(leader, new AddLearner(RaftCluster.member(4)));
    cluster.run(ELECTION_MILLIS);
    leader.crash();
    while (cluster.leader().isEmpty()) {
      cluster.run(1);
    }
    assertThat(cluster.leader().get().core().hasCaughtUp(4)).isFalse();
  }

  /**
   * A replica is removed while it is partitioned and does not receive the change. After its return
   * it campaigns indefinitely with its old membership, which must change neither the leader nor the
   * term.
   */
  @Test
  void returningRemovedReplicaDoesNotDisruptLeader() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 2);
    RaftReplica removed = othersExcept(leader).get(0);
    cluster.isolate(removed.id);
    changeMembership(leader, new Remove(removed.id));
    cluster.run(ELECTION_MILLIS);
    final long term = leader.core().term();

    cluster.restoreLinks();
    cluster.run(10 * ELECTION_MILLIS);

    assertThat(leader.isLeader()).isTrue();
    assertThat(leader.core().term()).isEqualTo(term);
    assertThat(removed.isLeader()).isFalse();
  }

  /**
   * A follower is down while hundreds of entries are committed and the log is compacted. It must
   * catch up from a snapshot, whose chunks are partly lost and resent, and from the entries after
   * it.
   */
  @Test
  void followerCatchesUpBySnapshot() {
    RaftReplica leader = cluster.runUntilConverged();
    RaftReplica laggingReplica = othersExcept(leader).get(0);
    laggingReplica.crash();
    proposeCommands(leader, 300);
    leader.takeSnapshot(0);
    proposeCommands(leader, 3);
    laggingReplica.start(cluster.nowMillis());
    cluster.blockLink(leader.id, laggingReplica.id);
    cluster.run(100);
    cluster.restoreLinks();

    cluster.runUntilConverged();

    assertThat(laggingReplica.digest()).isEqualTo(leader.digest());
    assertThat(laggingReplica.appliedIndex()).isEqualTo(leader.appliedIndex());
  }

  /**
   * A leader replicates an entry of an earlier term to a majority. If it counted that as committed
   * and then lost the leadership, a later leader could still replace the entry. Only entries of its
   * own term may be committed by counting.
   */
  @Test
  void entryOfAnEarlierTermIsNotCommittedByCounting() {
    Membership founders = cluster.replica(1).core().membership();
    Entry earlier = Entry.newBuilder().setTerm(2).setIndex(1).setKind(EntryKind.COMMAND).build();
    ReplicaState state =
        new ReplicaState(
            1,
            RaftReplica.OPTIONS,
            new RaftLog(Snapshot.founding(founders), List.of(earlier)),
            HardState.newBuilder().setTerm(4).build(),
            new SplittableRandom(1),
            0);
    Leadership leadership = new Leadership(state, OptionalLong.empty());
    state.log.markStored();
    leadership.onAppendReply(appendReply(1));
    assertThat(state.log.commitIndex()).isEqualTo(0);

    leadership.onAppendReply(appendReply(2));
    assertThat(state.log.commitIndex()).isEqualTo(2);
  }

  private static RaftMessage appendReply(long index) {
    return RaftMessage.newBuilder()
        .setFrom(2)
        .setTo(1)
        .setTerm(4)
        .setAppendReply(AppendReply.newBuilder().setSuccess(true).setMatchIndex(index))
        .build();
  }

  /**
   * A follower receives a delayed snapshot after it has acknowledged entries beyond it. If it
   * dropped those entries, the leader would count copies that no longer exist and a committed entry
   * could be lost.
   */
  @Test
  void lateSnapshotKeepsNewerEntries() {
    RaftCore core = cluster.add(9, Membership.EMPTY).core();
    AppendRequest.Builder entries = AppendRequest.newBuilder();
    for (int i = 1; i <= 5; i++) {
      entries.addEntries(Entry.newBuilder().setTerm(1).setIndex(i));
    }
    RaftMessage.Builder message = RaftMessage.newBuilder().setFrom(1).setTo(9).setTerm(1);
    core.receive(message.setAppendRequest(entries).build(), 0);
    SnapshotChunk chunk =
        SnapshotChunk.newBuilder()
            .setLastIndex(3)
            .setLastTerm(1)
            .setMembers(MemberList.getDefaultInstance())
            .build();
    core.receive(message.setSnapshotChunk(chunk).build(), 0);

    assertThat(core.lastIndex()).isEqualTo(5);
    assertThat(core.commitIndex()).isEqualTo(3);
  }

  /**
   * All hosts are suspended for an hour and one resumes slightly before the others. It may
   * campaign, but no committed entry may be lost and the log must continue.
   */
  @Test
  void clockJumpLosesNoCommittedEntries() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 5);
    final long digest = leader.digest();
    cluster.advanceClock(HOUR_MILLIS);
    cluster.tick(othersExcept(leader).get(0), false);

    RaftReplica newLeader = cluster.runUntilConverged();
    assertThat(newLeader.digest()).isEqualTo(digest);
    assertThat(cluster.propose(newLeader)).isTrue();
  }

  /**
   * The leader hands over during a drain of its host. It must refuse new proposals, which have not
   * run and can be resent, and the target must hold the whole log and become leader without an
   * election timeout.
   */
  @Test
  void leaderHandsOverWithoutWaitingForTimeout() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 5);
    RaftReplica target = othersExcept(leader).get(0);
    cluster.propose(leader);
    assertThat(leader.core().handOver(target.id)).isTrue();
    assertThat(leader.core().propose(ByteString.EMPTY)).isEqualTo(OptionalLong.empty());
    leader.performEffects(false);

    cluster.run(RaftReplica.OPTIONS.heartbeatMillis());

    assertThat(target.isLeader()).isTrue();
    assertThat(cluster.runUntilConverged().digest()).isEqualTo(target.digest());
  }

  /**
   * A membership change of the previous leader may still be in some logs. Two changes at once could
   * allow two majorities without a common voter, so a new leader must first commit an entry of its
   * own term.
   */
  @Test
  void newLeaderRejectsMembershipChangeBeforeItsFirstCommit() {
    RaftReplica oldLeader = proposeCommands(cluster.runUntilConverged(), 1);
    cluster.isolate(oldLeader.id);
    RaftReplica newLeader = null;
    while (newLeader == null) {
      cluster.advanceClock(1);
      othersExcept(oldLeader).forEach(other -> cluster.tick(other, false));
      if (!cluster.messages.isEmpty()) {
        cluster.deliver(cluster.messages.remove(0), false);
      }
      newLeader =
          othersExcept(oldLeader).stream().filter(RaftReplica::isLeader).findFirst().orElse(null);
    }
    assertThat(newLeader.core().changeMembership(new Remove(oldLeader.id)))
        .isEqualTo(Verdict.CHANGE_IN_PROGRESS);
    cluster.run(RaftReplica.OPTIONS.heartbeatMillis());
    assertThat(newLeader.core().changeMembership(new Remove(oldLeader.id)))
        .isEqualTo(Verdict.ACCEPTED);
  }

  /**
   * The host of the leader is lost and the two remaining replicas time out at the same moment. If
   * both granted each other a pre-vote and then voted for themselves, writes would wait for
   * repeated election timeouts. One of them has priority, so the next term must have a leader.
   */
  @Test
  void simultaneousElectionTimeoutsDoNotSplitVote() {
    RaftReplica lostLeader = proposeCommands(cluster.runUntilConverged(), 3);
    final long term = lostLeader.core().term();
    lostLeader.crash();
    cluster.advanceClock(RaftReplica.OPTIONS.electionTimeoutMaxMillis());
    List<RaftReplica> remaining = othersExcept(lostLeader);
    remaining.forEach(replica -> replica.core().tick(cluster.nowMillis()));
    remaining.forEach(replica -> replica.performEffects(false));
    while (!cluster.messages.isEmpty()) {
      cluster.deliver(cluster.messages.remove(0), false);
    }

    assertThat(cluster.leader().orElseThrow().core().term()).isEqualTo(term + 1);
  }

  /**
   * Guards against reads that are confirmed without a quorum: a follower replies to a late append
   * of an earlier term of the same leader.
   */
  @Test
  void replyToAppendOfEarlierTermConfirmsNoRead() {
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 3);
    cluster.run(LONG_TERM_MILLIS);
    RaftReplica follower = othersExcept(leader).get(0);
    final RaftReplica other = othersExcept(leader).get(1);
    cluster.advanceClock(RaftReplica.OPTIONS.heartbeatMillis());
    cluster.tick(leader, false);
    RaftMessage late =
        cluster.messages.stream()
            .filter(message -> message.getTo() == follower.id && message.hasAppendRequest())
            .findFirst()
            .orElseThrow();
    handOver(leader, other);
    handOver(other, leader);

    cluster.deliver(late, false);
    cluster.run(RaftReplica.OPTIONS.heartbeatMillis());
    cluster.isolate(leader.id);
    assertThat(leader.core().requestRead(1)).isTrue();

    assertThat(leader.core().takeEffects().reads()).isEmpty();
  }

  private void handOver(RaftReplica from, RaftReplica to) {
    assertThat(from.core().handOver(to.id)).isTrue();
    from.performEffects(false);
    assertThat(cluster.runUntilConverged().id).isEqualTo(to.id);
  }

  /**
   * Guards against a replica that never gets its snapshot, as the replies to each heartbeat arrive
   * while the leader syncs.
   */
  @Test
  void leaderWithSlowSyncsSendsSnapshot() {
    RaftReplica behind = othersExcept(proposeCommands(cluster.runUntilConverged(), 3)).get(0);
    behind.crash();
    RaftReplica leader = proposeCommands(cluster.runUntilConverged(), 20);
    leader.takeSnapshot(0);
    behind.start(cluster.nowMillis());

    int chunks = 0;
    for (int batch = 0; batch < SLOW_BATCHES; batch++) {
      List<RaftMessage> sent = new ArrayList<>(cluster.messages);
      cluster.messages.clear();
      chunks += (int) sent.stream().filter(RaftMessage::hasSnapshotChunk).count();
      sent.forEach(message -> cluster.deliver(message, false));
      cluster.messages.forEach(reply -> leader.core().receive(reply, cluster.nowMillis()));
      cluster.messages.clear();
      cluster.advanceClock(SLOW_SYNC_MILLIS);
      leader.core().tick(cluster.nowMillis());
      leader.performEffects(false);
    }

    assertThat(leader.isLeader()).isTrue();
    assertThat(chunks).isGreaterThan(0);
    assertThat(behind.appliedIndex()).isEqualTo(leader.appliedIndex());
  }

  /**
   * Guards against a leader that sends all missing entries with each heartbeat to a lost replica.
   */
  @Test
  void leaderSendsNoEntriesToReplicaThatDoesNotReply() {
    RaftReplica lost = proposeCommands(cluster.runUntilConverged(), 3);
    lost.crash();
    RaftReplica leader = cluster.runUntilConverged();
    cluster.run(ELECTION_MILLIS);
    cluster.propose(leader);

    assertThat(entriesSentTo(lost, ELECTION_MILLIS)).isEqualTo(0);

    lost.start(cluster.nowMillis());
    assertThat(cluster.runUntilConverged().digest()).isEqualTo(lost.digest());
  }

  private long entriesSentTo(RaftReplica replica, long millis) {
    long count = 0;
    for (long end = cluster.nowMillis() + millis; cluster.nowMillis() < end; ) {
      cluster.advanceClock(RaftReplica.OPTIONS.heartbeatMillis());
      cluster.runningReplicas().forEach(running -> cluster.tick(running, false));
      while (!cluster.messages.isEmpty()) {
        RaftMessage message = cluster.messages.remove(0);
        count += message.getTo() == replica.id ? message.getAppendRequest().getEntriesCount() : 0;
        cluster.deliver(message, false);
      }
    }
    return count;
  }
}
