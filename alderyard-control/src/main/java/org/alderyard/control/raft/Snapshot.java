package org.alderyard.control.raft;

import com.google.protobuf.ByteString;

/**
 * The state that all entries up to an index led to.
 *
 * @param lastIndex the last entry that is in the state
 * @param lastTerm the term of that entry
 * @param membership the members as of that entry
 * @param data the serialized state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, ByteString data) {

  /** Returns the state before the first entry, with the founding members. */
  public static Snapshot founding(Membership membership) {
    return new Snapshot(0, 0, membership, ByteString.EMPTY);
  }
}
