package org.alderyard.control.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.StepResult.Reason;

/**
 * What the control log holds of one group's failover.
 *
 * @param group the group
 * @param term the term that was granted last, 0 before the first
 * @param phase how far that term has come
 * @param kind why it was granted
 * @param members the servers whose majority decides in that term
 * @param previousPrimary the last published primary
 * @param choice the server that may take the term
 * @param grantedAtMillis the wall times of the last grants, oldest first
 */
public record FailoverRecord(
    GroupId group,
    long term,
    FailoverPhase phase,
    FailoverKind kind,
    List<ServerId> members,
    Optional<ServerId> previousPrimary,
    Optional<Choice> choice,
    List<Long> grantedAtMillis) {
  /** How many times of grants are kept. */
  static final int REMEMBERED_GRANTS = 8;

  /** Checks and copies. */
  public FailoverRecord {
    Objects.requireNonNull(group);
    Objects.requireNonNull(phase);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(previousPrimary);
    Objects.requireNonNull(choice);
    members = List.copyOf(members);
    grantedAtMillis = List.copyOf(grantedAtMillis);
  }

  /** Returns the record of a group that had no failover since the given term was published. */
  public static FailoverRecord steady(
      GroupId group, long term, List<ServerId> members, Optional<ServerId> primary) {
    return new FailoverRecord(
        group,
        term,
        FailoverPhase.STEADY,
        FailoverKind.INITIAL,
        members,
        primary,
        Optional.empty(),
        List.of());
  }

  /** Returns the smallest number of members of which any two sets share one. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns the record after a step. */
  public StepResult apply(FailoverStep step) {
    if (step instanceof FailoverStep.Grant grant) {
      return applyGrant(grant);
    }
    if (step.term() < term) {
      return refused(Reason.STALE_TERM);
    }
    if (step.term() > term) {
      return refused(Reason.OUT_OF_ORDER);
    }
    if (step instanceof FailoverStep.Choose choose) {
      return applyChoose(choose);
    }
    return applyPublish();
  }

  private StepResult applyGrant(FailoverStep.Grant grant) {
    if (grant.expectedTerm() != term || grant.term() <= term) {
      return refused(Reason.STALE_TERM);
    }
    List<Long> grants = new ArrayList<>(grantedAtMillis);
    grants.add(grant.grantedAtMillis());
    int surplus = Math.max(0, grants.size() - REMEMBERED_GRANTS);
    return accepted(
        new FailoverRecord(
            group,
            grant.term(),
            FailoverPhase.GRANTED,
            grant.kind(),
            grant.members(),
            previousPrimary,
            Optional.empty(),
            grants.subList(surplus, grants.size())));
  }

  private StepResult applyChoose(FailoverStep.Choose choose) {
    if (phase != FailoverPhase.GRANTED) {
      return refused(Reason.ALREADY_DONE);
    }
    if (!members.contains(choose.choice().server())) {
      return refused(Reason.NOT_A_MEMBER);
    }
    return accepted(
        new FailoverRecord(
            group,
            term,
            FailoverPhase.CHOSEN,
            kind,
            members,
            previousPrimary,
            Optional.of(choose.choice()),
            grantedAtMillis));
  }

  private StepResult applyPublish() {
    if (phase == FailoverPhase.STEADY) {
      return refused(Reason.ALREADY_DONE);
    }
    if (phase == FailoverPhase.GRANTED) {
      return refused(Reason.OUT_OF_ORDER);
    }
    return accepted(
        new FailoverRecord(
            group,
            term,
            FailoverPhase.STEADY,
            kind,
            members,
            choice.map(Choice::server),
            choice,
            grantedAtMillis));
  }

  private StepResult refused(Reason reason) {
    return new StepResult(this, false, reason);
  }

  private static StepResult accepted(FailoverRecord record) {
    return new StepResult(record, true, Reason.ACCEPTED);
  }
}
