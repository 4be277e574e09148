package org.alderyard.proxy.view;

import java.time.InstantSource;
import org.alderyard.common.time.MonotonicClock;

/**
 * A time on the two clocks of a host. The monotonic clock stands still while the host is suspended;
 * the time of day may be set forward or back.
 *
 * @param monotonicMillis the time on the monotonic clock
 * @param wallMillis the time of day, in milliseconds since 1970
 */
record HostTime(long monotonicMillis, long wallMillis) {

  static HostTime now(MonotonicClock clock, InstantSource wallClock) {
    // The time of day is read last, so that it includes a suspension between the two.
    long monotonicMillis = clock.nowMillis();
    return new HostTime(monotonicMillis, wallClock.millis());
  }

  /**
   * Returns by how much the time of day has advanced further than the monotonic clock since an
   * earlier time; negative if it was set back.
   */
  long suspendedMillisSince(HostTime earlier) {
    return wallMillis - earlier.wallMillis - (monotonicMillis - earlier.monotonicMillis);
  }
}
