package org.alderyard.proxy.quota;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.view.ViewVersion;

/**
 * Notices that the view of this host was unconfirmed for so long that another host may have counted
 * in its place and left again. Not thread-safe.
 */
final class ConfirmationGap {
  /** The longest time between two confirmations in which no other host can have begun to count. */
  static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Several observations fit in the longest gap, so that one late observation is no gap. */
  static final long OBSERVATION_NANOS = MAX_NANOS / 5;

  private Optional<Observation> last = Optional.empty();

  private record Observation(ViewVersion version, long atNanos) {}

  /** Records the first view of this process, which its earlier incarnation may have had. */
  void firstView(ViewVersion version, long nowNanos) {
    last = Optional.of(new Observation(version, nowNanos));
  }

  /**
   * Records that the view was confirmed. Returns whether another host may have counted since the
   * last time, which needs a newer view.
   */
  boolean confirmed(ViewVersion version, long nowNanos) {
    boolean interrupted =
        last.filter(seen -> nowNanos - seen.atNanos() > MAX_NANOS)
            .filter(seen -> !seen.version().equals(version))
            .isPresent();
    last = Optional.of(new Observation(version, nowNanos));
    return interrupted;
  }
}
