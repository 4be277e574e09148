package org.alderyard.control.failover;

import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;

/** What the director of a group does next. */
public sealed interface DirectorDecision {

  /** Returns why, for the log line. */
  String reason();

  /**
   * Ask servers for their position before a planned hand-over.
   *
   * @param servers whom to ask
   * @param reason why
   */
  record AskPositions(List<ServerId> servers, String reason) implements DirectorDecision {}

  /**
   * Fence servers at the term.
   *
   * @param servers whom to fence
   * @param reason why
   */
  record Fence(List<ServerId> servers, String reason) implements DirectorDecision {}

  /**
   * Propose a step to the control log.
   *
   * @param step the step
   * @param reason why
   */
  record Propose(FailoverStep step, String reason) implements DirectorDecision {}

  /**
   * Tell the chosen server to take the term.
   *
   * @param server the server
   * @param reason why
   */
  record Promote(ServerId server, String reason) implements DirectorDecision {}

  /**
   * Tell servers to follow the primary.
   *
   * @param servers whom to tell
   * @param primary whom to follow
   * @param reason why
   */
  record Follow(List<ServerId> servers, ServerId primary, String reason)
      implements DirectorDecision {}

  /**
   * Open a new term, since this one can't end.
   *
   * @param term the new term
   * @param reason why
   */
  record Regrant(long term, String reason) implements DirectorDecision {}

  /**
   * Too few servers answer: the group refuses writes, and the director asks again later.
   *
   * @param missing who gave no answer
   * @param retryAfterMillis when to ask again
   * @param reason why
   */
  record RefuseNoQuorum(List<ServerId> missing, long retryAfterMillis, String reason)
      implements DirectorDecision {

    /** Returns the error for an operator who asked for the hand-over. */
    public AlderyardException toException() {
      return AlderyardException.notRun(ErrorCode.NO_QUORUM, reason, retryAfterMillis);
    }
  }

  /**
   * Nothing is left to do.
   *
   * @param reason why
   */
  record Done(String reason) implements DirectorDecision {}
}
