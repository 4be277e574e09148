package org.alderyard.proxy.ledger;

import java.time.InstantSource;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.Deadline;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A ledger that the proxies keep: each request ID is owned by one proxy, which admits the request
 * once.
 *
 * <p>The owner is chosen by rendezvous hashing over the live proxies of the view; other proxies
 * forward the request to it. Two owners must not run the same request, so a proxy admits requests
 * only while its view lease is valid, and a new owner rejects requests that were first sent before
 * the previous owner has certainly stopped (see {@link LedgerLimits}). A request therefore carries
 * the time at which it was first sent. After a run of unknown outcome, the outcome of the ID stays
 * unknown and the request never runs again.
 */
public final class OwnerLedger implements RequestLedger {
  private static final Logger log = LoggerFactory.getLogger(OwnerLedger.class);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HostId self;
  private final ViewHolder views;
  private final BooleanSupplier viewLeaseValid;
  private final RequestLedger delegate;
  private final OwnerClient ownerClient;
  private final RequestOwners owners;
  private final LedgerTable table;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final InstantSource wallClock;

  /**
   * Creates the ledger of one proxy.
   *
   * @param self this proxy
   * @param viewLeaseValid whether the view lease is valid
   * @param delegate runs an admitted write
   * @param ownerClient forwards writes to other proxies
   */
  public OwnerLedger(
      HostId self,
      ViewHolder views,
      BooleanSupplier viewLeaseValid,
      RequestLedger delegate,
      OwnerClient ownerClient,
      LedgerLimits limits,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock) {
    this.self = Objects.requireNonNull(self);
    this.views = views;
    this.viewLeaseValid = viewLeaseValid;
    this.delegate = delegate;
    this.ownerClient = ownerClient;
    this.workers = workers;
    this.clock = clock;
    this.wallClock = wallClock;
    owners = new RequestOwners(self, limits.retention(), wallClock.millis());
    table = new LedgerTable(limits);
    views.onChange(view -> owners.update(view, wallClock.millis()));
    owners.update(views.current(), wallClock.millis());
  }

  /**
   * Notifies the ledger that this proxy has regained its view lease after the lease had expired.
   */
  public void onViewLeaseRegained() {
    owners.resetOwnership(wallClock.millis());
  }

  @Override
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    LedgerKey key = request.ledgerKey().orElseThrow();
    OptionalLong requestedAtMillis =
        request.requestedAtMillis().isPresent()
            ? request.requestedAtMillis()
            : RequestTime.of(key.request());
    if (requestedAtMillis.isEmpty()) {
      // NOT_RUN is accurate: the request was not forwarded.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.BAD_REQUEST,
              "requestId '"
                  + key.request()
                  + "' contains no timestamp; use a version 7 UUID or set requestedAtMillis"));
    }
    if (!viewLeaseValid.getAsBoolean()) {
      // NOT_RUN is accurate: the request was not forwarded.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost contact with the control hosts"));
    }
    return new OwnerCall(this, request, requestedAtMillis.getAsLong()).start();
  }

  /** Runs a write that another proxy forwarded to this proxy as the owner of the request ID. */
  public CompletableFuture<OwnedWriteReply> serve(OwnedWriteRequest message) {
    CompletableFuture<WriteAnswer> answer;
    try {
      WriteRequest request = OwnedWriteCodec.decodeRequest(message, views.current());
      answer = admit(request, message.getRequestedAtMillis());
    } catch (RuntimeException rejection) {
      answer = CompletableFuture.failedFuture(rejection);
    }
    return answer.handle(
        (writeAnswer, failure) ->
            failure == null
                ? OwnedWriteCodec.encodeAnswer(writeAnswer)
                : OwnedWriteCodec.encodeFailure(Futures.toAlderyardException(failure)));
  }

  /**
   * Admits a write at its owner and runs it, or returns the outcome of its first run.
   *
   * <p>The clock is read before the lease is checked. Even if the thread is suspended in between,
   * the time lies within the lease, and the next owner rejects requests that are as old.
   */
  CompletableFuture<WriteAnswer> admit(WriteRequest request, long requestedAtMillis) {
    LedgerKey key = request.ledgerKey().orElseThrow();
    long nowMillis = wallClock.millis();
    boolean leaseValid = viewLeaseValid.getAsBoolean();
    OptionalLong ownedSinceMillis = owners.ownedSinceMillis(key);
    if (!leaseValid || ownedSinceMillis.isEmpty()) {
      // NOT_RUN is accurate for this call: the request is not in the table and was not run.
      throw AlderyardException.notRun(
          ErrorCode.NOT_OWNER, self + " does not own the request id", RETRY_AFTER_MILLIS);
    }
    Admission admission =
        table.admit(
            key,
            OwnedWriteCodec.contentDigest(request),
            requestedAtMillis,
            ownedSinceMillis.getAsLong(),
            nowMillis);
    log.info("event=ledger request={} decision={}", key.request(), admission.kind());
    return switch (admission.kind()) {
      case RUN -> runAdmitted(request, admission.outcome());
      case REPEATED ->
          workers.withTimeout(admission.outcome(), request.timeout(), Outcome.OUTCOME_UNKNOWN);
      default -> throw AdmissionErrors.of(admission.kind(), key);
    };
  }

  private CompletableFuture<WriteAnswer> runAdmitted(
      WriteRequest request, CompletableFuture<WriteAnswer> outcome) {
    CompletableFuture<WriteAnswer> run;
    try {
      run = delegate.run(request);
    } catch (RuntimeException failure) {
      run = CompletableFuture.failedFuture(failure);
    }
    run.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            outcome.complete(answer);
          } else {
            outcome.completeExceptionally(failure);
          }
        });
    return outcome;
  }

  HostId self() {
    return self;
  }

  View view() {
    return views.current();
  }

  OwnerClient ownerClient() {
    return ownerClient;
  }

  WorkerPool workers() {
    return workers;
  }

  MonotonicClock clock() {
    return clock;
  }

  Deadline deadline(WriteRequest request) {
    return Deadline.after(request.timeout(), clock);
  }
}
