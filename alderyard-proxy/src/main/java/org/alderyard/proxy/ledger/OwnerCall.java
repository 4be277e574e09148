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
 * Sends one request to the owner of its ID, with retries.
 *
 * <p>Repeating a call to the same owner is safe, since the owner admits a request only once. After
 * a lost reply, the call is therefore repeated until the deadline, but only while the same process
 * owns the ID.
 */
final class OwnerCall {
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private final OwnerLedger ledger;
  private final WriteRequest request;
  private final long requestedAtMillis;
  private final Deadline deadline;
  private final CompletableFuture<WriteAnswer> result = new CompletableFuture<>();
  // The owner that may have admitted the request; written by one attempt at a time.
  private volatile HostState uncertainOwner;

  OwnerCall(OwnerLedger ledger, WriteRequest request, long requestedAtMillis) {
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
    callOwner(owner)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                result.complete(answer);
              } else {
                handleFailure(owner, Futures.toAlderyardException(failure));
              }
            });
  }

  private CompletableFuture<WriteAnswer> callOwner(Optional<HostState> owner) {
    if (owner.isEmpty()) {
      // NOT_RUN is accurate: there was no owner to forward the request to.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.NOT_OWNER, "the view contains no proxy that can own the request id"));
    }
    HostId id = owner.get().id();
    try {
      return id.equals(ledger.self())
          ? ledger.admit(request, requestedAtMillis)
          : forward(owner.get());
    } catch (AlderyardException rejection) {
      return CompletableFuture.failedFuture(rejection);
    }
  }

  private CompletableFuture<WriteAnswer> forward(HostState owner) {
    Duration timeLeft = deadline.remaining(ledger.clock());
    return ledger
        .ownerClient()
        .send(owner, OwnedWriteCodec.encodeRequest(request, requestedAtMillis, timeLeft), timeLeft)
        .handle(OwnerCall::toAnswer);
  }

  private static WriteAnswer toAnswer(OwnedWriteReply reply, Throwable failure) {
    if (failure != null) {
      throw new OwnerUnreachableException(Futures.toAlderyardException(failure));
    }
    if (reply.hasFailure()) {
      throw OwnedWriteCodec.decodeFailure(reply.getFailure());
    }
    return OwnedWriteCodec.decodeAnswer(reply);
  }

  private void handleFailure(Optional<HostState> owner, AlderyardException failure) {
    boolean unreachable = failure instanceof OwnerUnreachableException;
    boolean notRun = failure.outcome() == Outcome.NOT_RUN;
    if (unreachable && !notRun) {
      uncertainOwner = owner.orElse(null);
    }
    boolean retryable = notRun && (unreachable || failure.code() == ErrorCode.NOT_OWNER);
    boolean retry = uncertainOwner == null ? retryable : unreachable && ownerUnchanged();
    if (retry && !deadline.isExpired(ledger.clock())) {
      ledger.workers().schedule(RETRY_DELAY, this::attempt);
      return;
    }
    result.completeExceptionally(uncertainOwner != null && notRun ? mayHaveRun(failure) : failure);
  }

  /**
   * Returns the failure as one of unknown outcome: an owner may still admit a request that was sent
   * to it before, so a later rejection does not prove that the request did not run.
   */
  private static AlderyardException mayHaveRun(AlderyardException failure) {
    return AlderyardException.unknown(
        failure.code(),
        "the owner of the request id may have run it; " + failure.getMessage(),
        failure);
  }

  private boolean ownerUnchanged() {
    return Optional.ofNullable(ledger.view().hosts().get(uncertainOwner.id()))
        .filter(current -> current.incarnation() == uncertainOwner.incarnation())
        .isPresent();
  }
}
