package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
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

/** Single failures of the log, each told as a story. */
class RaftFailureStoriesTest {
  private static final long LONG_MILLIS = 3_600_000;
  private static final long ELECTION_MILLIS = 2_000;

  private final RaftCluster cluster = new RaftCluster(7, 3);

  private RaftReplica proposeMany(RaftReplica leader, int count) {
    for (int i = 0; i < count; i++) {
      assertThat(cluster.propose(leader)).isTrue();
    }
    return cluster.settle();
  }

  private List<RaftReplica> othersThan(RaftReplica replica) {
    return cluster.up().stream().filter(other -> other != replica).toList();
  }

  private static void change(RaftReplica leader, MembershipChange change) {
    assertThat(leader.core().change(change)).isEqualTo(Verdict.ACCEPTED);
    leader.perform(false);
  }

  /**
   * An operator's change goes to a leader that was cut off; it is never acknowledged. The others
   * elect a leader and go on. An hour later the old leader returns in its old term: it drops its
   * own entry, takes over theirs, and its return costs no election.
   */
  @Test
  void leaderReturnsAfterLongPartition() {
    RaftReplica old = proposeMany(cluster.settle(), 3);
    cluster.isolate(old.id);
    assertThat(cluster.propose(old)).isTrue();
    cluster.run(ELECTION_MILLIS);
    assertThat(old.leads()).isFalse();
    RaftReplica current = cluster.leader().orElseThrow();
    cluster.propose(current);
    cluster.run(LONG_MILLIS / 100);
    final long term = current.core().term();

    cluster.heal();
    assertThat(cluster.settle()).isEqualTo(current);

    assertThat(current.core().term()).isEqualTo(term);
    assertThat(old.digest()).isEqualTo(current.digest());
  }

  /**
   * All hosts lose power at once and come back within a tenth of a second of each other. There is
   * no leader whose silence must be waited out, so they need not wait an election timeout, in which
   * no caller is served.
   */
  @Test
  void leaderIsThereSoonAfterAllHostsLostPower() {
    proposeMany(cluster.settle(), 5);
    List<RaftReplica> all = List.copyOf(cluster.up());
    all.forEach(RaftReplica::crash);
    cluster.run(LONG_MILLIS / 1_000);
    for (RaftReplica replica : all) {
      replica.start(cluster.nowMillis());
      cluster.run(20);
    }

    cluster.run(100);

    assertThat(cluster.leader().isPresent()).isTrue();
  }

  /**
   * One host restarts while the leader lives. It asks for pre-votes at once; the others hear the
   * leader and refuse, so the leader keeps its term.
   */
  @Test
  void replicaThatStartsDisturbsNoLeader() {
    RaftReplica leader = proposeMany(cluster.settle(), 5);
    final long term = leader.core().term();
    RaftReplica other = othersThan(leader).get(0);
    other.crash();
    cluster.run(LONG_MILLIS / 1_000);
    other.start(cluster.nowMillis());

    cluster.run(ELECTION_MILLIS);

    assertThat(leader.leads()).isTrue();
    assertThat(leader.core().term()).isEqualTo(term);
  }

  /**
   * A reader asks a leader that was replaced and doesn't know it. If it answered from its own state
   * the reader would miss a change that was accepted elsewhere. The read must fail instead.
   */
  @Test
  void replacedLeaderConfirmsNoRead() {
    RaftReplica old = proposeMany(cluster.settle(), 1);
    cluster.isolate(old.id);
    cluster.invariants.readAsked(1);
    assertThat(old.core().read(1)).isTrue();
    Effects first = old.core().drain();
    old.core().synced();
    assertThat(first.reads()).isEmpty();

    cluster.advance(ELECTION_MILLIS);
    old.core().tick(cluster.nowMillis());

    assertThat(old.core().drain().failedReads()).containsExactly(1L);
    assertThat(old.core().read(2)).isFalse();
  }

  /**
   * The leader hears the others but they don't hear it. Without a check it would lead a log that
   * nobody copies. The others elect a new leader, and the old one steps down.
   */
  @Test
  void leaderThatIsNotHeardIsReplaced() {
    RaftReplica old = proposeMany(cluster.settle(), 1);
    othersThan(old).forEach(other -> cluster.cut(old.id, other.id));

    cluster.run(ELECTION_MILLIS);

    assertThat(old.leads()).isFalse();
    assertThat(cluster.leader().isPresent()).isTrue();
    assertThat(cluster.propose(cluster.leader().orElseThrow())).isTrue();
  }

