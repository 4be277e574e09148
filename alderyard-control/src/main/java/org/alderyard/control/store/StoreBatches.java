package org.alderyard.control.store;

import org.alderyard.control.raft.Effects;
import org.alderyard.control.raft.Snapshot;
import org.alderyard.protocol.generated.raft.LogReset;
import org.alderyard.protocol.generated.raft.StoredBatch;

/** Builds the batches of log records; each batch is written with one sync. */
final class StoreBatches {

  private StoreBatches() {}

  static StoredBatch of(Effects effects) {
    StoredBatch.Builder batch = StoredBatch.newBuilder().addAllEntries(effects.entries());
    effects.hardState().ifPresent(batch::setHardState);
    effects.snapshot().ifPresent(snapshot -> batch.setReset(resetMarker(snapshot)));
    return batch.build();
  }

  static StoredBatch reset(Snapshot snapshot) {
    return StoredBatch.newBuilder().setReset(resetMarker(snapshot)).build();
  }

  private static LogReset resetMarker(Snapshot snapshot) {
    return LogReset.newBuilder()
        .setLastIndex(snapshot.lastIndex())
        .setLastTerm(snapshot.lastTerm())
        .build();
  }
}
