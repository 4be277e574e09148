package org.alderyard.proxy.ledger;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.Deadline;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;

/**
 * One request on its way to its owner.
 *
 * <p>Asking an owner again is safe: it admits the request once. So a lost reply is asked for again
 * until the deadline, but only while the same process owns the id.
 */
final class OwnedRun {
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private final OwnerLedger ledger;
  private final WriteRequest request;
  private final long requestedAtMillis;
  private final Deadline deadline;
  private final CompletableFuture<WriteAnswer> result = new CompletableFuture<>();
  // The owner that may have admitted the request; written in one attempt at a time.
  private volatile HostState doubted;

  OwnedRun(OwnerLedger ledger, WriteRequest request, long requestedAtMillis) {
    this.ledger = ledger;
    this.request = request;
    this.requestedAtMillis = requestedAtMillis;
    deadline = ledger.deadline(request);
  }

  CompletableFuture<WriteAnswer> start() {
    attempt();
    return result;
  }

  private void attempt() {
    View view = ledger.view();
    Optional<HostState> owner =
        RequestOwners.owner(view, request.ledgerKey().orElseThrow())
            .map(id -> view.hosts().get(id));
    ask(owner)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                result.complete(answer);
              } else {
                failed(owner, Futures.typed(failure));
              }
            });
  }

  private CompletableFuture<WriteAnswer> ask(Optional<HostState> owner) {
    if (owner.isEmpty()) {
      // NOT_RUN holds: there was nobody to pass the request on to.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(ErrorCode.NOT_OWNER, "no proxy is known to own request ids"));
    }
    HostId id = owner.get().id();
    try {
      return id.equals(ledger.self())
          ? ledger.admit(request, requestedAtMillis)
          : forward(owner.get());
    } catch (AlderyardException refused) {
      return CompletableFuture.failedFuture(refused);
    }
  }

  private CompletableFuture<WriteAnswer> forward(HostState owner) {
    Duration left = deadline.remaining(ledger.clock());
    return ledger
        .link()
        .send(owner, OwnedWriteCodec.message(request, requestedAtMillis, left), left)
        .handle(OwnedRun::verdict);
  }

  private static WriteAnswer verdict(OwnedWriteReply reply, Throwable failure) {
    if (failure != null) {
      throw new OwnerUnreachedException(Futures.typed(failure));
    }
    if (reply.hasFailure()) {
      throw OwnedWriteCodec.failure(reply.getFailure());
    }
    return OwnedWriteCodec.answer(reply);
  }

  private void failed(Optional<HostState> owner, AlderyardException failure) {
    boolean unreached = failure instanceof OwnerUnreachedException;
    boolean notRun = failure.outcome() == Outcome.NOT_RUN;
    if (unreached && !notRun) {
      doubted = owner.orElse(null);
    }
    boolean elsewhere = notRun && (unreached || failure.code() == ErrorCode.NOT_OWNER);
    boolean again = doubted == null ? elsewhere : unreached && sameOwner();
    if (again && !deadline.over(ledger.clock())) {
      ledger.workers().schedule(RETRY_DELAY, this::attempt);
      return;
    }
    result.completeExceptionally(doubted != null && notRun ? mayHaveRun(failure) : failure);
  }

  /** What was sent to an owner before may still be admitted, so no later refusal proves a thing. */
  private static AlderyardException mayHaveRun(AlderyardException failure) {
    return AlderyardException.unknown(
        failure.code(),
        "the owner of the request id may have run it; " + failure.getMessage(),
        failure);
  }

  private boolean sameOwner() {
    return Optional.ofNullable(ledger.view().hosts().get(doubted.id()))
        .filter(now -> now.incarnation() == doubted.incarnation())
        .isPresent();
  }
}
