package org.alderyard.control.log;

import org.alderyard.control.store.DataFolder;
import org.alderyard.protocol.generated.raft.FolderIdentity;
import org.alderyard.protocol.generated.raft.MemberList;

/**
 * What a data folder records of how its replica became part of the cluster. Each change is synced
 * when its method returns.
 */
final class JoinRecord {
  private final DataFolder folder;

  JoinRecord(DataFolder folder) {
    this.folder = folder;
  }

  FolderIdentity identity() {
    return folder.identity();
  }

  /** Returns whether the replica knows the founders of its cluster and is one of them. */
  boolean isFounder() {
    return identity().getFounders().getMembersCount() > 0;
  }

  /** Returns whether the replica joined a cluster and has never voted in it. */
  boolean awaitsAdmission() {
    return !isFounder() && !identity().getAdmitted();
  }

  /**
   * Returns whether the replica joined a cluster that existed before it, and has never voted in it.
   */
  boolean isNewSuccessor() {
    return identity().getSuccessor() && !identity().getAdmitted();
  }

  void recordAdmission() {
    folder.writeIdentity(identity().toBuilder().setAdmitted(true).build());
  }

  /**
   * Records the founders.
   *
   * @param formed whether all of them have recorded the same list
   */
  void recordFounders(MemberList founders, boolean formed) {
    folder.writeIdentity(identity().toBuilder().setFounders(founders).setFormed(formed).build());
  }

  /**
   * Records that the replica joins a cluster.
   *
   * @param founders the founders to record; empty for a replica that is none of them
   * @param successor whether the cluster existed before the replica
   */
  void recordJoin(MemberList founders, boolean successor) {
    folder.writeIdentity(
        identity().toBuilder()
            .setFounders(founders)
            .setFormed(true)
            .setSuccessor(successor)
            .build());
  }
}
