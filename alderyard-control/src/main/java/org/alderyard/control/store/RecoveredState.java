package org.alderyard.control.store;

import java.util.List;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;

/**
 * State recovered from a data folder when it was opened.
 *
 * @param hardState the last synced term and vote
 * @param snapshot the newest snapshot, or an empty snapshot at index 0 if there is none
 * @param entries the entries after the snapshot
 * @param tornBytes size of the dropped batch that was truncated by a crash, 0 if there was none
 */
public record RecoveredState(
    HardState hardState, Snapshot snapshot, List<Entry> entries, long tornBytes) {}
