package org.alderyard.proxy.limit;

/**
 * Limits resends to a share of the traffic.
 *
 * <p>When a recovering server fails many statements, resending each of them would keep the server
 * overloaded. Each first attempt adds a fraction of a resend to the budget. The budget accumulates
 * up to a maximum, which allows short bursts.
 *
 * <p>Thread-safe. No other lock is acquired while the lock of this object is held.
 */
public final class RetryBudget {
  /** The default share: one resend for ten first attempts. */
  public static final double DEFAULT_SHARE = 0.1;

  /** The default maximum number of accumulated resends. */
  public static final double DEFAULT_MAX_RESENDS = 10;

  private final double share;
  private final double maxAvailable;
  private double available;

  /** Creates a full budget. */
  public RetryBudget(double share, double maxAvailable) {
    this.share = share;
    this.maxAvailable = maxAvailable;
    this.available = maxAvailable;
  }

  /** Records a first attempt, which adds {@code share} to the budget. */
  public synchronized void recordFirstAttempt() {
    available = Math.min(maxAvailable, available + share);
  }

  /** Removes one resend from the budget. Returns false if the budget holds less than one resend. */
  public synchronized boolean tryResend() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
