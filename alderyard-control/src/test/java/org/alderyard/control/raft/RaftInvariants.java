package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.alderyard.control.raft.Effects.ConfirmedRead;
import org.alderyard.protocol.generated.raft.Entry;

/** What must hold at every step, whatever the network and the disks do. */
final class RaftInvariants {
  private final Map<Long, Long> leaderOfTerm = new HashMap<>();
  private final Map<String, String> entryByPlace = new HashMap<>();
  private final TreeMap<Long, Entry> committed = new TreeMap<>();
  private final Map<Long, Long> digestAt = new HashMap<>(Map.of(0L, 0L));
  private final Map<Long, Long> committedWhenAsked = new HashMap<>();
  private long checks;

  long checks() {
    return checks;
  }

  long highestCommitted() {
    return committed.isEmpty() ? 0 : committed.lastKey();
  }

  /** One leader a term, and it holds every committed entry. */
  void leads(RaftReplica replica) {
    checks++;
    long term = replica.core().term();
    Long first = leaderOfTerm.putIfAbsent(term, replica.id);
    assertWithMessage("leader of term " + term)
        .that(first == null ? replica.id : first)
        .isEqualTo(replica.id);
    if (first == null && !committed.isEmpty()) {
      Entry last = committed.lastEntry().getValue();
      assertWithMessage("last index of the new leader")
          .that(replica.core().lastIndex())
          .isAtLeast(last.getIndex());
      assertWithMessage("term at " + last.getIndex() + " in the new leader")
          .that(replica.core().termAt(last.getIndex()))
          .isEqualTo(last.getTerm());
    }
  }

  /** Log matching: a place and term name one entry, with one entry before it. */
  void stored(Entry entry, long previousTerm) {
    checks++;
    String place = entry.getIndex() + "@" + entry.getTerm();
    String content = previousTerm + " " + entry.getKind() + " " + entry.getData().toStringUtf8();
    String first = entryByPlace.putIfAbsent(place, content);
    assertWithMessage("entry " + place).that(first == null ? content : first).isEqualTo(content);
  }

  /** Committed entries never change, and all replicas apply the same prefix. */
  void applied(Entry entry, long digest) {
    checks++;
    Entry first = committed.putIfAbsent(entry.getIndex(), entry);
    assertWithMessage("committed entry " + entry.getIndex())
        .that(first == null ? entry : first)
        .isEqualTo(entry);
    restored(entry.getIndex(), digest);
  }

  void restored(long index, long digest) {
    Long first = digestAt.putIfAbsent(index, digest);
    assertWithMessage("state at " + index).that(first == null ? digest : first).isEqualTo(digest);
  }

  void readAsked(long readId) {
    committedWhenAsked.put(readId, highestCommitted());
  }

  /** A confirmed read sees everything that was committed before it was asked. */
  void readConfirmed(ConfirmedRead read) {
    checks++;
    assertWithMessage("index of read " + read.readId())
        .that(read.index())
        .isAtLeast(committedWhenAsked.get(read.readId()));
  }
}
