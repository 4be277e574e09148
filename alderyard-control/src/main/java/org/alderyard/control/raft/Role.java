package org.alderyard.control.raft;

/** What a replica does in its term. */
public enum Role {
  /** Copies the log of the leader, if there is one. */
  FOLLOWER,
  /** Asks whether it could win an election, without disturbing the term. */
  PRE_CANDIDATE,
  /** Stands for election. */
  CANDIDATE,
  /** Orders the log. */
  LEADER
}
