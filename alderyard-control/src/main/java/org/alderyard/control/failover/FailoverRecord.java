package org.alderyard.control.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.StepResult.Reason;

/**
 * The state of one group's failover, as recorded in the control log.
 *
 * @param group the group
 * @param term the highest granted term, 0 before the first grant
 * @param phase the phase of the failover in that term
 * @param kind the reason for the grant
 * @param members the servers of the group; a majority of them decides in that term
 * @param previousPrimary the primary that was published last
 * @param candidate the server that may take the term
 * @param grantedAtMillis the wall-clock times of the last grants, oldest first
 */
public record FailoverRecord(
    GroupId group,
    long term,
    FailoverPhase phase,
    FailoverKind kind,
    List<ServerId> members,
    Optional<ServerId> previousPrimary,
    Optional<Candidate> candidate,
    List<Long> grantedAtMillis) {
  /** The maximum number of grant times that a record keeps. */
  static final int MAX_GRANT_TIMES = 8;

  /** Rejects null components and copies the lists. */
  public FailoverRecord {
    Objects.requireNonNull(group);
    Objects.requireNonNull(phase);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(previousPrimary);
    Objects.requireNonNull(candidate);
    members = List.copyOf(members);
    grantedAtMillis = List.copyOf(grantedAtMillis);
  }

  /** Returns the record of a group without a failover after the given published term. */
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

  /** Returns the size of the smallest majority; any two majorities share a member. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns the result of applying a step to this record. */
  public StepResult apply(FailoverStep step) {
    if (step instanceof FailoverStep.Grant grant) {
      return applyGrant(grant);
    }
    if (step.term() < term) {
      return reject(Reason.STALE_TERM);
    }
    if (step.term() > term) {
      return reject(Reason.OUT_OF_ORDER);
    }
    if (step instanceof FailoverStep.Choose choose) {
      return applyChoose(choose);
    }
    return applyPublish();
  }

  private StepResult applyGrant(FailoverStep.Grant grant) {
    if (grant.expectedTerm() != term || grant.term() <= term) {
      return reject(Reason.STALE_TERM);
    }
    List<Long> grantTimes = new ArrayList<>(grantedAtMillis);
    grantTimes.add(grant.grantedAtMillis());
    int surplus = Math.max(0, grantTimes.size() - MAX_GRANT_TIMES);
    return accept(
        new FailoverRecord(
            group,
            grant.term(),
            FailoverPhase.GRANTED,
            grant.kind(),
            grant.members(),
            previousPrimary,
            Optional.empty(),
            grantTimes.subList(surplus, grantTimes.size())));
  }

  private StepResult applyChoose(FailoverStep.Choose choose) {
    if (phase != FailoverPhase.GRANTED) {
      return reject(Reason.ALREADY_DONE);
    }
    if (!members.contains(choose.candidate().server())) {
      return reject(Reason.NOT_A_MEMBER);
    }
    return accept(
        new FailoverRecord(
            group,
            term,
            FailoverPhase.CHOSEN,
            kind,
            members,
            previousPrimary,
            Optional.of(choose.candidate()),
            grantedAtMillis));
  }

  private StepResult applyPublish() {
    if (phase == FailoverPhase.STEADY) {
      return reject(Reason.ALREADY_DONE);
    }
    if (phase == FailoverPhase.GRANTED) {
      return reject(Reason.OUT_OF_ORDER);
    }
    return accept(
        new FailoverRecord(
            group,
            term,
            FailoverPhase.STEADY,
            kind,
            members,
            candidate.map(Candidate::server),
            candidate,
            grantedAtMillis));
  }

  private StepResult reject(Reason reason) {
    return new StepResult(this, false, reason);
  }

  private static StepResult accept(FailoverRecord record) {
    return new StepResult(record, true, Reason.ACCEPTED);
  }
}
