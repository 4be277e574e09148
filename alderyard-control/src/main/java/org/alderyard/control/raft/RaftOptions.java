package org.alderyard.control.raft;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * The settings of the agreement.
 *
 * @param electionTimeoutMinMillis the shortest silence of a leader after which a replica campaigns
 * @param electionTimeoutMaxMillis the longest such silence; each replica draws its own
 * @param heartbeatMillis how often a leader speaks when it has nothing to say
 * @param maxBatchBytes about how many bytes of entries one message holds
 * @param maxInflight how many messages with entries may wait for a reply, per replica
 * @param snapshotChunkBytes how many bytes of a snapshot one message holds
 * @param maxCatchUpGap how many entries a learner may lack when it becomes a voter
 */
public record RaftOptions(
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long heartbeatMillis,
    int maxBatchBytes,
    int maxInflight,
    int snapshotChunkBytes,
    long maxCatchUpGap) {
  private static final int DEFAULT_BATCH_BYTES = 256 * 1024;
  private static final int DEFAULT_CHUNK_BYTES = 512 * 1024;
  private static final int DEFAULT_INFLIGHT = 16;
  private static final long DEFAULT_GAP = 64;

  /** Checks that the times fit each other. */
  public RaftOptions {
    if (heartbeatMillis <= 0
        || electionTimeoutMinMillis < 2 * heartbeatMillis
        || electionTimeoutMaxMillis <= electionTimeoutMinMillis) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "heartbeat "
              + heartbeatMillis
              + " ms, election timeout "
              + electionTimeoutMinMillis
              + " to "
              + electionTimeoutMaxMillis
              + " ms; accepted are a heartbeat above 0, a minimum of at least two heartbeats"
              + " and a maximum above the minimum");
    }
  }

  /**
   * Returns the defaults: a heartbeat of 50 ms and an election timeout of 250 to 500 ms.
   *
   * <p>A sync holds the heartbeats back; a shared disk was seen to take more than 100 ms for one,
   * which is too close to a timeout of 150 ms.
   */
  public static RaftOptions defaults() {
    return new RaftOptions(
        250, 500, 50, DEFAULT_BATCH_BYTES, DEFAULT_INFLIGHT, DEFAULT_CHUNK_BYTES, DEFAULT_GAP);
  }
}
