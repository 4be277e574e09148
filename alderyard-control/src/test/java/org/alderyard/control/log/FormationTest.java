package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import org.alderyard.control.log.Formation.Action;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Demote;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.protocol.generated.raft.FolderIdentity;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.MemberList;
import org.junit.jupiter.api.Test;

/** Tests how a cluster is founded and joined, and how a replica is replaced. */
class FormationTest {
  private static final List<String> OTHER_HOSTS = List.of("b", "c");
  private static final MemberList FOUNDERS = list(voter(1, "a"), voter(2, "b"), voter(3, "c"));

  private static Member learner(long id, String name) {
    return Member.newBuilder().setReplicaId(id).setHostId(name).setAddress(name).build();
  }

  private static Member voter(long id, String name) {
    return learner(id, name).toBuilder().setVoter(true).build();
  }

  private static MemberList list(Member... members) {
    return MemberList.newBuilder().addAllMembers(List.of(members)).build();
  }

  private static JoinReply reply(long id, String name, MemberList founders, boolean formed) {
    return JoinReply.newBuilder()
        .setSelf(learner(id, name))
        .setFounders(founders)
        .setFormed(formed)
        .build();
  }

  private static Formation.Decision decide(
      long self, MemberList recorded, Map<String, JoinReply> replies) {
    FolderIdentity identity = FolderIdentity.newBuilder().setFounders(recorded).build();
    return Formation.decide(learner(self, "a"), identity, OTHER_HOSTS, replies);
  }

  @Test
  void foundsClusterOnceAllHostsRecordedTheSameFounders() {
    MemberList none = MemberList.getDefaultInstance();
    JoinReply thirdHost = reply(3, "c", none, false);
    assertThat(decide(1, none, Map.of("c", thirdHost)).action()).isEqualTo(Action.WAIT);

    Map<String, JoinReply> notRecorded = Map.of("b", reply(2, "b", none, false), "c", thirdHost);
    assertThat(decide(1, none, notRecorded).action()).isEqualTo(Action.RECORD);
    assertThat(decide(1, none, notRecorded).founders()).isEqualTo(FOUNDERS);
    assertThat(decide(1, FOUNDERS, notRecorded).reason()).isEqualTo("founders-differ");

    Map<String, JoinReply> agreed =
        Map.of("b", reply(2, "b", FOUNDERS, false), "c", reply(3, "c", FOUNDERS, false));
    assertThat(decide(1, FOUNDERS, agreed).action()).isEqualTo(Action.FOUND);
  }

