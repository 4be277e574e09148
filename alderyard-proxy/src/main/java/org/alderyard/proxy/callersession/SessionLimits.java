package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Objects;

/**
 * What bounds the sessions of a host.
 *
 * @param maxSessions the most sessions at a time, so that their descriptors and memory suffice
 * @param afterFirstView how long callers wait after the first view of a host; it is for hosts that
 *     have something to do then for which all other hosts wait
 * @param routineLogSample of how many statements that went well one is logged
 */
public record SessionLimits(int maxSessions, Duration afterFirstView, int routineLogSample) {

  /** Checks. */
  public SessionLimits {
    Objects.requireNonNull(afterFirstView);
  }
}
