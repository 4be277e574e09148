package org.alderyard.proxy.freshness;

import java.util.Objects;
import org.alderyard.proxy.session.ReadRequirement;

/**
 * The freshness that a read requires from the server that answers it.
 *
 * @param mode the freshness mode
 * @param maxStalenessNanos the maximum age of the data, for {@link FreshnessMode#BOUNDED}
 * @param requirement the position that the session has seen, for {@link FreshnessMode#SESSION} and
 *     {@link FreshnessMode#BOUNDED}; a bounded read reflects the caller's own changes as well
 */
public record ReadDemand(FreshnessMode mode, long maxStalenessNanos, ReadRequirement requirement) {
  /** A read that must run on the primary. */
  public static final ReadDemand PRIMARY =
      new ReadDemand(FreshnessMode.PRIMARY, 0, ReadRequirement.NONE);

  /** A read that accepts data of any age. */
  public static final ReadDemand ANY = new ReadDemand(FreshnessMode.ANY, 0, ReadRequirement.NONE);

  /** Rejects null components. */
  public ReadDemand {
    Objects.requireNonNull(mode);
    Objects.requireNonNull(requirement);
  }

  /** Returns the demand of a read that must reflect everything the session has seen. */
  public static ReadDemand session(ReadRequirement requirement) {
    return new ReadDemand(FreshnessMode.SESSION, 0, requirement);
  }

  /**
   * Returns the demand of a read that must reflect everything the session has seen and whose data
   * has at most the given age.
   */
  public static ReadDemand bounded(long maxStalenessNanos, ReadRequirement requirement) {
    return new ReadDemand(FreshnessMode.BOUNDED, maxStalenessNanos, requirement);
  }
}
