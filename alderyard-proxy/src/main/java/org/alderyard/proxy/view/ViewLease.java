package org.alderyard.proxy.view;

import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.common.time.HostTime;
import org.alderyard.common.view.ViewVersion;

/**
 * The lease during which this host may act on its view.
 *
 * <p>The reply to a heartbeat contains a version that was the newest at some time after the
 * heartbeat was sent. A host that runs this version holds the lease from the time at which it sent
 * the heartbeat, because the reply may be delayed. A host that lags behind obtains the lease only
 * when it has caught up with this version.
 *
 * <p>The lease ends on the clock that is first to reach its end: the monotonic clock stands still
 * while the host is suspended, and the time of day may be set back.
 */
final class ViewLease {
  /**
   * Time for which a host that lags is not overdue after its lease has ended, in milliseconds. A
   * host that was suspended receives the newer view within that time.
   */
  private static final long MAX_BEHIND_AFTER_LEASE_MILLIS = 300;

  /** The same for a host that has had no lease yet, as views change often during a start. */
  private static final long MAX_BEHIND_WITHOUT_LEASE_MILLIS = 1_500;

  private Optional<Grant> grant = Optional.empty();
  private ViewVersion running = ViewVersion.NONE;
  // The version that a reply confirmed and this host does not run yet, the lease that the version
  // grants, and the time since which this host lags.
  private ViewVersion pending = ViewVersion.NONE;
  private Optional<Grant> pendingGrant = Optional.empty();
  private long behindSinceMillis;

  /** The period that one heartbeat grants. */
  private record Grant(HostTime sent, long leaseMillis) {

    boolean endedMonotonic(HostTime now) {
      return now.monotonicMillis() - sent.monotonicMillis() >= leaseMillis;
    }

    boolean endedByTimeOfDay(HostTime now) {
      return now.wallMillis() - sent.wallMillis() >= leaseMillis;
    }

    private long endMillis() {
      return sent.monotonicMillis() + leaseMillis;
    }

    /**
     * Returns the grant that ends later on the monotonic clock, which is never set back; the second
     * one if both end at once, as of two that were sent before and after a suspension.
     */
    static Optional<Grant> later(Optional<Grant> first, Optional<Grant> second) {
      if (first.isEmpty() || second.isEmpty()) {
        return first.or(() -> second);
      }
      return second.get().endMillis() >= first.get().endMillis() ? second : first;
    }
  }

  /** Records the reply to a heartbeat. */
  synchronized void recordConfirmation(
      ViewVersion current, HostTime sent, long leaseMillis, HostTime now) {
    Optional<Grant> granted = Optional.of(new Grant(sent, leaseMillis));
    if (current.compareTo(running) <= 0) {
      grant = Grant.later(grant, granted);
      return;
    }
    if (!behind()) {
      behindSinceMillis = now.monotonicMillis();
    }
    if (current.compareTo(pending) > 0) {
      // An older pending version grants an earlier end: only the end of the newest one is kept.
      pending = current;
      pendingGrant = granted;
    } else {
      pendingGrant = Grant.later(pendingGrant, granted);
    }
  }

  /** Records the version that this host acts on. */
  synchronized void recordRunning(ViewVersion version) {
    if (version.compareTo(running) > 0) {
      running = version;
    }
    if (!behind()) {
      grant = Grant.later(grant, pendingGrant);
    }
  }

  private boolean behind() {
    return pending.compareTo(running) > 0;
  }

  /** Returns whether the lease has not expired. */
  synchronized boolean valid(HostTime now) {
    return grant
        .filter(held -> !held.endedMonotonic(now) && !held.endedByTimeOfDay(now))
        .isPresent();
  }

  /**
   * Returns whether the lease has expired by the time of day alone: this host was suspended, or its
   * clock was set forward.
   */
  synchronized boolean endedByTimeOfDayOnly(HostTime now) {
    return grant
        .filter(held -> !held.endedMonotonic(now) && held.endedByTimeOfDay(now))
        .isPresent();
  }

  /**
   * Returns whether another host may have taken over work of this host since the last lease.
   *
   * <p>This needs a newer view. If the time of day alone ended the lease and the newest version is
   * still the one that this host runs, only the clock was set forward.
   *
   * @param newest a version of which this host learns now
   */
  synchronized boolean interrupted(ViewVersion newest, HostTime now) {
    if (valid(now)) {
      return false;
    }
    return !endedByTimeOfDayOnly(now) || newest.compareTo(running) > 0;
  }

  /**
   * Returns whether this host has neither the newer version that it knows of nor a lease. What it
   * runs may have been replaced longer ago than the duration of a lease.
   */
  synchronized boolean overdue(HostTime now) {
    long maxBehindMillis =
        grant.isPresent() ? MAX_BEHIND_AFTER_LEASE_MILLIS : MAX_BEHIND_WITHOUT_LEASE_MILLIS;
    return behind() && now.monotonicMillis() - behindSinceMillis >= maxBehindMillis && !valid(now);
  }

  /** Returns for how long a newer version has been known but not received; empty if none. */
  synchronized OptionalLong behindMillis(long nowMillis) {
    return behind() ? OptionalLong.of(nowMillis - behindSinceMillis) : OptionalLong.empty();
  }
}
