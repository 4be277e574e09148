package org.alderyard.proxy.callersession;

import java.util.Optional;

/**
 * What this host has observed of a server that may run a statement.
 *
 * @param inFlight the statements of this host at the server
 * @param busy whether the server recently had no free slot
 * @param availableAfterNanos how long until the server answers again or is expected to hold the
 *     position of the statement; 0 if it may be tried now
 */
record ServerObservation(int inFlight, boolean busy, long availableAfterNanos) {

  static ServerObservation of(
      ServerTracker tracker, Optional<GroupRouting.Floor> floor, boolean isPrimary, long nowNanos) {
    long positionNanos =
        isPrimary
            ? 0
            : floor.map(required -> tracker.positionExpectedNanos(required, nowNanos)).orElse(0L);
    return new ServerObservation(
        tracker.inFlight(),
        tracker.refusals().isBusy(nowNanos),
        Math.max(tracker.backoffRemainingNanos(nowNanos), positionNanos));
  }
}
