package org.alderyard.proxy.view;

import java.util.OptionalLong;
import org.alderyard.common.view.ViewVersion;

/**
 * The lease during which this host may act on its view.
 *
 * <p>The reply to a heartbeat contains a version that was the newest at some time after the
 * heartbeat was sent. A host that runs this version holds the lease from the time at which it sent
 * the heartbeat, because the reply may be delayed. A host that lags behind obtains the lease only
 * when it has caught up with this version.
 */
final class ViewLease {
  private long endMillis = Long.MIN_VALUE;
  private ViewVersion running = ViewVersion.NONE;
  // The version that a reply confirmed and this host does not run yet, the end of the lease that
  // the version grants, and the time since which this host lags.
  private ViewVersion pending = ViewVersion.NONE;
  private long pendingEndMillis = Long.MIN_VALUE;
  private long behindSinceMillis;

  /** Records the reply to a heartbeat. */
  synchronized void recordConfirmation(
      ViewVersion current, long sentMillis, long leaseMillis, long nowMillis) {
    if (current.compareTo(running) <= 0) {
      endMillis = Math.max(endMillis, sentMillis + leaseMillis);
      return;
    }
    if (!behind()) {
      behindSinceMillis = nowMillis;
    }
    if (current.compareTo(pending) > 0) {
      // An older pending version grants an earlier end: only the end of the newest one is kept.
      pending = current;
      pendingEndMillis = sentMillis + leaseMillis;
    } else {
      pendingEndMillis = Math.max(pendingEndMillis, sentMillis + leaseMillis);
    }
  }

  /** Records the version that this host acts on. */
  synchronized void recordRunning(ViewVersion version) {
    if (version.compareTo(running) > 0) {
      running = version;
    }
    if (!behind()) {
      endMillis = Math.max(endMillis, pendingEndMillis);
    }
  }

  private boolean behind() {
    return pending.compareTo(running) > 0;
  }

  /** Returns whether the lease has not expired. */
  synchronized boolean valid(long nowMillis) {
    return nowMillis < endMillis;
  }

  /** Returns for how long a newer version has been known but not received; empty if none. */
  synchronized OptionalLong behindMillis(long nowMillis) {
    return behind() ? OptionalLong.of(nowMillis - behindSinceMillis) : OptionalLong.empty();
  }
}
