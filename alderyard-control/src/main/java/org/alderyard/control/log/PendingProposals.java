package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.alderyard.common.error.AlderyardException;

/** The proposals and reads of this host that have no answer yet; used on the loop only. */
final class PendingProposals {
  private final Executor callbacks;
  private final TreeMap<Long, CompletableFuture<ByteString>> proposals = new TreeMap<>();
  private final TreeMap<Long, CompletableFuture<Void>> unconfirmed = new TreeMap<>();
  private final TreeMap<Long, List<CompletableFuture<Void>>> confirmed = new TreeMap<>();

  PendingProposals(Executor callbacks) {
    this.callbacks = callbacks;
  }

  int size() {
    return proposals.size() + unconfirmed.size();
  }

  void proposed(long index, CompletableFuture<ByteString> answer) {
    proposals.put(index, answer);
  }

  void asked(long readId, CompletableFuture<Void> answer) {
    unconfirmed.put(readId, answer);
  }

  void confirmed(long readId, long index) {
    CompletableFuture<Void> answer = unconfirmed.remove(readId);
    if (answer != null) {
      confirmed.computeIfAbsent(index, key -> new ArrayList<>()).add(answer);
    }
  }

  /** The waiting proposal at this index, if any, is the entry that was applied. */
  void applied(long index, ByteString result) {
    CompletableFuture<ByteString> answer = proposals.remove(index);
    if (answer != null) {
      callbacks.execute(() -> answer.complete(result));
    }
  }

  /** Answers the reads that waited for the state up to an index. */
  void reached(long appliedIndex) {
    Map<Long, List<CompletableFuture<Void>>> due = confirmed.headMap(appliedIndex, true);
    due.values()
        .forEach(reads -> reads.forEach(read -> callbacks.execute(() -> read.complete(null))));
    due.clear();
  }

  /** Gives everything its final answer at once. */
  void fail(AlderyardException forProposals, AlderyardException forReads) {
    proposals
        .values()
        .forEach(answer -> callbacks.execute(() -> answer.completeExceptionally(forProposals)));
    unconfirmed
        .values()
        .forEach(answer -> callbacks.execute(() -> answer.completeExceptionally(forReads)));
    confirmed
        .values()
        .forEach(
            reads ->
                reads.forEach(
                    read -> callbacks.execute(() -> read.completeExceptionally(forReads))));
    proposals.clear();
    unconfirmed.clear();
    confirmed.clear();
  }
}
