package org.alderyard.common.id;

import java.util.Comparator;

/**
 * A position in the log of a database group.
 *
 * @param term the term in which the entry was written
 * @param index the index of the entry in the log, from 1; 0 stands for the empty log
 */
public record Position(long term, long index) implements Comparable<Position> {
  /** The position before the first entry. */
  public static final Position NONE = new Position(0, 0);

  private static final Comparator<Position> ORDER =
      Comparator.comparingLong(Position::term).thenComparingLong(Position::index);

  @Override
  public int compareTo(Position other) {
    return ORDER.compare(this, other);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Position that && term == that.term && index == that.index;
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(term) + Long.hashCode(index);
  }

  @Override
  public String toString() {
    return term + "/" + index;
  }
}
