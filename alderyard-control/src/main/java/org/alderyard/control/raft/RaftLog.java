package org.alderyard.control.raft;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.protocol.generated.raft.Entry;
import org.alderyard.protocol.generated.raft.EntryKind;
import org.alderyard.protocol.generated.raft.MemberList;

/** The entries after the last snapshot, and how far they are stored, committed and handed out. */
final class RaftLog {
  private final List<Entry> entries = new ArrayList<>();
  private Snapshot snapshot;
  // The entry before the first one that is kept; at most the snapshot's last one.
  private long baseIndex;
  private long baseTerm;
  private long storedIndex;
  private long commitIndex;
  private long handedIndex;
  private long membershipIndex;
  private Membership membership;

  RaftLog(Snapshot snapshot, List<Entry> stored) {
    this.snapshot = snapshot;
    baseIndex = snapshot.lastIndex();
    baseTerm = snapshot.lastTerm();
    entries.addAll(stored);
    storedIndex = lastIndex();
    commitIndex = snapshot.lastIndex();
    handedIndex = snapshot.lastIndex();
    findMembership();
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

  /** Returns the members by the newest change in the log, committed or not. */
  Membership membership() {
    return membership;
  }

  long membershipIndex() {
    return membershipIndex;
  }

  /** Returns whether the term of this index is known here. */
  boolean covers(long index) {
    return index >= baseIndex && index <= lastIndex();
  }

  long termAt(long index) {
    return index == baseIndex ? baseTerm : entry(index).getTerm();
  }

  boolean matches(long index, long term) {
    return covers(index) && termAt(index) == term;
  }

  Entry entry(long index) {
    return entries.get(position(index));
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex - 1);
  }

  /** Returns whether a log that ends so is at least as new as this one. */
  boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
    if (otherLastTerm != lastTerm()) {
      return otherLastTerm > lastTerm();
    }
    return otherLastIndex >= lastIndex();
  }

  /** Adds an entry of a leader at the end. */
  void append(Entry entry) {
    entries.add(entry);
    if (entry.getKind() == EntryKind.MEMBERSHIP) {
      membershipIndex = entry.getIndex();
      membership = membershipOf(entry);
    }
  }

  /** Takes over entries of a leader whose preceding entry matched. */
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
      throw new IllegalStateException("entry " + index + " is committed and would be replaced");
    }
    entries.subList(position(index), entries.size()).clear();
    storedIndex = Math.min(storedIndex, index - 1);
    findMembership();
  }

  /** Returns entries from the index on, about as many as fit, and at least one if there is one. */
  List<Entry> from(long index, int maxBytes) {
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

  /** Raises the commit index; it never falls. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
  }

  /** Returns the committed entries that were not handed out yet. */
  List<Entry> takeCommitted() {
    List<Entry> result = new ArrayList<>();
    while (handedIndex < commitIndex) {
      handedIndex++;
      result.add(entry(handedIndex));
    }
    return result;
  }

  /** Returns the entries that were not handed out to the disk yet. */
  List<Entry> unstored() {
    long first = storedIndex + 1;
    return first > lastIndex() ? List.of() : from(first, Integer.MAX_VALUE);
  }

  void markStored() {
    storedIndex = lastIndex();
  }

  /** Replaces the whole log by a snapshot of the leader. */
  void restore(Snapshot received) {
    entries.clear();
    snapshot = received;
    baseIndex = received.lastIndex();
    baseTerm = received.lastTerm();
    storedIndex = received.lastIndex();
    commitIndex = received.lastIndex();
    handedIndex = received.lastIndex();
    findMembership();
  }

  /** Drops the entries that a snapshot taken here covers, but for a tail for slow followers. */
  void compact(Snapshot taken, long keepEntries) {
    if (taken.lastIndex() > handedIndex) {
      throw new IllegalArgumentException("a snapshot of entries that were not applied");
    }
    if (taken.lastIndex() <= snapshot.lastIndex()) {
      return;
    }
    long newBase = Math.max(baseIndex, taken.lastIndex() - keepEntries);
    long newBaseTerm = termAt(newBase);
    entries.subList(0, position(newBase) + 1).clear();
    baseIndex = newBase;
    baseTerm = newBaseTerm;
    snapshot = taken;
  }

  /** Returns the members as of an index at or after the snapshot. */
  Membership membershipAt(long index) {
    for (long at = index; at > snapshot.lastIndex(); at--) {
      if (entry(at).getKind() == EntryKind.MEMBERSHIP) {
        return membershipOf(entry(at));
      }
    }
    return snapshot.membership();
  }

  private void findMembership() {
    membership = membershipAt(lastIndex());
    membershipIndex = lastIndex();
    while (membershipIndex > snapshot.lastIndex()
        && entry(membershipIndex).getKind() != EntryKind.MEMBERSHIP) {
      membershipIndex--;
    }
  }

  private static Membership membershipOf(Entry entry) {
    try {
      return new Membership(MemberList.parseFrom(entry.getData()));
    } catch (com.google.protobuf.InvalidProtocolBufferException damaged) {
      throw new IllegalStateException("members at " + entry.getIndex() + " can't be read", damaged);
    }
  }
}
