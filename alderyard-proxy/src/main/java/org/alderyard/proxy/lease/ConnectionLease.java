package org.alderyard.proxy.lease;

/**
 * One proxy's lease of one server's connections. Not safe for several threads.
 *
 * <p>The lease is counted from before its request was sent, and so ends before the grantor counts
 * it as ended. While a request is under way the proxy keeps to what it said that it holds, and a
 * reply to any but the latest request is void: the grantor may have given away what an older reply
 * says.
 */
public final class ConnectionLease {
  /** The part of a lease that is not used, for a clock of this host that is slower. */
  private static final int CLOCK_MARGIN_DIVISOR = 20;

  private int granted;
  private long untilNanos;
  private boolean everGranted;
  private long sequence;
  private long sentNanos;
  private boolean underWay;
  private int promised;

  /** Returns how many connections the proxy may have now. */
  public int allowed(long nowNanos) {
    if (!everGranted || untilNanos - nowNanos <= 0) {
      return 0;
    }
    return underWay ? Math.min(granted, promised) : granted;
  }

  /** Returns how many connections the last lease allowed, whether it has run out or not. */
  public int lastAllowed() {
    return underWay ? Math.min(granted, promised) : granted;
  }

  /**
   * Begins a request.
   *
   * @param number the number of the request, greater than all before
   * @param open the connections that are open or being opened
   * @return the most connections that the proxy has or may open until the reply
   */
  public int request(long number, int open, long nowNanos) {
    promised = Math.max(open, allowed(nowNanos));
    sequence = number;
    sentNanos = nowNanos;
    underWay = true;
    return promised;
  }

  /** Takes in a reply; one to an earlier request changes nothing. */
  public void reply(long number, int connections, long leaseNanos) {
    if (!underWay || number != sequence) {
      return;
    }
    granted = connections;
    untilNanos = sentNanos + leaseNanos - leaseNanos / CLOCK_MARGIN_DIVISOR;
    everGranted = true;
    underWay = false;
  }
}
