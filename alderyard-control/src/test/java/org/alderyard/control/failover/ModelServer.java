package org.alderyard.control.failover;

import java.util.Arrays;
import org.alderyard.common.id.Position;

/** A backend server of the exploration: the term at which it is fenced, its role and its log. */
final class ModelServer {
  int fencedAt;
  int primaryOf;
  int followerOf;
  byte[] entryTerms;

  ModelServer(int fencedAt, int primaryOf, int followerOf, byte[] entryTerms) {
    this.fencedAt = fencedAt;
    this.primaryOf = primaryOf;
    this.followerOf = followerOf;
    this.entryTerms = entryTerms;
  }

  ModelServer copy() {
    return new ModelServer(fencedAt, primaryOf, followerOf, entryTerms);
  }

  Position position() {
    int index = entryTerms.length;
    return index == 0 ? Position.NONE : new Position(entryTerms[index - 1], index);
  }

  /**
   * Fences the server at a term; refuses a lower term, and a repeated request for the present term
   * has no effect.
   */
  boolean fence(int term) {
    if (term < fencedAt) {
      return false;
    }
    if (term > fencedAt) {
      fencedAt = term;
      primaryOf = 0;
      followerOf = 0;
    }
    return true;
  }

  boolean promote(int term) {
    if (fencedAt != term || followerOf == term) {
      return false;
    }
    primaryOf = term;
    return true;
  }

  /**
   * Follows the primary of a term and truncates the log where it differs from the primary's log.
   */
  void follow(int term, byte[] primaryLog) {
    if (term < fencedAt || primaryOf == term || followerOf == term) {
      return;
    }
    fencedAt = term;
    primaryOf = 0;
    followerOf = term;
    int mismatch = Arrays.mismatch(entryTerms, primaryLog);
    if (mismatch >= 0) {
      entryTerms = Arrays.copyOf(entryTerms, mismatch);
    }
  }

  void append(int term) {
    entryTerms = Arrays.copyOf(entryTerms, entryTerms.length + 1);
    entryTerms[entryTerms.length - 1] = (byte) term;
  }

  void encode(StringBuilder out) {
    out.append((char) (fencedAt + 8 * primaryOf + 64 * followerOf))
        .append((char) entryTerms.length);
    for (byte term : entryTerms) {
      out.append((char) term);
    }
  }
}
