package org.alderyard.proxy.callersession;

import java.time.Duration;
import java.util.Objects;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.pool.ConnectionSharing;

/**
 * Limits of the sessions of a host.
 *
 * @param maxSessions maximum number of concurrent sessions, so that file descriptors and memory
 *     suffice
 * @param admissionTimeout how long the opening of a session waits until the host serves callers
 * @param servingDelay how long after its first view the host begins to serve callers; not zero on
 *     hosts that all other hosts depend on at that time
 * @param routineLogSample one of this many successful statements is logged
 * @param startOpenings what happens to openings before the first view
 * @param connectionSharing how organisations share the connections to a server
 * @param admission how statements are treated that no server can run at once
 */
public record SessionLimits(
    int maxSessions,
    Duration admissionTimeout,
    Duration servingDelay,
    int routineLogSample,
    StartOpenings startOpenings,
    ConnectionSharing connectionSharing,
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
    Objects.requireNonNull(startOpenings);
    Objects.requireNonNull(connectionSharing);
    Objects.requireNonNull(admission);
  }

  /** Creates limits with the default treatment of openings, connections and statements. */
  public SessionLimits(
      int maxSessions, Duration admissionTimeout, Duration servingDelay, int routineLogSample) {
    this(
        maxSessions,
        admissionTimeout,
        servingDelay,
        routineLogSample,
        StartOpenings.WAIT,
        ConnectionSharing.RECENCY,
        AdmissionMode.NONE);
  }

  /** Creates limits with the default admission timeout. */
  public SessionLimits(
      int maxSessions, Duration servingDelay, int routineLogSample, StartOpenings startOpenings) {
    this(
        maxSessions,
        DEFAULT_ADMISSION_TIMEOUT,
        servingDelay,
        routineLogSample,
        startOpenings,
        ConnectionSharing.RECENCY,
        AdmissionMode.NONE);
  }

  /** Returns these limits with another sharing of connections. */
  public SessionLimits withConnectionSharing(ConnectionSharing sharing) {
    return new SessionLimits(
        maxSessions,
        admissionTimeout,
        servingDelay,
        routineLogSample,
        startOpenings,
        sharing,
        admission);
  }

  /** Returns these limits with another admission mode. */
  public SessionLimits withAdmission(AdmissionMode mode) {
    return new SessionLimits(
        maxSessions,
        admissionTimeout,
        servingDelay,
        routineLogSample,
        startOpenings,
        connectionSharing,
        mode);
  }
}
