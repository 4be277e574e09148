package org.alderyard.proxy.lease;

/**
 * A proxy's lease of the connections to one server. Not thread-safe.
 *
 * <p>The lease term starts before the request is sent, so the lease expires here before it expires
 * at the grantor. While a request is pending, the proxy does not exceed the number of connections
 * that it reported as held. A reply to any request but the latest is ignored, because the grantor
 * may since have granted its connections to other proxies.
 */
public final class ConnectionLease {
  /**
   * The fraction of a lease, as a divisor, that is left unused in case the clock of this host is
   * slow.
   */
  private static final int CLOCK_MARGIN_DIVISOR = 20;

  private int granted;
  private long expiryNanos;
  private boolean everGranted;
  private long sequence;
  private long requestSentNanos;
  private boolean requestPending;
  private int reportedHeld;

  /**
   * Returns the number of connections that the proxy may currently have, or 0 if the lease has
   * expired.
   */
  public int allowed(long nowNanos) {
    if (!everGranted || expiryNanos - nowNanos <= 0) {
      return 0;
    }
    return requestPending ? Math.min(granted, reportedHeld) : granted;
  }

  /** Returns the number of connections that the last lease allows, also after it has expired. */
  public int lastGranted() {
    return requestPending ? Math.min(granted, reportedHeld) : granted;
  }

  /**
   * Starts a request and supersedes a pending one.
   *
   * @param requestNumber the number of the request, greater than those of all earlier requests
   * @param open the number of connections that are open or being opened
   * @return the maximum number of connections until the reply arrives, to report as held
   */
  public int request(long requestNumber, int open, long nowNanos) {
    reportedHeld = Math.max(open, allowed(nowNanos));
    sequence = requestNumber;
    requestSentNanos = nowNanos;
    requestPending = true;
    return reportedHeld;
  }

  /** Applies the reply to the pending request. A reply to an earlier request is ignored. */
  public void reply(long requestNumber, int connections, long leaseNanos) {
    if (!requestPending || requestNumber != sequence) {
      return;
    }
    granted = connections;
    expiryNanos = requestSentNanos + leaseNanos - leaseNanos / CLOCK_MARGIN_DIVISOR;
    everGranted = true;
    requestPending = false;
  }
}
