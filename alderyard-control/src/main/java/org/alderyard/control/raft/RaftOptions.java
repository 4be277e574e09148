package org.alderyard.control.raft;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * Timing and size limits of the Raft log.
 *
 * @param electionTimeoutMinMillis the minimum time without contact with a leader before a replica
 *     campaigns
 * @param electionTimeoutMaxMillis the maximum of that time; each replica draws its timeout at
 *     random
 * @param heartbeatMillis the interval at which an idle leader sends heartbeats
 * @param maxBatchBytes the approximate size limit of the entries in one message
 * @param maxInflight the maximum number of messages with entries that wait for a reply, per replica
 * @param snapshotChunkBytes the size of the part of a snapshot that one message holds
 * @param maxCatchUpGap the maximum number of entries that a learner may lack when it becomes a
 *     voter
 */
public record RaftOptions(
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long heartbeatMillis,
    int maxBatchBytes,
    int maxInflight,
    int snapshotChunkBytes,
    long maxCatchUpGap) {
  private static final int DEFAULT_MAX_BATCH_BYTES = 256 * 1024;
  private static final int DEFAULT_SNAPSHOT_CHUNK_BYTES = 512 * 1024;
  private static final int DEFAULT_MAX_INFLIGHT = 16;
  private static final long DEFAULT_MAX_CATCH_UP_GAP = 64;

  /**
   * Checks the heartbeat interval against the election timeouts.
   *
   * @throws AlderyardException with {@link ErrorCode#SETTINGS_INVALID} if they do not fit together
   */
  public RaftOptions {
    if (heartbeatMillis <= 0
        || electionTimeoutMinMillis < 2 * heartbeatMillis
        || electionTimeoutMaxMillis <= electionTimeoutMinMillis) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "invalid Raft timing: heartbeat "
              + heartbeatMillis
              + " ms, election timeout "
              + electionTimeoutMinMillis
              + " to "
              + electionTimeoutMaxMillis
              + " ms; the heartbeat must be above 0, the minimum at least twice the heartbeat"
              + " and the maximum above the minimum");
    }
  }

  /**
   * Returns the defaults, among them a heartbeat of 50 ms and an election timeout of 250 to 500 ms.
   *
   * <p>A sync delays heartbeats, and a single sync on a shared disk can take more than 100 ms. That
   * is too close to an election timeout of 150 ms.
   */
  public static RaftOptions defaults() {
    return new RaftOptions(
        250,
        500,
        50,
        DEFAULT_MAX_BATCH_BYTES,
        DEFAULT_MAX_INFLIGHT,
        DEFAULT_SNAPSHOT_CHUNK_BYTES,
        DEFAULT_MAX_CATCH_UP_GAP);
  }
}
