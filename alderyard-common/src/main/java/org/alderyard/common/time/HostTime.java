package org.alderyard.common.time;

import java.time.InstantSource;

/**
 * A time on the two clocks of a host. The monotonic clock stands still while the host is suspended;
 * the time of day may be set forward or back.
 *
 * @param monotonicMillis the time on the monotonic clock
 * @param wallMillis the time of day, in milliseconds since 1970
 */
public record HostTime(long monotonicMillis, long wallMillis) {

  /** Reads both clocks. */
  public static HostTime now(MonotonicClock clock, InstantSource wallClock) {
    // The time of day is read last, so that it includes a suspension between the two.
    long monotonicMillis = clock.nowMillis();
    return new HostTime(monotonicMillis, wallClock.millis());
  }

  /**
   * Returns by how much the time of day has advanced further than the monotonic clock since an
   * earlier time; negative if it was set back.
   */
  public long suspendedMillisSince(HostTime earlier) {
    return wallMillis - earlier.wallMillis - (monotonicMillis - earlier.monotonicMillis);
  }

  /** Returns the time since an earlier time, with a suspension of the host in between. */
  public long elapsedMillisSince(HostTime earlier) {
    return monotonicMillis - earlier.monotonicMillis + Math.max(0, suspendedMillisSince(earlier));
  }
}
