package org.alderyard.control.store;

import java.util.List;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.HardState;

/**
 * What a data folder held when it was opened.
 *
 * @param hardState the last synced term and vote
 * @param snapshot the newest snapshot, or the empty one before the first entry
 * @param entries the entries after the snapshot
 * @param tornBytes how many bytes of a batch that a crash had cut short were dropped
 */
public record Recovered(
    HardState hardState, Snapshot snapshot, List<Entry> entries, long tornBytes) {}
