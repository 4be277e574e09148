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

/** Single decisions of the director, of the back-off, of the queue and of the quorum. */
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
   * A caller's acknowledged write would be gone. The primary of term 3 wrote a long tail that no
   * majority holds and was replaced; term 4 acknowledged one write. Both servers are fenced at 5.
   */
  @Test
  void laterTermWinsOverLongerTail() {
    Attempt attempt =
        Attempt.begin(5, 0)
            .withFenced(S0, 5, new Position(3, 900))
            .withFenced(S2, 5, new Position(4, 12));
    DirectorDecision decision = director.decide(granted(FailoverKind.FAILURE), attempt, ALL, 10);
    assertThat(decision)
        .isEqualTo(
            new DirectorDecision.Propose(
                new FailoverStep.Choose(5, new Choice(S2, new Position(4, 12))),
                "majority-fenced"));
  }

  /**
   * Every try of a failover fails although the servers answer. One of them was fenced at a term
   * that the control log does not know of; it refuses ours for good.
   */
  @Test
  void higherTermOfServerOpensTermAboveIt() {
    Attempt attempt = Attempt.begin(5, 0).withFenced(S1, 9, Position.NONE);
    assertThat(director.decide(granted(FailoverKind.FAILURE), attempt, ALL, 10))
        .isEqualTo(new DirectorDecision.Regrant(10, "higher-term-seen"));
    StepResult result =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Grant(5, 10, FailoverKind.FAILURE, MEMBERS, 0));
    assertThat(result.accepted()).isTrue();
    assertThat(result.record().term()).isEqualTo(10);
  }

  /** Two of three servers are gone: writes stop, and whoever asks hears why and when to return. */
  @Test
  void groupWithoutMajorityIsRefusedWithTypedError() {
    Attempt attempt = Attempt.begin(5, 0).withFenced(S1, 5, new Position(4, 1));
    var refusal =
        (DirectorDecision.RefuseNoQuorum)
            director.decide(
                granted(FailoverKind.FAILURE), attempt, ALL, OPTIONS.noQuorumAfterMillis());
    assertThat(refusal.missing()).containsExactly(S0, S2);
    assertThat(refusal.toException().code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(refusal.toException().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusal.toException().retryAfterMillis().isPresent()).isTrue();
    Attempt again = attempt.restarted(OPTIONS.noQuorumAfterMillis());
    assertThat(director.decide(granted(FailoverKind.FAILURE), again, ALL, 1_001))
        .isEqualTo(new DirectorDecision.Fence(List.of(S0, S2), "majority-not-fenced"));
  }

  /**
   * An operator drains a primary, and writes that were just accepted would have to be given up. No
   * server is fenced before a replica holds all of the primary, or the time for it is over.
   */
  @Test
  void handOverWaitsForReplicaAndPrefersItOverOldPrimary() {
    FailoverRecord record = granted(FailoverKind.PLANNED);
    Attempt behind =
        Attempt.begin(5, 0)
            .withHeld(S0, new Position(4, 8))
            .withHeld(S1, new Position(4, 7))
            .withHeld(S2, new Position(4, 7));
    assertThat(director.decide(record, behind, ALL, 10))
        .isInstanceOf(DirectorDecision.AskPositions.class);
    assertThat(director.decide(record, behind, ALL, OPTIONS.drainMillis()))
        .isInstanceOf(DirectorDecision.Fence.class);
    Attempt caughtUp = behind.withHeld(S2, new Position(4, 8));
    assertThat(director.decide(record, caughtUp, ALL, 10))
        .isInstanceOf(DirectorDecision.Fence.class);
    Attempt fenced =
        caughtUp.withFenced(S0, 5, new Position(4, 8)).withFenced(S2, 5, new Position(4, 8));
    assertThat(director.decide(record, fenced, ALL, 10))
        .isEqualTo(
            new DirectorDecision.Propose(
                new FailoverStep.Choose(5, new Choice(S2, new Position(4, 8))), "majority-fenced"));
  }

  /** The chosen server dies before it takes the term; the group must not wait for it for ever. */
  @Test
  void silentCandidateIsReplacedInHigherTerm() {
    FailoverRecord chosen =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Choose(5, new Choice(S1, new Position(4, 3))))
            .record();
    assertThat(director.decide(chosen, Attempt.begin(5, 0), ALL, 0))
        .isEqualTo(new DirectorDecision.Promote(S1, "chosen"));
    assertThat(director.decide(chosen, Attempt.begin(5, 0), ALL, OPTIONS.promoteMillis()))
        .isEqualTo(new DirectorDecision.Regrant(6, "candidate-silent"));
  }

  /** Two directors choose two servers for one term: the log keeps the first choice alone. */
  @Test
  void secondChoiceInOneTermIsRefused() {
    FailoverRecord chosen =
        granted(FailoverKind.FAILURE)
            .apply(new FailoverStep.Choose(5, new Choice(S1, new Position(4, 3))))
            .record();
    StepResult second =
        chosen.apply(new FailoverStep.Choose(5, new Choice(S2, new Position(4, 3))));
    assertThat(second.reason()).isEqualTo(StepResult.Reason.ALREADY_DONE);
    assertThat(second.record().choice()).hasValue(new Choice(S1, new Position(4, 3)));
    assertThat(chosen.apply(new FailoverStep.Publish(4)).reason())
        .isEqualTo(StepResult.Reason.STALE_TERM);
  }

  /** A primary dies again each time it is replaced: each try waits longer, up to a bound. */
  @Test
  void flappingGroupWaitsLongerUpToBound() {
    FlapBackoff backoff = new FlapBackoff(OPTIONS);
    assertThat(backoff.waitMillis(List.of(), 100_000)).isEqualTo(0);
    assertThat(backoff.waitMillis(List.of(100_000L), 100_000)).isEqualTo(0);
    assertThat(backoff.waitMillis(List.of(99_000L, 100_000L), 100_000)).isEqualTo(500);
    assertThat(backoff.waitMillis(List.of(98_000L, 99_000L, 100_000L), 100_000)).isEqualTo(1_000);
    List<Long> many = List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L);
    assertThat(backoff.waitMillis(many, 8)).isEqualTo(16_000);
    assertThat(backoff.waitMillis(many, 61_000)).isEqualTo(0);
  }

  /** A zone is lost: the bound holds, and a group that flaps does not keep the others waiting. */
  @Test
  void queueStartsQuietGroupsFirstWithinBound() {
    FailoverQueue queue = new FailoverQueue(3);
    var flapping = new FailoverQueue.Waiting(steady, FailoverKind.FAILURE, 1, 3);
    var late = new FailoverQueue.Waiting(record("b"), FailoverKind.FAILURE, 9, 0);
    var early = new FailoverQueue.Waiting(record("c"), FailoverKind.FAILURE, 5, 0);
    assertThat(queue.start(List.of(flapping, late, early), 1))
        .containsExactly(early, late)
        .inOrder();
    assertThat(queue.start(List.of(flapping, late, early), 3)).isEmpty();
  }

  /**
   * A healthy primary would be replaced. One watcher alone is cut off from it; two more votes are
   * of a host that does not watch the group and of a watcher that suspected the primary before.
   */
  @Test
  void oneWatcherAlonePromotesNoOne() {
    SuspicionQuorum quorum = new SuspicionQuorum(1_000);
    List<HostId> watchers = List.of(new HostId("a"), new HostId("b"), new HostId("c"));
    quorum.report(watchers.get(0), Map.of(GROUP, new Suspicion(4, S0, 0, 0)));
    quorum.report(new HostId("stranger"), Map.of(GROUP, new Suspicion(4, S0, 0, 0)));
    quorum.report(watchers.get(1), Map.of(GROUP, new Suspicion(3, S1, 0, 0)));
    assertThat(quorum.verdict(steady, watchers, 10)).isEqualTo(Verdict.MINORITY);
    quorum.report(watchers.get(1), Map.of(GROUP, new Suspicion(4, S0, 0, 10)));
    assertThat(quorum.verdict(steady, watchers, 10)).isEqualTo(Verdict.AGREED);
    assertThat(quorum.verdict(steady, watchers, 1_005)).isEqualTo(Verdict.MINORITY);
    quorum.report(watchers.get(1), Map.of());
    assertThat(quorum.verdict(steady, watchers, 2_000)).isEqualTo(Verdict.NONE);
  }

  private static FailoverRecord record(String group) {
    return FailoverRecord.steady(new GroupId(group), 4, MEMBERS, Optional.of(S0));
  }

  private FailoverRecord granted(FailoverKind kind) {
    return steady.apply(new FailoverStep.Grant(4, 5, kind, MEMBERS, 0)).record();
  }
}
