package org.alderyard.control.log;

import java.time.Duration;
import org.alderyard.control.raft.LogSize;
import org.alderyard.control.raft.RaftOptions;

/**
 * Options of the replicated log on one host.
 *
 * @param raft options of the Raft protocol
 * @param tick interval at which a membership that may have to change is checked
 * @param joinInterval interval at which a host that is not a voter yet sends join requests
 * @param sendTimeout timeout for the acknowledgement of a message batch, and for a join request
 * @param snapshotAfter size of the applied entries after which a snapshot is taken; a large state
 *     raises the bytes, so that snapshots take less than entries do
 * @param keep maximum size of the entries before a snapshot that are kept for slow replicas
 * @param maxPending number of pending proposals and unconfirmed reads at which new proposals are
 *     refused
 * @param maxCommandBytes maximum size of a command
 */
public record ReplicatedLogOptions(
    RaftOptions raft,
    Duration tick,
    Duration joinInterval,
    Duration sendTimeout,
    LogSize snapshotAfter,
    LogSize keep,
    int maxPending,
    int maxCommandBytes) {
  /** Default maximum size of a command. */
  public static final int DEFAULT_MAX_COMMAND_BYTES = 4 * 1024 * 1024;

  private static final long MEBIBYTE = 1024 * 1024;

  /** Returns the options that a log has unless others are set. */
  public static ReplicatedLogOptions defaults() {
    return new ReplicatedLogOptions(
        RaftOptions.defaults(),
        Duration.ofMillis(10),
        Duration.ofMillis(200),
        Duration.ofSeconds(1),
        new LogSize(10_000, 2 * MEBIBYTE),
        new LogSize(1_000, 4 * MEBIBYTE),
        10_000,
        DEFAULT_MAX_COMMAND_BYTES);
  }
}
