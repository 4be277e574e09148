package org.alderyard.control.raft;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.MemberList;

/**
 * The entries since the last snapshot, with the indexes up to which they are stored, committed and
 * delivered.
 */
final class RaftLog {
  private final List<Entry> entries = new ArrayList<>();
  private Snapshot snapshot;
  // The index before the first retained entry; at most the last index of the snapshot.
  private long baseIndex;
  private long baseTerm;
  private long storedIndex;
  private long commitIndex;
  private long deliveredIndex;
  private long membershipIndex;
  private Membership membership;
  private Membership previousMembership;
  private long committedMembershipIndex;
  private long retainedBytes;

  RaftLog(Snapshot snapshot, List<Entry> stored) {
    this(snapshot, stored, 0);
  }

  /**
   * Creates the log from its synced parts.
   *
   * @param committedMembershipIndex the index of a membership change that is known to be committed
   */
  RaftLog(Snapshot snapshot, List<Entry> stored, long committedMembershipIndex) {
    this.snapshot = snapshot;
    this.committedMembershipIndex = committedMembershipIndex;
    baseIndex = snapshot.lastIndex();
    baseTerm = snapshot.lastTerm();
    entries.addAll(stored);
    retainedBytes = bytesOf(entries);
    storedIndex = lastIndex();
    commitIndex = snapshot.lastIndex();
    deliveredIndex = snapshot.lastIndex();
    refreshMembership();
  }

  private static long bytesOf(List<Entry> range) {
    return range.stream().mapToLong(Entry::getSerializedSize).sum();
  }

  /** Returns the size of the entries that are held in memory. */
  LogSize retained() {
    return new LogSize(entries.size(), retainedBytes);
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  long commitIndex() {
    return commitIndex;
  }

  long storedIndex() {
    return storedIndex;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the members as of the newest membership change in the log, committed or not. */
  Membership membership() {
    return membership;
  }

  /** Returns the members before the newest membership change in the log. */
  Membership previousMembership() {
    return previousMembership;
  }

  /** Returns whether the newest membership change in the log is known to be committed. */
  boolean isMembershipCommitted() {
    return membershipIndex <= Math.max(commitIndex, committedMembershipIndex);
  }

  /**
   * Returns whether a replica votes. One that the newest change removes votes until the change is
   * known to be committed: it may be the only one that holds the change.
   */
  boolean isVoter(long replicaId) {
    return membership.isVoter(replicaId)
        || !isMembershipCommitted() && previousMembership.isVoter(replicaId);
  }

  /** Returns whether the newest voters are those of a membership that is committed. */
  boolean areVotersCommitted() {
    return isMembershipCommitted() || membership.voters().equals(previousMembership.voters());
  }

  /** Returns the index of the newest membership change that is known to be committed. */
  long committedMembershipIndex() {
    return isMembershipCommitted() ? membershipIndex : committedMembershipIndex;
  }

  /**
   * Returns whether the term at an index is known, which holds from the base index to the last
   * index.
   */
  boolean hasTermAt(long index) {
    return index >= baseIndex && index <= lastIndex();
  }

  long termAt(long index) {
    return index == baseIndex ? baseTerm : entry(index).getTerm();
  }

  boolean matches(long index, long term) {
    return hasTermAt(index) && termAt(index) == term;
  }

  Entry entry(long index) {
    return entries.get(offsetOf(index));
  }

  private int offsetOf(long index) {
    return Math.toIntExact(index - baseIndex - 1);
  }

  /** Returns whether a log with this last index and term is at least as up to date as this log. */
  boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
    if (otherLastTerm != lastTerm()) {
      return otherLastTerm > lastTerm();
    }
    return otherLastIndex >= lastIndex();
  }

  /** Appends an entry and, if it changes the membership, makes the change effective. */
  void append(Entry entry) {
    entries.add(entry);
    retainedBytes += entry.getSerializedSize();
    if (entry.getKind() == EntryKind.MEMBERSHIP) {
      membershipIndex = entry.getIndex();
      previousMembership = membership;
      membership = membershipOf(entry);
    }
  }

  /**
   * Adds entries of a leader whose preceding entry matched. Known entries are skipped; conflicting
   * entries and all after them are replaced.
   */
  void merge(List<Entry> received) {
    for (Entry entry : received) {
      if (entry.getIndex() <= baseIndex) {
        continue;
      }
      if (entry.getIndex() <= lastIndex()) {
        if (termAt(entry.getIndex()) == entry.getTerm()) {
          continue;
        }
        truncateFrom(entry.getIndex());
      }
      append(entry);
    }
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException("entry " + index + " is committed and cannot be replaced");
    }
    remove(entries.subList(offsetOf(index), entries.size()));
    storedIndex = Math.min(storedIndex, index - 1);
    refreshMembership();
  }

