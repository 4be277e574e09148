package org.alderyard.control.promotion;

import java.util.Comparator;
import org.alderyard.backend.session.ReplicationStatus;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A replica that may be promoted, with the state that it has reported. */
record Candidate(ServerState server, ReplicationStatus status) {
  private static final Logger log = LoggerFactory.getLogger(Candidate.class);

  /**
   * Prefers the highest received position, as it loses the fewest writes; among equal positions a
   * server that does not leave, and then the smallest lag.
   */
  static final Comparator<Candidate> BY_POSITION =
      Comparator.comparing(Candidate::received)
          .thenComparing(Candidate::stays)
          .thenComparing(candidate -> -candidate.status().lagMillis());

  /** Prefers servers that do not leave, and among them the highest received position. */
  static final Comparator<Candidate> STAYING_FIRST =
      Comparator.comparing(Candidate::stays).thenComparing(BY_POSITION);

  Position received() {
    return status.received();
  }

  /** Returns whether the server has not announced that it leaves. */
  boolean stays() {
    return isStaying(server);
  }

  /** Returns whether a server has not announced that it leaves. */
  static boolean isStaying(ServerState server) {
    return server.status() == ServerStatus.ACTIVE || server.status() == ServerStatus.EXPIRED;
  }

  /** Logs that the server reported its state. */
  void logReport() {
    log.info(
        "event=failover-candidate server={} reached=true primary={} term={} received={}"
            + " lag-millis={}",
        server.id(),
        status.primary(),
        status.term(),
        status.received(),
        status.lagMillis());
  }

  /** Logs that a server did not report its state. */
  static void logMissing(ServerState server, ErrorCode reason) {
    log.info("event=failover-candidate server={} reached=false reason={}", server.id(), reason);
  }
}
