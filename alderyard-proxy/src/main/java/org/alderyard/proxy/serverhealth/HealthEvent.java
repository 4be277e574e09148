package org.alderyard.proxy.serverhealth;

import org.alderyard.common.id.ServerId;

/**
 * A decision about one server, for the log and the metrics.
 *
 * @param kind what was decided
 * @param server the server
 * @param incarnation the incarnation of the server
 * @param reason why
 * @param failedShare the share of the server's recent reads that failed
 * @param meanMillis the mean response time of the server's recent reads
 * @param peerMillis the mean response time of the group's other servers
 * @param spanMillis how long the decision holds, or the state that it ends has held
 */
public record HealthEvent(
    Kind kind,
    ServerId server,
    long incarnation,
    String reason,
    double failedShare,
    double meanMillis,
    double peerMillis,
    long spanMillis) {

  /** The kinds of decisions. */
  public enum Kind {
    /** The server gets no reads for a time. */
    EJECTED,
    /** The server gets reads again. */
    READMITTED,
    /** The concurrent statements of the server are bounded. */
    BOUNDED,
    /** The bound is gone. */
    FULL_PACE
  }
}
