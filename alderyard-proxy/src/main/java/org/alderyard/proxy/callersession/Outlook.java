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

  /** What is spent of a statement's objective on waiting for a slot. */
  private static final double OBJECTIVE_SHARE = 1;

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
  boolean searchOver(long elapsedNanos, long timeNanos, long objectiveNanos) {
    return hopeless()
        || successorComesTooLate(timeNanos - elapsedNanos)
        || elapsedNanos >= searchNanos(timeNanos, objectiveNanos);
  }

  /**
   * Returns whether a primary is lost and the next one is expected after a statement's time.
   *
   * <p>Guards against callers who are held for nothing at the beginning of a failover: told at once
   * when to come back, they still have time then.
   */
  private boolean successorComesTooLate(long leftNanos) {
    return needsLead
        && primaryLost()
        && TimeUnit.MILLISECONDS.toNanos(failoverLeftMillis()) > leftNanos;
  }

  private long failoverLeftMillis() {
    long lostMillis = TimeUnit.NANOSECONDS.toMillis(primaryLostNanos.getAsLong());
    return Math.max(0, FAILOVER_MILLIS - lostMillis);
  }

  /**
   * Returns how long a statement looks for a server.
   *
   * <p>Guards against servers that have more work than they can do, and do all of it late: if
   * statements wait for slots as long as they live, each one that gets a slot has waited for nearly
   * that long. A primary that is lost is waited for longer, since its successor serves all who
   * wait.
   *
   * @param timeNanos the whole time of the statement
   * @param objectiveNanos within which its operation should end; 0 where there is none
   */
  long searchNanos(long timeNanos, long objectiveNanos) {
    long most = (long) (timeNanos * SEARCH_SHARE);
    boolean primaryAwaited = needsLead && primaryLostNanos.isPresent();
    return primaryAwaited || objectiveNanos == 0
        ? most
        : Math.min(most, (long) (objectiveNanos * OBJECTIVE_SHARE));
  }

  /** Returns when the caller of a statement that was refused should come back. */
  long retryAfterMillis() {
    if (hopeless()) {
      return ISOLATED_RETRY_MILLIS;
    }
    if (needsLead && primaryLost()) {
      return Math.max(MIN_FAILOVER_RETRY_MILLIS, failoverLeftMillis());
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
