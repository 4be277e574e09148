package org.alderyard.control.promotion;

import java.util.function.Supplier;
import org.alderyard.common.time.HostTime;

/**
 * The permission to send a call, which ends shortly after this host asked a quorum whether it
 * leads.
 *
 * <p>A host that was frozen or suspended after the quorum confirmed its leadership may have been
 * replaced meanwhile. The time counts from the request to the quorum: what the confirmation says
 * may be as old as that.
 */
public final class CallPermit {

  /** Shorter than the time in which another host is elected and decides on its own call. */
  public static final long VALIDITY_MILLIS = 350;

  private final HostTime askedTime;
  private final Supplier<HostTime> now;

  /**
   * Creates a permit.
   *
   * @param askedTime the time at which the quorum was asked
   * @param now returns the current time of this host
   */
  public CallPermit(HostTime askedTime, Supplier<HostTime> now) {
    this.askedTime = askedTime;
    this.now = now;
  }

  /** Returns the time since the quorum was asked, in milliseconds. */
  public long ageMillis() {
    return now.get().elapsedMillisSince(askedTime);
  }

  /** Returns whether the call may still be sent. */
  public boolean isValid() {
    return ageMillis() <= VALIDITY_MILLIS;
  }
}
