package org.alderyard.control.raft;

/** Role of a replica in its current term. */
public enum Role {
  /** Replicates the log of the leader, if one is known. */
  FOLLOWER,
  /** Runs a pre-vote: checks whether an election could be won without raising the term. */
  PRE_CANDIDATE,
  /** Requests votes for a new term. */
  CANDIDATE,
  /** Appends entries to the log and replicates them to the other members. */
  LEADER
}
