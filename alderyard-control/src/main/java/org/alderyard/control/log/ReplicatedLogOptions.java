package org.alderyard.control.log;

import java.time.Duration;
import org.alderyard.control.raft.RaftOptions;

/**
 * The settings of the replicated log of one host.
 *
 * @param raft the settings of the agreement
 * @param tick how often the time is looked at
 * @param joinInterval how often a host that isn't a voter yet speaks to the others
 * @param sendTimeout how long the receipt of a batch of messages may take
 * @param snapshotEntries after how many applied entries a snapshot is taken
 * @param keepEntries how many entries before a snapshot stay for slow replicas
 * @param maxPending the most proposals without an answer
 * @param maxCommandBytes the largest command
 */
public record ReplicatedLogOptions(
    RaftOptions raft,
    Duration tick,
    Duration joinInterval,
    Duration sendTimeout,
    long snapshotEntries,
    long keepEntries,
    int maxPending,
    int maxCommandBytes) {
  /** The largest command of a log with the usual options. */
  public static final int DEFAULT_MAX_COMMAND_BYTES = 4 * 1024 * 1024;

  /** Returns the defaults. */
  public static ReplicatedLogOptions defaults() {
    return new ReplicatedLogOptions(
        RaftOptions.defaults(),
        Duration.ofMillis(10),
        Duration.ofMillis(200),
        Duration.ofSeconds(1),
        10_000,
        1_000,
        10_000,
        DEFAULT_MAX_COMMAND_BYTES);
  }
}
