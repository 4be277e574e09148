package org.alderyard.control.raft;

import java.util.List;
import java.util.Optional;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * The effects of the steps since the last call, to be performed in the order of the components.
 *
 * @param beforeSync messages to send without waiting for the sync; only leaders send them
 * @param hardState the term and vote to sync, if they changed
 * @param snapshot the snapshot to store and to restore the state from; it replaces the whole log
 * @param entries the entries to sync; they replace all stored entries from the first index on
 * @param afterSync messages to send once all of the above is synced
 * @param committed the entries to apply, in order
 * @param reads reads that a quorum has confirmed
 * @param failedReads the ids of reads that cannot be confirmed since this replica no longer leads
 */
public record Effects(
    List<RaftMessage> beforeSync,
    Optional<HardState> hardState,
    Optional<Snapshot> snapshot,
    List<Entry> entries,
    List<RaftMessage> afterSync,
    List<Entry> committed,
    List<ConfirmedRead> reads,
    List<Long> failedReads) {

  /**
   * A confirmed read, which may run once an index is applied.
   *
   * @param readId the id that the caller gave the read
   * @param index the index that must be applied first
   */
  public record ConfirmedRead(long readId, long index) {}

  /** Returns whether the hard state, a snapshot or entries must be synced. */
  public boolean needsSync() {
    return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
  }
}
