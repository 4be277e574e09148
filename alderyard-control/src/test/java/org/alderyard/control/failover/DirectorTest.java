package org.alderyard.control.failover;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.SuspicionQuorum.Suspicion;
import org.alderyard.control.failover.SuspicionQuorum.Verdict;
import org.junit.jupiter.api.Test;

/** Tests single decisions of the director, the backoff, the queue and the quorum. */
class DirectorTest {
  private static final GroupId GROUP = new GroupId("g");
  private static final ServerId S0 = new ServerId("s0");
  private static final ServerId S1 = new ServerId("s1");
  private static final ServerId S2 = new ServerId("s2");
  private static final List<ServerId> MEMBERS = List.of(S0, S1, S2);
  private static final Set<ServerId> ALL = Set.copyOf(MEMBERS);
  private static final DirectorOptions OPTIONS = DirectorOptions.DEFAULT;

  private final Director director = new Director(OPTIONS);
  private final FailoverRecord steady = FailoverRecord.steady(GROUP, 4, MEMBERS, Optional.of(S0));

  /**
   * Guards against the loss of an acknowledged write: the replaced primary of term 3 holds a long
   * tail that no majority holds, the primary of term 4 acknowledged one write, and both servers are
   * fenced at term 5.
   */
  @Test
  void laterTermIsPreferredToLongerTail() {
    Attempt attempt =
        Attempt.begin(5, 0)
            .withFencedPosition(S0, 5, new Position(3, 900))
            .withFencedPosition(S2, 5, new Position(4, 12));
    DirectorDecision decision = director.decide(granted(FailoverKind.FAILURE), attempt, ALL, 10);
    assertThat(decision)
        .isEqualTo(
            new DirectorDecision.Propose(
                new FailoverStep.Choose(5, new Candidate(S2, new Position(4, 12))),
                "majority-fenced"));
  }

