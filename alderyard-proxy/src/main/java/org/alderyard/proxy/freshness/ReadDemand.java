package org.alderyard.proxy.freshness;

import java.util.Objects;
import org.alderyard.proxy.session.Requirement;

/**
 * What one read demands of the server that answers it.
 *
 * @param mode the mode
 * @param maxStalenessNanos the greatest age, for {@link FreshnessMode#BOUNDED}
 * @param requirement what the session has seen, for {@link FreshnessMode#SESSION} and {@link
 *     FreshnessMode#BOUNDED}: a caller that browses sees its own changes as well
 */
public record ReadDemand(FreshnessMode mode, long maxStalenessNanos, Requirement requirement) {
  /** A read of what the primary holds. */
  public static final ReadDemand PRIMARY =
      new ReadDemand(FreshnessMode.PRIMARY, 0, Requirement.NONE);

  /** A read of any age. */
  public static final ReadDemand ANY = new ReadDemand(FreshnessMode.ANY, 0, Requirement.NONE);

  /** Checks. */
  public ReadDemand {
    Objects.requireNonNull(mode);
    Objects.requireNonNull(requirement);
  }

  /** Returns a read of all that the session has seen. */
  public static ReadDemand session(Requirement requirement) {
    return new ReadDemand(FreshnessMode.SESSION, 0, requirement);
  }

  /** Returns a read of data of at most the given age, and of all that the session has seen. */
  public static ReadDemand bounded(long maxStalenessNanos, Requirement requirement) {
    return new ReadDemand(FreshnessMode.BOUNDED, maxStalenessNanos, requirement);
  }
}
