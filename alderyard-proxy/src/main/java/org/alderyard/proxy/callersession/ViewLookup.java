package org.alderyard.proxy.callersession;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.ViewVersion;

/**
 * When and in which view a statement's database and caller were looked up.
 *
 * @param version the version of the view
 * @param nanos the time of the lookup, on the monotonic clock
 */
record ViewLookup(ViewVersion version, long nanos) {

  /** Rejects null components. */
  ViewLookup {
    Objects.requireNonNull(version);
  }

  /** Returns the time since the lookup, in milliseconds. */
  long ageMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
  }
}
