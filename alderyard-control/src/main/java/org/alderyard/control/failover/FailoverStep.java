package org.alderyard.control.failover;

import java.util.List;
import org.alderyard.common.id.ServerId;

/** A change of a {@link FailoverRecord}; repeated or late ones are refused or change nothing. */
public sealed interface FailoverStep {

  /** Returns the term that the step belongs to. */
  long term();

  /**
   * Opens a term.
   *
   * @param expectedTerm the term that the proposer saw; another one makes the grant stale
   * @param term the new term, higher than every term that a server is known to be fenced at
   * @param kind why
   * @param members all servers of the group, a majority of which decides
   * @param grantedAtMillis the proposer's wall time, for the back-off of a flapping group
   */
  record Grant(
      long expectedTerm, long term, FailoverKind kind, List<ServerId> members, long grantedAtMillis)
      implements FailoverStep {

    /** Copies. */
    public Grant {
      members = List.copyOf(members);
    }
  }

  /**
   * Names the only server that may take the term.
   *
   * <p>Two directors of one term may have fenced different majorities and prefer different servers.
   * Were both to promote theirs, the term would have two primaries. The first choice in the log
   * stands, and a server is promoted only after it was chosen there.
   *
   * @param term the open term
   * @param choice the server
   */
  record Choose(long term, Choice choice) implements FailoverStep {}

  /**
   * Says that the chosen server took the term.
   *
   * @param term the term
   */
  record Publish(long term) implements FailoverStep {}
}
