package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.MembershipChange.AddLearner;
import org.alderyard.control.raft.MembershipChange.Verdict;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.raft.RaftOptions;
import org.alderyard.control.raft.Role;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.Replacement;
import org.junit.jupiter.api.Test;

/** Tests the membership changes of a leader that is the only voter. */
class MembershipRepairTest {
  private static final long LEARNER = 2;
  private static final long LONG_MILLIS = 60_000;

  private final RaftCore core =
      new RaftCore(
          1,
          RaftOptions.defaults(),
          HardState.getDefaultInstance(),
          Snapshot.founding(new Membership(List.of(member(1).toBuilder().setVoter(true).build()))),
          List.of(),
          new Random(1),
          0);
  private final MembershipRepair repair =
      new MembershipRepair(
          Optional.of(new OpenMembership(1, true, List::of)), Duration.ofMillis(200));

  private static Member member(long replicaId) {
    return Member.newBuilder().setReplicaId(replicaId).setHostId("host-" + replicaId).build();
  }

  private void sync() {
    core.takeEffects();
    core.markSynced();
  }

  /**
   * Guards against a voter that stops without handing over its vote, since a leader that was just
   * elected has not heard the learner yet.
   */
  @Test
  void newLeaderWaitsForFirstRepliesOfLearners() {
    core.tick(1_000);
    sync(); // Its vote for itself.
    sync(); // The first entry of its term.
    assertThat(repair.replace(core, 1, 1_010)).isEqualTo(Replacement.REPLACEMENT_IMPOSSIBLE);
    assertThat(core.changeMembership(new AddLearner(member(LEARNER)))).isEqualTo(Verdict.ACCEPTED);
    sync();

    assertThat(repair.replace(core, 1, 1_020)).isEqualTo(Replacement.REPLACEMENT_IN_PROGRESS);
    core.tick(2_000);
    assertThat(repair.replace(core, 1, 2_000)).isEqualTo(Replacement.REPLACEMENT_IMPOSSIBLE);
  }

  /** Guards against a leader that connects for good to a learner whose host is gone. */
  @Test
  void learnerThatIsGoneIsRemoved() {
    core.tick(1_000);
    sync(); // Its vote for itself.
    sync(); // The first entry of its term.
    assertThat(core.role()).isEqualTo(Role.LEADER);
    assertThat(core.changeMembership(new AddLearner(member(LEARNER)))).isEqualTo(Verdict.ACCEPTED);
    sync();

    core.tick(2_000);
    repair.repair(core, 2_000);
    assertThat(core.membership().member(LEARNER)).isPresent();

    core.tick(LONG_MILLIS);
    repair.repair(core, LONG_MILLIS);
    assertThat(core.membership().member(LEARNER)).isEmpty();
  }
}
