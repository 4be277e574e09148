package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.alderyard.control.log.Formation.Action;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Promote;
import org.alderyard.control.raft.MembershipChange.Remove;
import org.alderyard.protocol.generated.raft.FolderIdentity;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.MemberList;
import org.junit.jupiter.api.Test;

/** Who founds a cluster, who joins it, and in which steps a replica is replaced. */
class FormationTest {
  private static final List<String> OTHERS = List.of("b", "c");
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
    return Formation.decide(learner(self, "a"), identity, OTHERS, replies);
  }

  @Test
  void clusterIsFoundedOnceAllRecordedTheSameList() {
    MemberList none = MemberList.getDefaultInstance();
    JoinReply third = reply(3, "c", none, false);
    assertThat(decide(1, none, Map.of("c", third)).action()).isEqualTo(Action.WAIT);

    Map<String, JoinReply> fresh = Map.of("b", reply(2, "b", none, false), "c", third);
    assertThat(decide(1, none, fresh).action()).isEqualTo(Action.RECORD);
    assertThat(decide(1, none, fresh).founders()).isEqualTo(FOUNDERS);
    assertThat(decide(1, FOUNDERS, fresh).reason()).isEqualTo("founders-differ");

    Map<String, JoinReply> agreed =
        Map.of("b", reply(2, "b", FOUNDERS, false), "c", reply(3, "c", FOUNDERS, false));
    assertThat(decide(1, FOUNDERS, agreed).action()).isEqualTo(Action.FOUND);
  }

  /**
   * A voter's disk is wiped right after the cluster was founded, and one more host is down. The
   * voter asks the host that is left; to found anything would give its vote a second time.
   */
  @Test
  void wipedFounderJoinsUnderItsNewId() {
    Map<String, JoinReply> replies = Map.of("b", reply(2, "b", FOUNDERS, true));
    assertThat(decide(9, MemberList.getDefaultInstance(), replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(1, FOUNDERS, replies).action()).isEqualTo(Action.FOUND);
  }

  /** A host that joined later knows no founders, so its word decides nothing. */
  @Test
  void newcomerIsNoWitnessOfTheFoundation() {
    JoinReply newcomer = reply(7, "c", MemberList.getDefaultInstance(), true);
    assertThat(decide(1, FOUNDERS, Map.of("c", newcomer)).action()).isEqualTo(Action.WAIT);
    Map<String, JoinReply> both = Map.of("b", reply(2, "b", FOUNDERS, true), "c", newcomer);
    assertThat(decide(1, FOUNDERS, both).action()).isEqualTo(Action.FOUND);
  }

  /**
   * Over the years every host's disk was replaced once, and now one is lost again. Nobody is left
   * who knows the founders; the host must still be taken in, and must not found a second cluster.
   */
  @Test
  void wipedHostJoinsWhenAllFoundersAreGone() {
    MemberList none = MemberList.getDefaultInstance();
    Map<String, JoinReply> replies =
        Map.of("b", reply(7, "b", none, true), "c", reply(8, "c", none, true));
    assertThat(decide(9, none, replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(9, FOUNDERS, replies).action()).isEqualTo(Action.JOIN);
    assertThat(decide(9, none, Map.of("b", reply(7, "b", none, true))).action())
        .isEqualTo(Action.JOIN);
  }

  @Test
  void replicaLearnsBeforeTheOldOneGoesAndVotesLast() {
    Member returned = learner(9, "c");
    Membership now = new Membership(FOUNDERS);
    RepairPlan unknown = new RepairPlan(now, id -> true);
    assertThat(unknown.next(List.of(returned))).hasValue(new AddLearner(returned));

    now = now.with(returned);
    assertThat(new RepairPlan(now, id -> false).next(List.of(returned))).isEmpty();
    assertThat(new RepairPlan(now, id -> true).next(List.of(returned))).hasValue(new Remove(3));

    now = now.without(3);
    assertThat(new RepairPlan(now, id -> true).next(List.of(returned))).hasValue(new Promote(9));
  }

  /**
   * Every host lost its disk, or a host starts anew long after the foundation: whatever its seeds
   * answer, it must not found a second cluster beside the first.
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

  /** A machine is replaced by an empty one with another name: it takes the lost voter's seat. */
  @Test
  void newHostTakesTheSeatOfLostVoterAndOfNoOther() {
    Member newcomer = learner(9, "d");
    Membership now = new Membership(list(voter(1, "a"), voter(2, "b"), voter(3, "c"), newcomer));
    RepairPlan calm = new RepairPlan(now, id -> true, 3, id -> false);
    assertThat(calm.next(List.of(newcomer))).isEmpty();

    RepairPlan lost = new RepairPlan(now, id -> true, 3, id -> id == 2);
    assertThat(lost.next(List.of(newcomer))).hasValue(new Remove(2));

    Membership smaller = now.without(2);
    RepairPlan seat = new RepairPlan(smaller, id -> true, 3, id -> false);
    assertThat(seat.next(List.of(newcomer))).hasValue(new Promote(9));
  }
}
