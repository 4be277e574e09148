package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The freshness that a caller requests for a read.
 *
 * @param mode how old the data may be
 * @param maxStalenessMillis the maximum age for {@link FreshnessMode#BOUNDED}; empty to use the
 *     maximum of the pool
 */
public record Freshness(FreshnessMode mode, OptionalLong maxStalenessMillis) {
  /** The default for a request that states no freshness. */
  public static final Freshness SESSION =
      new Freshness(FreshnessMode.SESSION, OptionalLong.empty());

  /** Rejects null components. */
  public Freshness {
    Objects.requireNonNull(mode);
    Objects.requireNonNull(maxStalenessMillis);
  }
}
