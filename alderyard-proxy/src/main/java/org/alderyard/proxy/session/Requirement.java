package org.alderyard.proxy.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * What a session demands of the server that answers a read of one group.
 *
 * @param position the position that the server must have applied; {@link Position#NONE} for none
 * @param primaryOnly whether the position was folded away, so that only the primary is sure to hold
 *     it
 */
public record Requirement(Position position, boolean primaryOnly) {
  /** A session that has not touched the group. */
  public static final Requirement NONE = new Requirement(Position.NONE, false);

  /** A session whose position in the group was folded away. */
  public static final Requirement PRIMARY = new Requirement(Position.NONE, true);

  /** Checks. */
  public Requirement {
    Objects.requireNonNull(position);
  }

  /** Returns the requirement of a position. */
  public static Requirement atLeast(Position position) {
    return new Requirement(position, false);
  }

  /** Returns the position, if there is one. */
  public Optional<Position> known() {
    return position.equals(Position.NONE) ? Optional.empty() : Optional.of(position);
  }
}
