package org.alderyard.control.failover;

import java.util.List;
import org.alderyard.common.id.ServerId;

/** A change to a {@link FailoverRecord}; a repeated or late step is refused or has no effect. */
public sealed interface FailoverStep {

  /** Returns the term of the step. */
  long term();

  /**
   * Opens a term.
   *
   * @param expectedTerm the term of the record that the proposer has read; the grant is refused if
   *     the record has another term
   * @param term the new term, higher than any term at which a server is known to be fenced
   * @param kind the reason of the failover
   * @param members all servers of the group, a majority of which decides
   * @param grantedAtMillis the proposer's wall-clock time, for the backoff of a flapping group
   */
  record Grant(
      long expectedTerm, long term, FailoverKind kind, List<ServerId> members, long grantedAtMillis)
      implements FailoverStep {

    /** Copies the members. */
    public Grant {
      members = List.copyOf(members);
    }
  }

  /**
   * Chooses the only server that may take the term.
   *
   * <p>Two directors of one term may fence different majorities and choose different servers. If
   * both promoted their choice, the term would have two primaries. Only the first choice in the log
   * is accepted, and a server is promoted only after the log has accepted it.
   *
   * @param term the open term
   * @param candidate the chosen server
   */
  record Choose(long term, Candidate candidate) implements FailoverStep {}

  /**
   * Publishes the chosen server, which has taken the term, as primary.
   *
   * @param term the term
   */
  record Publish(long term) implements FailoverStep {}
}
