package org.alderyard.control.raft;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.alderyard.control.raft.Effects.ConfirmedRead;
import org.alderyard.protocol.generated.raft.Entry;

/** Safety invariants of Raft, which must hold at every step under any network and disk faults. */
final class RaftInvariants {
  private final Map<Long, Long> leaderOfTerm = new HashMap<>();
  private final Map<String, String> entryByIndexAndTerm = new HashMap<>();
  private final TreeMap<Long, Entry> committed = new TreeMap<>();
  private final Map<Long, Long> digestAt = new HashMap<>(Map.of(0L, 0L));
  private final Map<Long, Long> committedAtRequest = new HashMap<>();
  private long checks;

  long checks() {
    return checks;
  }

  long highestCommitted() {
    return committed.isEmpty() ? 0 : committed.lastKey();
  }

  /** Checks that each term has one leader and that a new leader holds every committed entry. */
  void checkLeader(RaftReplica replica) {
    checks++;
    long term = replica.core().term();
    Long earlier = leaderOfTerm.putIfAbsent(term, replica.id);
    assertWithMessage("leader of term " + term)
        .that(earlier == null ? replica.id : earlier)
        .isEqualTo(replica.id);
    if (earlier == null && !committed.isEmpty()) {
      Entry last = committed.lastEntry().getValue();
      assertWithMessage("last index of the new leader")
          .that(replica.core().lastIndex())
          .isAtLeast(last.getIndex());
      assertWithMessage("term at " + last.getIndex() + " in the new leader")
          .that(replica.core().termAt(last.getIndex()))
          .isEqualTo(last.getTerm());
    }
  }

  /**
   * Checks log matching: an index and a term identify one entry and the term of its predecessor.
   */
  void checkStored(Entry entry, long previousTerm) {
    checks++;
    String indexAndTerm = entry.getIndex() + "@" + entry.getTerm();
    String content = previousTerm + " " + entry.getKind() + " " + entry.getData().toStringUtf8();
    String earlier = entryByIndexAndTerm.putIfAbsent(indexAndTerm, content);
    assertWithMessage("entry " + indexAndTerm)
        .that(earlier == null ? content : earlier)
        .isEqualTo(content);
  }

  /** Checks that committed entries never change and that all replicas apply the same prefix. */
  void checkApplied(Entry entry, long digest) {
    checks++;
    Entry earlier = committed.putIfAbsent(entry.getIndex(), entry);
    assertWithMessage("committed entry " + entry.getIndex())
        .that(earlier == null ? entry : earlier)
        .isEqualTo(entry);
    checkState(entry.getIndex(), digest);
  }

  void checkState(long index, long digest) {
    Long earlier = digestAt.putIfAbsent(index, digest);
    assertWithMessage("state at " + index)
        .that(earlier == null ? digest : earlier)
        .isEqualTo(digest);
  }

  void recordRead(long readId) {
    committedAtRequest.put(readId, highestCommitted());
  }

  /** Checks that a confirmed read sees every entry that was committed when it was requested. */
  void checkConfirmedRead(ConfirmedRead read) {
    checks++;
    assertWithMessage("index of read " + read.readId())
        .that(read.index())
        .isAtLeast(committedAtRequest.get(read.readId()));
  }
}
