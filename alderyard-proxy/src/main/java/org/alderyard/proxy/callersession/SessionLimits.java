package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Objects;

/**
 * What bounds the sessions of a host.
 *
 * @param maxSessions the most sessions at a time, so that their descriptors and memory suffice
 * @param openingWait how long an opening waits for the first view of a host
 * @param afterFirstView how long callers wait after the first view of a host; it is for hosts that
 *     have something to do then for which all other hosts wait
 * @param routineLogSample of how many statements that went well one is logged
 */
public record SessionLimits(
    int maxSessions, Duration openingWait, Duration afterFirstView, int routineLogSample) {
  /** As long as an election takes, and half of the time after which callers give up an opening. */
  private static final Duration OPENING_WAIT = Duration.ofSeconds(1);

  /** Checks. */
  public SessionLimits {
    Objects.requireNonNull(openingWait);
    Objects.requireNonNull(afterFirstView);
  }

  /** Creates limits with the usual wait of openings. */
  public SessionLimits(int maxSessions, Duration afterFirstView, int routineLogSample) {
    this(maxSessions, OPENING_WAIT, afterFirstView, routineLogSample);
  }
}
