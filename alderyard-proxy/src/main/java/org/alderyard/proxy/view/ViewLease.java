package org.alderyard.proxy.view;

import java.util.OptionalLong;
import org.alderyard.common.view.ViewVersion;

/**
 * Until when this host may act on its view.
 *
 * <p>A heartbeat's answer names the newest version at a time not before the heartbeat was sent. A
 * host that runs that version has the lease, counted from the sending, since the answer may have
 * been long on its way. A host that lags gets it only once it has caught up with that version.
 */
final class ViewLease {
  private long endMillis = Long.MIN_VALUE;
  private ViewVersion running = ViewVersion.NONE;
  // What the last answer asked for beyond the running version; its end, and since when.
  private ViewVersion wanted = ViewVersion.NONE;
  private long wantedEndMillis = Long.MIN_VALUE;
  private long behindSinceMillis;

  /** Takes the answer to a heartbeat. */
  synchronized void confirmed(
      ViewVersion current, long sentMillis, long leaseMillis, long nowMillis) {
    if (current.compareTo(running) <= 0) {
      endMillis = Math.max(endMillis, sentMillis + leaseMillis);
      return;
    }
    if (!behind()) {
      behindSinceMillis = nowMillis;
    }
    if (current.compareTo(wanted) > 0) {
      // An earlier version that is still wanted confirms an earlier end: keep the later one only.
      wanted = current;
      wantedEndMillis = sentMillis + leaseMillis;
    } else {
      wantedEndMillis = Math.max(wantedEndMillis, sentMillis + leaseMillis);
    }
  }

  /** Takes note of the version that this host acts on. */
  synchronized void runs(ViewVersion version) {
    running = version;
    if (!behind()) {
      endMillis = Math.max(endMillis, wantedEndMillis);
    }
  }

  private boolean behind() {
    return wanted.compareTo(running) > 0;
  }

  /** Returns whether the lease has not run out. */
  synchronized boolean valid(long nowMillis) {
    return nowMillis < endMillis;
  }

  /** Returns for how long a newer version has been known without being received. */
  synchronized OptionalLong behindMillis(long nowMillis) {
    return behind() ? OptionalLong.of(nowMillis - behindSinceMillis) : OptionalLong.empty();
  }
}