  /**
   * A voter's disk is wiped right after the cluster is founded, while another host is down. If the
   * voter founded a cluster again, it could vote twice, so it must join through the remaining host.
   */
  @Test
  void wipedFounderJoinsWithNewReplicaId() {
    Map<String, JoinReply> replies = Map.of("b", reply(2, "b", FOUNDERS, true));
    assertThat(decide(9, MemberList.getDefaultInstance(), replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(1, FOUNDERS, replies).action()).isEqualTo(Action.FOUND);
  }

  /** A host that joined later knows no founders, so its reply does not decide the formation. */
  @Test
  void replyOfLaterMemberDoesNotDecideFormation() {
    JoinReply newcomer = reply(7, "c", MemberList.getDefaultInstance(), true);
    assertThat(decide(1, FOUNDERS, Map.of("c", newcomer)).action()).isEqualTo(Action.WAIT);
    Map<String, JoinReply> both = Map.of("b", reply(2, "b", FOUNDERS, true), "c", newcomer);
    assertThat(decide(1, FOUNDERS, both).action()).isEqualTo(Action.FOUND);
  }

  /**
   * Every host's disk has been replaced, so no host knows the founders any more, and then one disk
   * is lost again. The host must still be able to join, and must not found a second cluster.
   */
  @Test
  void wipedHostJoinsWhenNoFounderIsLeft() {
    MemberList none = MemberList.getDefaultInstance();
    Map<String, JoinReply> replies =
        Map.of("b", reply(7, "b", none, true), "c", reply(8, "c", none, true));
    assertThat(decide(9, none, replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(9, FOUNDERS, replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(9, none, Map.of("b", reply(7, "b", none, true))).action())
        .isEqualTo(Action.JOIN);
  }

  @Test
  void replacesReplicaInOrderLearnerRemovalPromotion() {
    Member returned = learner(9, "c");
    Membership membership = new Membership(FOUNDERS);
    MembershipRepairPlan notMember = new MembershipRepairPlan(membership, id -> true);
    assertThat(notMember.nextChange(List.of(returned))).hasValue(new AddLearner(returned));

    membership = membership.with(returned);
    assertThat(new MembershipRepairPlan(membership, id -> false).nextChange(List.of(returned)))
        .isEmpty();
    assertThat(new MembershipRepairPlan(membership, id -> true).nextChange(List.of(returned)))
        .hasValue(new Remove(3));

    membership = membership.without(3);
    assertThat(new MembershipRepairPlan(membership, id -> true).nextChange(List.of(returned)))
        .hasValue(new Promote(9));
  }

  /**
   * All hosts lose their disks, or a new host starts long after the cluster was founded. Whatever
   * its seeds reply, the host must not found a second cluster.
   */
  @Test
  void hostThatMayNotFoundOnlyJoins() {
    Member self = learner(9, "a");
    JoinReply unformed = reply(2, "b", MemberList.getDefaultInstance(), false);
    assertThat(Formation.decideToJoin(self, Map.of("b", unformed)).action()).isEqualTo(Action.WAIT);
    assertThat(Formation.decideToJoin(self, Map.of()).action()).isEqualTo(Action.WAIT);

    JoinReply formed = reply(3, "c", FOUNDERS, true);
    assertThat(Formation.decideToJoin(self, Map.of("b", unformed, "c", formed)).action())
        .isEqualTo(Action.JOIN);
  }

  /** An empty host with a new name replaces a lost voter, and only a lost voter. */
  @Test
  void newHostReplacesOnlyLostVoter() {
    Member newcomer = learner(9, "d");
    Membership membership =
        new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), newcomer));
    MembershipRepairPlan noVoterLost = plan(membership, id -> true, id -> false, id -> false);
    assertThat(noVoterLost.nextChange(List.of(newcomer))).isEmpty();

    MembershipRepairPlan voterLost = plan(membership, id -> true, id -> id == 2, id -> false);
    assertThat(voterLost.nextChange(List.of(newcomer))).hasValue(new Remove(2));

    Membership withoutLostVoter = membership.without(2);
    MembershipRepairPlan voterMissing =
        plan(withoutLostVoter, id -> true, id -> false, id -> false);
    assertThat(voterMissing.nextChange(List.of(newcomer))).hasValue(new Promote(9));
  }

