package org.alderyard.proxy.limit;

/**
 * Bounds resends to a share of the traffic.
 *
 * <p>Guards against the retry storm: a recovering server fails many statements, each is sent again,
 * and the resends keep it down. Each first try earns a share of a resend; a burst may use what was
 * saved, up to a cap. Safe for several threads; the lock is a leaf.
 */
public final class RetryBudget {
  /** One resend for ten first tries. */
  public static final double DEFAULT_SHARE = 0.1;

  /** The resends that can be saved up. */
  public static final double DEFAULT_SAVED = 10;

  private final double share;
  private final double maxSaved;
  private double saved;

  /** Creates a budget that is full. */
  public RetryBudget(double share, double maxSaved) {
    this.share = share;
    this.maxSaved = maxSaved;
    this.saved = maxSaved;
  }

  /** Counts a first try. */
  public synchronized void firstTry() {
    saved = Math.min(maxSaved, saved + share);
  }

  /** Takes one resend out of the budget; returns whether there was one. */
  public synchronized boolean tryResend() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
