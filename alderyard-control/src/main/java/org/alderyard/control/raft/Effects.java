package org.alderyard.control.raft;

import java.util.List;
import java.util.Optional;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * What the steps since the last call ask for, in this order.
 *
 * @param early messages that need not wait for the disk: what a leader sends
 * @param hardState the term and vote to sync, if they changed
 * @param snapshot the snapshot to store and to restore the state from; the log before it is void
 * @param entries the entries to sync; entries from the first index on that are stored are void
 * @param afterSync messages to send once all of the above is synced
 * @param committed the entries to apply, in order
 * @param reads reads that were confirmed by a quorum
 * @param failedReads reads that can't be confirmed since this replica doesn't lead any more
 */
public record Effects(
    List<RaftMessage> early,
    Optional<HardState> hardState,
    Optional<Snapshot> snapshot,
    List<Entry> entries,
    List<RaftMessage> afterSync,
    List<Entry> committed,
    List<ConfirmedRead> reads,
    List<Long> failedReads) {

  /**
   * A read that may run once the given index is applied.
   *
   * @param readId the number that the caller gave the read
   * @param index the index that has to be applied first
   */
  public record ConfirmedRead(long readId, long index) {}

  /** Returns whether something has to be synced. */
  public boolean needsSync() {
    return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
  }
}
