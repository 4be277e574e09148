package org.alderyard.control.log;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Proposals and reads of this host that are not completed yet. Used only on the serial loop. */
final class PendingRequests {
  private static final Logger log = LoggerFactory.getLogger(PendingRequests.class);

  private final Executor callbacks;
  private final TreeMap<Long, Proposal> proposals = new TreeMap<>();
  private final TreeMap<Long, CompletableFuture<Void>> unconfirmedReads = new TreeMap<>();
  private final TreeMap<Long, List<CompletableFuture<Void>>> confirmedReads = new TreeMap<>();

  /** A proposal and the term in which this host appended it to its log. */
  private record Proposal(long term, CompletableFuture<ByteString> future) {}

  PendingRequests(Executor callbacks) {
    this.callbacks = callbacks;
  }

  int size() {
    return proposals.size() + unconfirmedReads.size();
  }

  void addProposal(long index, long term, CompletableFuture<ByteString> future) {
    proposals.put(index, new Proposal(term, future));
  }

  void addRead(long readId, CompletableFuture<Void> future) {
    unconfirmedReads.put(readId, future);
  }

  void confirmRead(long readId, long index) {
    CompletableFuture<Void> future = unconfirmedReads.remove(readId);
    if (future != null) {
      confirmedReads.computeIfAbsent(index, key -> new ArrayList<>()).add(future);
    }
  }

  /**
   * Completes the pending proposal at this index, if any: with the result of the applied entry if
   * that is the proposed one, or else with a failure.
   *
   * <p>An index alone does not identify an entry. The entry of a later leader replaces the proposed
   * one, and may be applied before this host has failed the proposals of its term.
   */
  void completeProposal(long index, long term, ByteString result) {
    endProposal(index, term, future -> future.complete(result));
  }

  /**
   * Fails the pending proposal at this index, if any: with the refusal of the applied entry if that
   * is the proposed one, or else as {@link #completeProposal} does.
   */
  void failProposal(long index, long term, AlderyardException refused) {
    endProposal(index, term, future -> future.completeExceptionally(refused));
  }

  private void endProposal(long index, long term, Consumer<CompletableFuture<ByteString>> result) {
    Proposal proposal = proposals.remove(index);
    if (proposal == null) {
      return;
    }
    if (proposal.term() == term) {
      callbacks.execute(() -> result.accept(proposal.future()));
      return;
    }
    log.warn(
        "event=proposal-replaced index={} proposed-term={} applied-term={}",
        index,
        proposal.term(),
        term);
    AlderyardException replaced =
        AlderyardException.notRun(
            ErrorCode.NOT_LEADER,
            "the entry of a later leader replaced the command at index " + index);
    callbacks.execute(() -> proposal.future().completeExceptionally(replaced));
  }

  /** Completes the confirmed reads that waited for entries up to the applied index. */
  void completeReads(long appliedIndex) {
    Map<Long, List<CompletableFuture<Void>>> completable =
        confirmedReads.headMap(appliedIndex, true);
    completable
        .values()
        .forEach(reads -> reads.forEach(read -> callbacks.execute(() -> read.complete(null))));
    completable.clear();
  }

  /** Fails all pending proposals and reads. */
  void failAll(AlderyardException proposalFailure, AlderyardException readFailure) {
    proposals
        .values()
        .forEach(
            proposal ->
                callbacks.execute(() -> proposal.future().completeExceptionally(proposalFailure)));
    unconfirmedReads
        .values()
        .forEach(future -> callbacks.execute(() -> future.completeExceptionally(readFailure)));
    confirmedReads
        .values()
        .forEach(
            reads ->
                reads.forEach(
                    read -> callbacks.execute(() -> read.completeExceptionally(readFailure))));
    proposals.clear();
    unconfirmedReads.clear();
    confirmedReads.clear();
  }
}
