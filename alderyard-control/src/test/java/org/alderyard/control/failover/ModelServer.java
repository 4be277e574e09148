package org.alderyard.control.failover;

import java.util.Arrays;
import org.alderyard.common.id.Position;

/** A backend server of the exploration: what it promised, what it follows and its log. */
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

  /** Refuses lower terms; a repeated fence at the term that it already has changes nothing. */
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

  /** Follows the primary of a term and drops what its log at that time does not have. */
  void follow(int term, byte[] primaryLog) {
    if (term < fencedAt || primaryOf == term || followerOf == term) {
      return;
    }
    fencedAt = term;
    primaryOf = 0;
    followerOf = term;
    int differs = Arrays.mismatch(entryTerms, primaryLog);
    if (differs >= 0) {
      entryTerms = Arrays.copyOf(entryTerms, differs);
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