  /**
   * Guards against a log that ends for good: a voter stops for planned work, and one more disk is
   * lost before the leader takes the voter for lost.
   */
  @Test
  void voterThatStopsIsReplacedWhileItVotes() {
    Member successor = learner(9, "d");
    Membership membership =
        new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), successor));
    MembershipRepairPlan leaving = plan(membership, id -> true, id -> false, id -> id == 2);
    assertThat(leaving.hasSuccessor(List.of(successor))).isTrue();
    assertThat(leaving.nextChange(List.of(successor))).hasValue(new Promote(9));

    Membership promoted = membership.with(successor.toBuilder().setVoter(true).build());
    assertThat(plan(promoted, id -> true, id -> false, id -> id == 2).nextChange(List.of()))
        .hasValue(new Remove(2));
    assertThat(plan(promoted, id -> true, id -> id == 2, id -> false).nextChange(List.of()))
        .hasValue(new Demote(2));
  }

  @Test
  void voterThatStopsStaysWithoutSuccessorThatHasCaughtUp() {
    Member behind = learner(9, "d");
    Membership membership =
        new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), behind));
    MembershipRepairPlan plan = plan(membership, id -> id != 9, id -> false, id -> id == 2);
    assertThat(plan.hasSuccessor(List.of(behind))).isFalse();
    assertThat(plan.nextChange(List.of(behind))).isEmpty();
  }

  /**
   * Guards against a log that ends for good: a host is gone without notice, then a disk is lost.
   */
  @Test
  void successorVotesBeforeAnyVoterIsGone() {
    Member successor = successor(9, "d");
    Member second = successor(10, "e");
    Membership membership =
        new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), successor, second));
    assertThat(
            plan(membership, id -> true, id -> false, id -> false)
                .nextChange(List.of(successor, second)))
        .hasValue(new Promote(9));
    assertThat(
            plan(membership, id -> true, id -> id == 2, id -> false).nextChange(List.of(successor)))
        .hasValue(new Demote(2));

    Membership promoted = membership.with(successor.toBuilder().setVoter(true).build());
    assertThat(plan(promoted, id -> true, id -> false, id -> false).nextChange(List.of(second)))
        .hasValue(new Promote(10));
    assertThat(
            plan(promoted.with(voter(10, "e")), id -> true, id -> false, id -> false)
                .nextChange(List.of(successor(11, "f"))))
        .hasValue(new AddLearner(successor(11, "f")));
    assertThat(
            plan(
                    promoted.with(voter(10, "e")).with(successor(11, "f")),
                    id -> true,
                    id -> false,
                    id -> false)
                .nextChange(List.of(successor(11, "f"))))
        .isEmpty();
    assertThat(plan(promoted, id -> true, id -> id == 2, id -> false).nextChange(List.of(second)))
        .hasValue(new Demote(2));
  }

  /**
   * Guards against a log that ends for good: a voter that froze returns without a vote, and the
   * host that is replaced is gone.
   */
  @Test
  void lostVoterVotesAgainOnceItIsBack() {
    Member returned = successor(2, "b");
    Membership membership =
        new Membership(list(voter(1, "a"), returned, voter(3, "c"), voter(4, "d")));
    assertThat(plan(membership, id -> true, id -> false, id -> false).nextChange(List.of(returned)))
        .hasValue(new Promote(2));
    assertThat(
            plan(membership, id -> id != 2, id -> false, id -> false).nextChange(List.of(returned)))
        .isEmpty();
  }

  /**
   * Guards against a voter that is lost and returns without end, and changes the votes each time.
   */
  @Test
  void voterThatWasLostShortlyBeforeWaitsForItsVote() {
    Member returned = successor(2, "b");
    Membership membership =
        new Membership(list(voter(1, "a"), returned, voter(3, "c"), voter(4, "d")));
    MembershipRepairPlan plan =
        new MembershipRepairPlan(
            membership, id -> true, 3, id -> false, id -> false, replicaId -> false);
    assertThat(plan.nextChange(List.of(returned))).isEmpty();
  }

  /** A learner of the first start takes the vote of a lost voter, which then waits in its place. */
  @Test
  void voterThatLearnerReplacesLeavesMembership() {
    Member learner = learner(9, "d");
    Membership membership =
        new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), learner));
    assertThat(
            plan(membership, id -> true, id -> id == 2, id -> false).nextChange(List.of(learner)))
        .hasValue(new Remove(2));
  }

  private static Member successor(long replicaId, String host) {
    return learner(replicaId, host).toBuilder().setSuccessor(true).build();
  }

  private static MembershipRepairPlan plan(
      Membership membership,
      LongPredicate hasCaughtUp,
      LongPredicate isLost,
      LongPredicate isLeaving) {
    return new MembershipRepairPlan(
        membership, hasCaughtUp, 3, isLost, isLeaving, replicaId -> true);
  }
}
