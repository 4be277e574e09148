package org.alderyard.proxy.session;

import java.util.Objects;
import java.util.Optional;
import org.alderyard.common.id.Position;

/**
 * The requirement of a session on the server that answers a read of one group.
 *
 * @param position the position that the server must have applied; {@link Position#NONE} for none
 * @param primaryOnly whether the position was dropped from the session, so that only the primary is
 *     certain to hold it
 */
public record ReadRequirement(Position position, boolean primaryOnly) {
  /** The requirement of a session that has not accessed the group. */
  public static final ReadRequirement NONE = new ReadRequirement(Position.NONE, false);

  /** The requirement of a session whose position in the group was dropped. */
  public static final ReadRequirement PRIMARY = new ReadRequirement(Position.NONE, true);

  /** Rejects a null position. */
  public ReadRequirement {
    Objects.requireNonNull(position);
  }

  /** Returns the requirement that a server has applied a position. */
  public static ReadRequirement atLeast(Position position) {
    return new ReadRequirement(position, false);
  }

  /** Returns the required position; empty if there is none. */
  public Optional<Position> optionalPosition() {
    return position.equals(Position.NONE) ? Optional.empty() : Optional.of(position);
  }
}
