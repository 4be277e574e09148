package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Objects;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;

/**
 * Decides how long the opening of a session waits on a host that has started and has no view yet,
 * and when its caller should retry. Reads no clock.
 *
 * <p>The retry time is proportional to the time since the start, as it is unknown when a leader
 * will be elected, and is randomized so that callers do not return together.
 */
final class StartAdmission {
  /** Longest wait before a refusal: short, so that another host can still serve the caller. */
  static final Duration MAX_WAIT_BEFORE_REFUSAL = Duration.ofMillis(60);

  /** A view rarely follows sooner; a shorter time uses up the few retries of a caller. */
  static final long MIN_RETRY_MILLIS = 200;

  /** Callers give up after one to two seconds. */
  static final long MAX_RETRY_MILLIS = 1_000;

  private static final String NO_CONFIGURATION = "this host has not received a configuration yet";
  private static final double MIN_SPREAD = 0.5;

  private final StartOpenings openings;
  private final Duration admissionTimeout;

  /**
   * Creates a decision.
   *
   * @param admissionTimeout the maximum wait for the view
   */
  StartAdmission(StartOpenings openings, Duration admissionTimeout) {
    this.openings = Objects.requireNonNull(openings);
    this.admissionTimeout = Objects.requireNonNull(admissionTimeout);
  }

  /** Returns how long an opening waits before it is refused. */
  Duration maxWait() {
    boolean refuses =
        openings == StartOpenings.REFUSE && admissionTimeout.compareTo(MAX_WAIT_BEFORE_REFUSAL) > 0;
    return refuses ? MAX_WAIT_BEFORE_REFUSAL : admissionTimeout;
  }

  /**
   * Returns the refusal of an opening without a view.
   *
   * @param sinceStartMillis time since the host started
   * @param random a random number from 0 to 1, which spreads the retry time
   */
  Refusal refusal(long sinceStartMillis, double random) {
    if (openings == StartOpenings.WAIT) {
      return new Refusal(RefusalCode.BUSY, NO_CONFIGURATION);
    }
    long meanMillis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, sinceStartMillis / 2));
    long retryMillis = Math.round(meanMillis * (MIN_SPREAD + random));
    return new Refusal(RefusalCode.BUSY, NO_CONFIGURATION + "; retry after " + retryMillis + " ms");
  }
}
