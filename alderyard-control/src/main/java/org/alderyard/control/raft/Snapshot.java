package org.alderyard.control.raft;

import com.google.protobuf.ByteString;

/**
 * The state after applying all entries up to an index.
 *
 * @param lastIndex the index of the last entry in the state
 * @param lastTerm the term of that entry
 * @param membership the members as of that entry
 * @param data the serialized state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, ByteString data) {

  /** Returns the empty state before the first entry, with the founding members. */
  public static Snapshot founding(Membership membership) {
    return new Snapshot(0, 0, membership, ByteString.EMPTY);
  }
}
