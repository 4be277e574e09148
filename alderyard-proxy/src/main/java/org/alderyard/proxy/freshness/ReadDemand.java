package org.alderyard.proxy.freshness;

import java.util.Objects;
import org.alderyard.proxy.session.Requirement;

/**
 * What one read demands of the server that answers it.
 *
 * @param mode the mode
 * @param maxStalenessNanos the greatest age, for {@link ReadMode#BOUNDED}
 * @param requirement what the session has seen, for {@link ReadMode#SESSION}
 */
public record ReadDemand(ReadMode mode, long maxStalenessNanos, Requirement requirement) {
  /** A read of what the primary holds. */
  public static final ReadDemand PRIMARY = new ReadDemand(ReadMode.PRIMARY, 0, Requirement.NONE);

  /** A read of any age. */
  public static final ReadDemand ANY = new ReadDemand(ReadMode.ANY, 0, Requirement.NONE);

  /** Checks. */
  public ReadDemand {
    Objects.requireNonNull(mode);
    Objects.requireNonNull(requirement);
  }

  /** Returns a read of all that the session has seen. */
  public static ReadDemand session(Requirement requirement) {
    return new ReadDemand(ReadMode.SESSION, 0, requirement);
  }

  /** Returns a read of data of at most the given age. */
  public static ReadDemand bounded(long maxStalenessNanos) {
    return new ReadDemand(ReadMode.BOUNDED, maxStalenessNanos, Requirement.NONE);
  }
}
