package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Objects;
import org.alderyard.proxy.admission.AdmissionMode;

/**
 * Limits of the sessions of a host.
 *
 * @param maxSessions maximum number of concurrent sessions, so that file descriptors and memory
 *     suffice
 * @param admissionTimeout how long the opening of a session waits until the host serves callers
 * @param servingDelay how long after its first view the host begins to serve callers; not zero on
 *     hosts that all other hosts depend on at that time
 * @param routineLogSample one of this many successful statements is logged
 * @param admission how statements are treated that no server can run at once
 */
public record SessionLimits(
    int maxSessions,
    Duration admissionTimeout,
    Duration servingDelay,
    int routineLogSample,
    AdmissionMode admission) {
  /**
   * Covers the duration of an election, and is half of the time after which callers give up opening
   * a session.
   */
  private static final Duration DEFAULT_ADMISSION_TIMEOUT = Duration.ofSeconds(1);

  /** Rejects null durations. */
  public SessionLimits {
    Objects.requireNonNull(admissionTimeout);
    Objects.requireNonNull(servingDelay);
    Objects.requireNonNull(admission);
  }

  /** Creates limits without admission by deadlines. */
  public SessionLimits(
      int maxSessions, Duration admissionTimeout, Duration servingDelay, int routineLogSample) {
    this(maxSessions, admissionTimeout, servingDelay, routineLogSample, AdmissionMode.NONE);
  }

  /** Creates limits with the default admission timeout. */
  public SessionLimits(int maxSessions, Duration servingDelay, int routineLogSample) {
    this(maxSessions, DEFAULT_ADMISSION_TIMEOUT, servingDelay, routineLogSample);
  }

  /** Returns these limits with another admission mode. */
  public SessionLimits withAdmission(AdmissionMode mode) {
    return new SessionLimits(maxSessions, admissionTimeout, servingDelay, routineLogSample, mode);
  }
}
