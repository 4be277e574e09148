package org.alderyard.proxy.callersession;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long a statement without a server keeps searching and when its caller should retry.
 * Reads no clock.
 *
 * @param needsPrimary whether only the primary may run the statement
 * @param viewConfirmed whether the control hosts have recently confirmed this host's view
 * @param primaryUnresponsiveNanos how long requests to the primary have gone unanswered, {@code
 *     Long.MAX_VALUE} if no primary is known; empty if the primary answers
 * @param promotionBlocked whether the control leader has found no replica to promote
 */
record ServerSearchPolicy(
    boolean needsPrimary,
    boolean viewConfirmed,
    OptionalLong primaryUnresponsiveNanos,
    boolean promotionBlocked) {
  /**
   * Fraction of a statement's timeout that may be spent searching for a server; the rest is for
   * running the statement.
   */
  private static final double SEARCH_FRACTION = 0.5;

  /** Fraction of a statement's latency objective that may be spent waiting for a slot. */
  private static final double OBJECTIVE_FRACTION = 1;

  /**
   * Time without an answer after which the primary counts as failed. Twice the initial backoff, by
   * which time the failure of a single connection is over.
   */
  private static final long PRIMARY_FAILED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Time from the loss of a primary to its successor's first answers, in the recorded incidents.
   */
  private static final long FAILOVER_MILLIS = 2_400;

  /**
   * Retry delay on an isolated host. A network partition lasts for seconds, and another host may
   * serve the caller immediately.
   */
  private static final long ISOLATED_RETRY_MILLIS = 1_000;

  /**
   * Retry delay if all slots are in use. A slot is free after the time of a few typical statements.
   */
  private static final long BUSY_RETRY_MILLIS = 50;

  private static final long MIN_FAILOVER_RETRY_MILLIS = 100;

  /** Retry delay while no replica can be promoted. A missing server takes seconds to return. */
  private static final long BLOCKED_RETRY_MILLIS = 1_000;

  /** Creates a policy for a group whose primary can be replaced. */
  ServerSearchPolicy(
      boolean needsPrimary, boolean viewConfirmed, OptionalLong primaryUnresponsiveNanos) {
    this(needsPrimary, viewConfirmed, primaryUnresponsiveNanos, false);
  }

  private boolean primaryFailed() {
    return primaryUnresponsiveNanos.isPresent()
        && primaryUnresponsiveNanos.getAsLong() >= PRIMARY_FAILED_NANOS;
  }

  /**
   * Returns whether this host is cut off from both the control hosts and the primary.
   *
   * <p>Such a host can neither run writes nor discover which host can. Its callers are refused
   * immediately and can try another host, instead of waiting for their whole timeout.
   */
  boolean isIsolated() {
    return needsPrimary && !viewConfirmed && primaryFailed();
  }

  /** Returns whether this host knows of no server that will run the statement soon. */
  boolean noServerExpected() {
    return isIsolated() || isFailoverStuck();
  }

  /** Returns whether the search for a server ends now. */
  boolean isSearchOver(long elapsedNanos, long timeoutNanos, long objectiveNanos) {
    return noServerExpected()
        || failoverExceedsDeadline(timeoutNanos - elapsedNanos)
        || elapsedNanos >= searchNanos(timeoutNanos, objectiveNanos);
  }

  /**
   * Returns whether the time of a usual failover has passed and no replica can be promoted. Callers
   * are then refused immediately, as the end of the failover can't be estimated.
   */
  private boolean isFailoverStuck() {
    return needsPrimary && promotionBlocked && primaryFailed() && remainingFailoverMillis() == 0;
  }

  /**
   * Returns whether the primary has failed and its successor is expected only after the statement's
   * deadline.
   *
   * <p>The caller is then refused at the beginning of the failover and still has time to retry
   * after it.
   */
  private boolean failoverExceedsDeadline(long remainingNanos) {
    return needsPrimary
        && primaryFailed()
        && TimeUnit.MILLISECONDS.toNanos(remainingFailoverMillis()) > remainingNanos;
  }

  private long remainingFailoverMillis() {
    long unresponsiveMillis = TimeUnit.NANOSECONDS.toMillis(primaryUnresponsiveNanos.getAsLong());
    return Math.max(0, FAILOVER_MILLIS - unresponsiveMillis);
  }

  /**
   * Returns how long a statement searches for a server.
   *
   * <p>The limit keeps overloaded servers from finishing all their work late: if statements waited
   * for a slot until their deadline, each statement that gets a slot would have waited for nearly
   * that long. The search for a failed primary may take longer, since its successor serves all
   * queued statements.
   *
   * @param timeoutNanos the timeout of the statement
   * @param objectiveNanos the latency objective of the operation; 0 if there is none
   */
  long searchNanos(long timeoutNanos, long objectiveNanos) {
    long maxNanos = (long) (timeoutNanos * SEARCH_FRACTION);
    boolean awaitsPrimary = needsPrimary && primaryUnresponsiveNanos.isPresent();
    return awaitsPrimary || objectiveNanos == 0
        ? maxNanos
        : Math.min(maxNanos, (long) (objectiveNanos * OBJECTIVE_FRACTION));
  }

  /** Returns the delay after which the caller of a refused statement should retry. */
  long retryAfterMillis() {
    if (isIsolated()) {
      return ISOLATED_RETRY_MILLIS;
    }
    if (isFailoverStuck()) {
      return BLOCKED_RETRY_MILLIS;
    }
    if (needsPrimary && primaryFailed()) {
      return Math.max(MIN_FAILOVER_RETRY_MILLIS, remainingFailoverMillis());
    }
    return BUSY_RETRY_MILLIS;
  }

  /** Returns the refusal message for the caller. */
  String message() {
    String reason =
        isIsolated()
            ? "this host is cut off from the primary; another host may run the statement"
            : "no server can run the statement now";
    return reason + "; retry after " + retryAfterMillis() + " ms";
  }
}