  /**
   * The leader is heard but hears nobody, so the others see no reason for an election while nothing
   * commits. The leader steps down by itself and the others go on.
   */
  @Test
  void leaderThatHearsNobodyStepsDown() {
    RaftReplica old = proposeMany(cluster.settle(), 1);
    othersThan(old).forEach(other -> cluster.cut(other.id, old.id));

    cluster.run(ELECTION_MILLIS);

    assertThat(old.leads()).isFalse();
    assertThat(cluster.leader().isPresent()).isTrue();
  }

  /**
   * A host's disk is wiped and the host returns under its old name. If it voted again, a majority
   * could elect a leader that lacks accepted changes. It returns under a new replica id, learns
   * first, and messages for the old id are dropped. Right after the repair a second host is lost:
   * the two that are left hold everything and go on.
   */
  @Test
  void wipedVoterReturnsAndAnotherHostIsLost() {
    RaftReplica leader = proposeMany(cluster.settle(), 20);
    RaftReplica wiped = othersThan(leader).get(0);
    wiped.crash();
    RaftReplica fresh = cluster.add(4, Membership.EMPTY);
    fresh
        .core()
        .receive(
            RaftMessage.newBuilder()
                .setFrom(leader.id)
                .setTo(wiped.id)
                .setTerm(99)
                .setVoteRequest(VoteRequest.newBuilder().setCandidateTerm(99).setLastTerm(99))
                .build(),
            cluster.nowMillis());
    assertThat(fresh.core().term()).isEqualTo(0);

    change(leader, new AddLearner(RaftCluster.member(fresh.id)));
    assertThat(leader.core().change(new Promote(fresh.id))).isEqualTo(Verdict.CHANGE_IN_PROGRESS);
    cluster.settle();
    change(leader, new Remove(wiped.id));
    cluster.settle();
    change(leader, new Promote(fresh.id));
    cluster.settle();
    final long digest = leader.digest();
    leader.crash();

    RaftReplica next = cluster.settle();
    assertThat(next.digest()).isEqualTo(digest);
    assertThat(cluster.propose(next)).isTrue();
  }

  /** A learner that lacks the log would stop the majority once it votes; it is refused. */
  @Test
  void learnerThatIsBehindDoesNotVote() {
    RaftReplica leader = proposeMany(cluster.settle(), 20);
    cluster.add(4, Membership.EMPTY).crash();
    change(leader, new AddLearner(RaftCluster.member(4)));
    cluster.run(ELECTION_MILLIS);

    assertThat(leader.core().change(new Promote(4))).isEqualTo(Verdict.LEARNER_BEHIND);
    assertThat(leader.core().membership().voters()).containsExactly(1L, 2L, 3L);
  }

  /**
   * A host was removed while it was cut off, so it never learned of it. It returns and campaigns
   * for ever with its old list of members. The leader and the term stay as they are.
   */
  @Test
  void removedHostThatReturnsDisturbsNobody() {
    RaftReplica leader = proposeMany(cluster.settle(), 2);
    RaftReplica removed = othersThan(leader).get(0);
    cluster.isolate(removed.id);
    change(leader, new Remove(removed.id));
    cluster.run(ELECTION_MILLIS);
    final long term = leader.core().term();

    cluster.heal();
    cluster.run(10 * ELECTION_MILLIS);

    assertThat(leader.leads()).isTrue();
    assertThat(leader.core().term()).isEqualTo(term);
    assertThat(removed.leads()).isFalse();
  }

  /**
   * A follower is down while hundreds of changes pass and the log is trimmed. It gets the state as
   * a snapshot in chunks, some of which are lost and repeated, and then the newest entries.
   */
  @Test
  void followerCatchesUpBySnapshot() {
    RaftReplica leader = cluster.settle();
    RaftReplica late = othersThan(leader).get(0);
    late.crash();
    proposeMany(leader, 300);
    leader.takeSnapshot(0);
    proposeMany(leader, 3);
    late.start(cluster.nowMillis());
    cluster.cut(leader.id, late.id);
    cluster.run(100);
    cluster.heal();

    cluster.settle();

    assertThat(late.digest()).isEqualTo(leader.digest());
    assertThat(late.appliedIndex()).isEqualTo(leader.appliedIndex());
  }

