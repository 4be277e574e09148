package org.alderyard.control.failover;

import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.ServerId;

/** The next action of a failover, as decided by the {@link Director}. */
public sealed interface DirectorDecision {

  /** Returns the reason of the decision for the log line. */
  String reason();

  /**
   * Requests the positions of servers before a planned hand-over.
   *
   * @param servers the servers to ask
   * @param reason the reason for the log line
   */
  record AskPositions(List<ServerId> servers, String reason) implements DirectorDecision {}

  /**
   * Fences servers at the term of the record.
   *
   * @param servers the servers to fence
   * @param reason the reason for the log line
   */
  record Fence(List<ServerId> servers, String reason) implements DirectorDecision {}

  /**
   * Proposes a step to the control log.
   *
   * @param step the step
   * @param reason the reason for the log line
   */
  record Propose(FailoverStep step, String reason) implements DirectorDecision {}

  /**
   * Requests that the chosen server takes the term.
   *
   * @param server the chosen server
   * @param reason the reason for the log line
   */
  record Promote(ServerId server, String reason) implements DirectorDecision {}

  /**
   * Requests that servers follow the primary.
   *
   * @param servers the servers that do not follow it yet
   * @param primary the primary of the term
   * @param reason the reason for the log line
   */
  record Follow(List<ServerId> servers, ServerId primary, String reason)
      implements DirectorDecision {}

  /**
   * Opens a new term, because the failover cannot complete in the present one.
   *
   * @param term the new term
   * @param reason the reason for the log line
   */
  record Regrant(long term, String reason) implements DirectorDecision {}

  /**
   * Waits, because fewer than a majority of the servers are fenced: the group refuses writes, and
   * the director fences again later.
   *
   * @param unfenced the servers that are not fenced
   * @param retryAfterMillis the delay before the next fence requests
   * @param reason the number of fenced servers and of those needed, as text
   */
  record RefuseNoQuorum(List<ServerId> unfenced, long retryAfterMillis, String reason)
      implements DirectorDecision {

    /** Returns the error for an operator who requested the hand-over. */
    public AlderyardException toException() {
      return AlderyardException.notRun(ErrorCode.NO_QUORUM, reason, retryAfterMillis);
    }
  }

  /**
   * Ends the run, as no further action is needed.
   *
   * @param reason the reason for the log line
   */
  record Done(String reason) implements DirectorDecision {}
}
