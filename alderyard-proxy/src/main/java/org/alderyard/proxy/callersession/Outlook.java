package org.alderyard.proxy.callersession;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What a statement that found no server may hope for, and so how long it goes on looking and when
 * its caller should come back. Pure.
 *
 * @param needsLead whether only the primary may run it
 * @param viewConfirmed whether the control hosts have confirmed this host's view of late
 * @param primaryLostNanos for how long the primary has given no answer to what waits for one, or
 *     nobody is known to lead; empty if it answers
 */
record Outlook(boolean needsLead, boolean viewConfirmed, OptionalLong primaryLostNanos) {
  /** What is spent of a statement's time on looking for a server; the rest is for its run. */
  private static final double SEARCH_SHARE = 0.5;

  /** Twice the first pause after a failure: a single broken connection is over by then. */
  private static final long SURELY_LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** From the loss of a primary to its successor's first answers, in the recorded incidents. */
  private static final long FAILOVER_MILLIS = 2_400;

  /** A cut between hosts lasts for seconds, and another host may serve at once. */
  private static final long ISOLATED_RETRY_MILLIS = 1_000;

  /** Some usual statements' time: a slot is free then. */
  private static final long BUSY_RETRY_MILLIS = 50;

  private static final long MIN_FAILOVER_RETRY_MILLIS = 100;

  private boolean primaryLost() {
    return primaryLostNanos.isPresent() && primaryLostNanos.getAsLong() >= SURELY_LOST_NANOS;
  }

  /**
   * Returns whether nothing this host waits for can come.
   *
   * <p>Guards against callers who are held on a host that is cut off from the control hosts and
   * from the new primary: it can neither run their writes nor learn who could, and another host
   * can.
   */
  boolean hopeless() {
    return needsLead && !viewConfirmed && primaryLost();
  }

  /** Returns whether the search for a server ends now. */
  boolean searchOver(long elapsedNanos, long timeNanos) {
    return hopeless() || elapsedNanos >= timeNanos * SEARCH_SHARE;
  }

  /** Returns how much of the time for the search is left, if it goes on. */
  static long searchLeftNanos(long elapsedNanos, long timeNanos) {
    return (long) (timeNanos * SEARCH_SHARE) - elapsedNanos;
  }

  /** Returns when the caller of a statement that was refused should come back. */
  long retryAfterMillis() {
    if (hopeless()) {
      return ISOLATED_RETRY_MILLIS;
    }
    if (needsLead && primaryLost()) {
      long lostMillis = TimeUnit.NANOSECONDS.toMillis(primaryLostNanos.getAsLong());
      return Math.max(MIN_FAILOVER_RETRY_MILLIS, FAILOVER_MILLIS - lostMillis);
    }
    return BUSY_RETRY_MILLIS;
  }

  /** Returns what the caller is told. */
  String text() {
    String reason =
        hopeless()
            ? "this host is cut off from the primary, another one may serve it"
            : "no server could run it now";
    return reason + "; retry after " + retryAfterMillis() + " ms";
  }
}