  private void remove(List<Entry> range) {
    retainedBytes -= bytesOf(range);
    range.clear();
  }

  /**
   * Returns entries from an index on, up to about {@code maxBytes}, but at least one if any exists.
   */
  List<Entry> entriesFrom(long index, int maxBytes) {
    List<Entry> result = new ArrayList<>();
    int bytes = 0;
    for (long next = index; next <= lastIndex(); next++) {
      Entry entry = entry(next);
      bytes += entry.getSerializedSize();
      if (!result.isEmpty() && bytes > maxBytes) {
        break;
      }
      result.add(entry);
    }
    return result;
  }

  /** Raises the commit index, at most to the last index. The commit index never decreases. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
  }

  /** Returns the committed entries that have not been delivered yet and marks them as delivered. */
  List<Entry> takeCommitted() {
    List<Entry> result = new ArrayList<>();
    while (deliveredIndex < commitIndex) {
      deliveredIndex++;
      result.add(entry(deliveredIndex));
    }
    return result;
  }

  /** Returns the entries that are not marked as stored. */
  List<Entry> unstoredEntries() {
    long first = storedIndex + 1;
    return first > lastIndex() ? List.of() : entriesFrom(first, Integer.MAX_VALUE);
  }

  void markStored() {
    storedIndex = lastIndex();
  }

  /** Replaces the whole log with a snapshot of the leader. */
  void restore(Snapshot received) {
    entries.clear();
    retainedBytes = 0;
    snapshot = received;
    baseIndex = received.lastIndex();
    baseTerm = received.lastTerm();
    storedIndex = received.lastIndex();
    commitIndex = received.lastIndex();
    deliveredIndex = received.lastIndex();
    refreshMembership();
  }

  /**
   * Drops the entries covered by a snapshot of this replica, except the newest ones within the
   * limit {@code keep}, which let slow followers catch up without a snapshot.
   */
  void compact(Snapshot newSnapshot, LogSize keep) {
    if (newSnapshot.lastIndex() > deliveredIndex) {
      throw new IllegalArgumentException("snapshot covers entries that are not applied yet");
    }
    if (newSnapshot.lastIndex() <= snapshot.lastIndex()) {
      return;
    }
    long newBase = indexBeforeKept(newSnapshot.lastIndex(), keep);
    long newBaseTerm = termAt(newBase);
    remove(entries.subList(0, offsetOf(newBase) + 1));
    baseIndex = newBase;
    baseTerm = newBaseTerm;
    snapshot = newSnapshot;
  }

  private long indexBeforeKept(long snapshotIndex, LogSize keep) {
    long index = snapshotIndex;
    long keptBytes = 0;
    while (index > baseIndex && snapshotIndex - index < keep.entries()) {
      keptBytes += entry(index).getSerializedSize();
      if (keptBytes > keep.bytes()) {
        break;
      }
      index--;
    }
    return index;
  }

  /** Returns the members as of an index at or after that of the snapshot. */
  Membership membershipAt(long index) {
    for (long i = index; i > snapshot.lastIndex(); i--) {
      if (entry(i).getKind() == EntryKind.MEMBERSHIP) {
        return membershipOf(entry(i));
      }
    }
    return snapshot.membership();
  }

  private void refreshMembership() {
    membership = membershipAt(lastIndex());
    membershipIndex = lastIndex();
    while (membershipIndex > snapshot.lastIndex()
        && entry(membershipIndex).getKind() != EntryKind.MEMBERSHIP) {
      membershipIndex--;
    }
    previousMembership =
        membershipIndex > snapshot.lastIndex() ? membershipAt(membershipIndex - 1) : membership;
  }

  private static Membership membershipOf(Entry entry) {
    try {
      return new Membership(MemberList.parseFrom(entry.getData()));
    } catch (com.google.protobuf.InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "membership entry " + entry.getIndex() + " cannot be parsed", e);
    }
  }
}