  /**
   * A leader copies an entry of an earlier term to a majority and loses its place. Had it told its
   * caller that the entry is committed, a later leader could still replace it. So copies of earlier
   * terms are not counted, only those of the own term.
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
    Leadership leadership = new Leadership(state);
    state.log.markStored();
    leadership.onAppendReply(matched(1));
    assertThat(state.log.commitIndex()).isEqualTo(0);

    leadership.onAppendReply(matched(2));
    assertThat(state.log.commitIndex()).isEqualTo(2);
  }

  private static RaftMessage matched(long index) {
    return RaftMessage.newBuilder()
        .setFrom(2)
        .setTo(1)
        .setTerm(4)
        .setAppendReply(AppendReply.newBuilder().setSuccess(true).setMatchIndex(index))
        .build();
  }

  /**
   * A follower acknowledged entries that came after a snapshot which is sent to it late. If it
   * dropped them, the leader would count a copy that is gone, and a commit could be lost.
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
   * All hosts are suspended for an hour, and one wakes a moment before the others. It may campaign,
   * but no accepted change is lost and the log goes on.
   */
  @Test
  void clockJumpLosesNothing() {
    RaftReplica leader = proposeMany(cluster.settle(), 5);
    final long digest = leader.digest();
    cluster.advance(LONG_MILLIS);
    cluster.tick(othersThan(leader).get(0), false);

    RaftReplica next = cluster.settle();
    assertThat(next.digest()).isEqualTo(digest);
    assertThat(cluster.propose(next)).isTrue();
  }

  /**
   * An operator drains the leader's host. The leader stops taking proposals (they did not run, so
   * the caller may resend), the target holds the whole log, and leads without a timeout.
   */
  @Test
  void leaderHandsOverWithoutWaitingForTimeout() {
    RaftReplica leader = proposeMany(cluster.settle(), 5);
    RaftReplica target = othersThan(leader).get(0);
    cluster.propose(leader);
    assertThat(leader.core().handOver(target.id)).isTrue();
    assertThat(leader.core().propose(ByteString.EMPTY)).isEqualTo(OptionalLong.empty());
    leader.perform(false);

    cluster.run(RaftReplica.OPTIONS.heartbeatMillis());

    assertThat(target.leads()).isTrue();
    assertThat(cluster.settle().digest()).isEqualTo(target.digest());
  }

  /**
   * A new leader changes the members while a change of the leader before it may still be in some
   * logs. Two changes at once could give two majorities without a common voter. So it must have an
   * entry of its own term committed first.
   */
  @Test
  void newLeaderChangesNoMembersBeforeItsFirstCommit() {
    RaftReplica old = proposeMany(cluster.settle(), 1);
    cluster.isolate(old.id);
    RaftReplica next = null;
    while (next == null) {
      cluster.advance(1);
      othersThan(old).forEach(other -> cluster.tick(other, false));
      if (!cluster.pipe.isEmpty()) {
        cluster.deliver(cluster.pipe.remove(0), false);
      }
      next = othersThan(old).stream().filter(RaftReplica::leads).findFirst().orElse(null);
    }
    assertThat(next.core().change(new Remove(old.id))).isEqualTo(Verdict.CHANGE_IN_PROGRESS);
    cluster.run(RaftReplica.OPTIONS.heartbeatMillis());
    assertThat(next.core().change(new Remove(old.id))).isEqualTo(Verdict.ACCEPTED);
  }

  /**
   * The leader's host is lost, and the two that are left notice it in the same moment. If each let
   * the other stand and then voted for itself, the writes would wait for one timeout after another.
   * One of them goes first, so the next term has a leader.
   */
  @Test
  void twoThatNoticeTheLossAtOnceDoNotSplitTheVote() {
    RaftReplica lost = proposeMany(cluster.settle(), 3);
    final long term = lost.core().term();
    lost.crash();
    cluster.advance(RaftReplica.OPTIONS.electionTimeoutMaxMillis());
    List<RaftReplica> left = othersThan(lost);
    left.forEach(replica -> replica.core().tick(cluster.nowMillis()));
    left.forEach(replica -> replica.perform(false));
    while (!cluster.pipe.isEmpty()) {
      cluster.deliver(cluster.pipe.remove(0), false);
    }

    assertThat(cluster.leader().orElseThrow().core().term()).isEqualTo(term + 1);
  }
}