  /**
   * Guards against a failover that fails on every attempt although the servers respond: one server
   * is fenced at a term that the control log does not contain, and refuses every lower term.
   */
  @Test
  void higherTermOfServerOpensNextHigherTerm() {
    Attempt attempt = Attempt.begin(5, 0).withFencedPosition(S1, 9, Position.NONE);
    assertThat(director.decide(granted(FailoverKind.FAILURE), attempt, ALL, 10))
        .isEqualTo(new DirectorDecision.Regrant(10, "higher-term-seen"));
    StepResult result =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Grant(5, 10, FailoverKind.FAILURE, MEMBERS, 0));
    assertThat(result.accepted()).isTrue();
    assertThat(result.record().term()).isEqualTo(10);
  }

  /**
   * Two of three servers have failed: writes stop, and the error states the reason and the retry
   * delay.
   */
  @Test
  void groupWithoutMajorityIsRefusedWithTypedError() {
    Attempt attempt = Attempt.begin(5, 0).withFencedPosition(S1, 5, new Position(4, 1));
    var refusal =
        (DirectorDecision.RefuseNoQuorum)
            director.decide(
                granted(FailoverKind.FAILURE), attempt, ALL, OPTIONS.quorumTimeoutMillis());
    assertThat(refusal.unfenced()).containsExactly(S0, S2);
    assertThat(refusal.toException().code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(refusal.toException().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusal.toException().retryAfterMillis().isPresent()).isTrue();
    Attempt restartedAttempt = attempt.withStartTime(OPTIONS.quorumTimeoutMillis());
    assertThat(director.decide(granted(FailoverKind.FAILURE), restartedAttempt, ALL, 1_001))
        .isEqualTo(new DirectorDecision.Fence(List.of(S0, S2), "majority-not-fenced"));
  }

  /**
   * Guards against the loss of recently accepted writes when an operator drains a primary: no
   * server is fenced before a replica has reached the position of the primary or the catch-up
   * timeout has passed.
   */
  @Test
  void handOverWaitsForReplicaAndPrefersItToOldPrimary() {
    FailoverRecord record = granted(FailoverKind.PLANNED);
    Attempt behind =
        Attempt.begin(5, 0)
            .withUnfencedPosition(S0, new Position(4, 8))
            .withUnfencedPosition(S1, new Position(4, 7))
            .withUnfencedPosition(S2, new Position(4, 7));
    assertThat(director.decide(record, behind, ALL, 10))
        .isInstanceOf(DirectorDecision.AskPositions.class);
    assertThat(director.decide(record, behind, ALL, OPTIONS.catchUpTimeoutMillis()))
        .isInstanceOf(DirectorDecision.Fence.class);
    Attempt caughtUp = behind.withUnfencedPosition(S2, new Position(4, 8));
    assertThat(director.decide(record, caughtUp, ALL, 10))
        .isInstanceOf(DirectorDecision.Fence.class);
    Attempt fenced =
        caughtUp
            .withFencedPosition(S0, 5, new Position(4, 8))
            .withFencedPosition(S2, 5, new Position(4, 8));
    assertThat(director.decide(record, fenced, ALL, 10))
        .isEqualTo(
            new DirectorDecision.Propose(
                new FailoverStep.Choose(5, new Candidate(S2, new Position(4, 8))),
                "majority-fenced"));
  }

  /**
   * Guards against a group that waits indefinitely: the chosen server fails before it takes the
   * term.
   */
  @Test
  void unresponsiveCandidateIsReplacedInHigherTerm() {
    FailoverRecord chosen =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Choose(5, new Candidate(S1, new Position(4, 3))))
            .record();
    assertThat(director.decide(chosen, Attempt.begin(5, 0), ALL, 0))
        .isEqualTo(new DirectorDecision.Promote(S1, "chosen"));
    assertThat(director.decide(chosen, Attempt.begin(5, 0), ALL, OPTIONS.promotionTimeoutMillis()))
        .isEqualTo(new DirectorDecision.Regrant(6, "candidate-silent"));
  }

  /** Two directors choose different servers for one term: the log accepts only the first choice. */
  @Test
  void secondChoiceInOneTermIsRefused() {
    FailoverRecord chosen =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Choose(5, new Candidate(S1, new Position(4, 3))))
            .record();
    StepResult second =
        chosen.apply(new FailoverStep.Choose(5, new Candidate(S2, new Position(4, 3))));
    assertThat(second.reason()).isEqualTo(StepResult.Reason.ALREADY_DONE);
    assertThat(second.record().candidate()).hasValue(new Candidate(S1, new Position(4, 3)));
    assertThat(chosen.apply(new FailoverStep.Publish(4)).reason())
        .isEqualTo(StepResult.Reason.STALE_TERM);
  }

  /** A primary fails after each replacement: the backoff doubles up to a maximum. */
  @Test
  void backoffOfFlappingGroupGrowsUpToMaximum() {
    FlapBackoff backoff = new FlapBackoff(OPTIONS);
    assertThat(backoff.waitMillis(List.of(), 100_000)).isEqualTo(0);
    assertThat(backoff.waitMillis(List.of(100_000L), 100_000)).isEqualTo(0);
    assertThat(backoff.waitMillis(List.of(99_000L, 100_000L), 100_000)).isEqualTo(500);
    assertThat(backoff.waitMillis(List.of(98_000L, 99_000L, 100_000L), 100_000)).isEqualTo(1_000);
    List<Long> eightGrants = List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L);
    assertThat(backoff.waitMillis(eightGrants, 8)).isEqualTo(16_000);
    assertThat(backoff.waitMillis(eightGrants, 61_000)).isEqualTo(0);
  }

  /** A zone fails: the limit holds, and a flapping group does not delay the other groups. */
  @Test
  void queueStartsStableGroupsFirstWithinLimit() {
    FailoverQueue queue = new FailoverQueue(3);
    var flapping = new FailoverQueue.PendingFailover(steady, FailoverKind.FAILURE, 1, 3);
    var late = new FailoverQueue.PendingFailover(record("b"), FailoverKind.FAILURE, 9, 0);
    var early = new FailoverQueue.PendingFailover(record("c"), FailoverKind.FAILURE, 5, 0);
    assertThat(queue.selectToStart(List.of(flapping, late, early), 1))
        .containsExactly(early, late)
        .inOrder();
    assertThat(queue.selectToStart(List.of(flapping, late, early), 3)).isEmpty();
  }

  /**
   * Guards against the replacement of a healthy primary: one watcher alone cannot reach it, another
   * vote is from a host that does not watch the group, and a third is for the previous primary.
   */
  @Test
  void singleWatcherDoesNotTriggerFailover() {
    SuspicionQuorum quorum = new SuspicionQuorum(1_000);
    List<HostId> watchers = List.of(new HostId("a"), new HostId("b"), new HostId("c"));
    quorum.updateSuspicions(watchers.get(0), Map.of(GROUP, new Suspicion(4, S0, 0, 0)));
    quorum.updateSuspicions(new HostId("stranger"), Map.of(GROUP, new Suspicion(4, S0, 0, 0)));
    quorum.updateSuspicions(watchers.get(1), Map.of(GROUP, new Suspicion(3, S1, 0, 0)));
    assertThat(quorum.countVotes(steady, watchers, 10)).isEqualTo(Verdict.MINORITY);
    quorum.updateSuspicions(watchers.get(1), Map.of(GROUP, new Suspicion(4, S0, 0, 10)));
    assertThat(quorum.countVotes(steady, watchers, 10)).isEqualTo(Verdict.AGREED);
    assertThat(quorum.countVotes(steady, watchers, 1_005)).isEqualTo(Verdict.MINORITY);
    quorum.updateSuspicions(watchers.get(1), Map.of());
    assertThat(quorum.countVotes(steady, watchers, 2_000)).isEqualTo(Verdict.NONE);
  }

  private static FailoverRecord record(String group) {
    return FailoverRecord.steady(new GroupId(group), 4, MEMBERS, Optional.of(S0));
  }

  private FailoverRecord granted(FailoverKind kind) {
    return steady.apply(new FailoverStep.Grant(4, 5, kind, MEMBERS, 0)).record();
  }
}
