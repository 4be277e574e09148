package org.alderyard.proxy.freshness;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a caller asks of the data of a read.
 *
 * @param mode how old the data may be
 * @param maxStalenessMillis the oldest age for {@link FreshnessMode#BOUNDED}; empty for the pool's
 */
public record Freshness(FreshnessMode mode, OptionalLong maxStalenessMillis) {
  /** What holds when the caller asks for nothing else. */
  public static final Freshness SESSION =
      new Freshness(FreshnessMode.SESSION, OptionalLong.empty());

  /** Checks. */
  public Freshness {
    Objects.requireNonNull(mode);
    Objects.requireNonNull(maxStalenessMillis);
  }
}
