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
 * The ledger that needs nothing of the servers: one proxy owns each request id and admits one run.
 *
 * <p>The owner is found by rendezvous hashing over the live proxies of the view; any other proxy
 * passes the request on to it. Guards against two owners: a proxy admits only on a view whose lease
 * is valid, and a new owner does not admit a request that was first sent before the old one had
 * certainly stopped (see {@link LedgerLimits}). So a request names the time of its first sending.
 * After a run of unknown outcome the id stays unknown; it never runs again.
 */
public final class OwnerLedger implements RequestLedger {
  private static final Logger log = LoggerFactory.getLogger(OwnerLedger.class);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HostId self;
  private final ViewHolder views;
  private final BooleanSupplier viewLeaseValid;
  private final RequestLedger runs;
  private final OwnerLink link;
  private final RequestOwners owners;
  private final LedgerTable table;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  private final InstantSource wallClock;

  /**
   * Creates the ledger of one proxy.
   *
   * @param self this proxy
   * @param viewLeaseValid whether the view may be acted on
   * @param runs runs an admitted write
   * @param link the way to other proxies
   */
  public OwnerLedger(
      HostId self,
      ViewHolder views,
      BooleanSupplier viewLeaseValid,
      RequestLedger runs,
      OwnerLink link,
      LedgerLimits limits,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock) {
    this.self = Objects.requireNonNull(self);
    this.views = views;
    this.viewLeaseValid = viewLeaseValid;
    this.runs = runs;
    this.link = link;
    this.workers = workers;
    this.clock = clock;
    this.wallClock = wallClock;
    owners = new RequestOwners(self, limits.retention(), wallClock.millis());
    table = new LedgerTable(limits);
    views.onChange(view -> owners.update(view, wallClock.millis()));
    owners.update(views.current(), wallClock.millis());
  }

  /** Tells the ledger that this proxy had lost its view lease and has it again. */
  public void viewLeaseLapsed() {
    owners.viewLeaseLapsed(wallClock.millis());
  }

  @Override
  public CompletableFuture<WriteAnswer> run(WriteRequest request) {
    LedgerKey key = request.ledgerKey().orElseThrow();
    OptionalLong requestedAt =
        request.requestedAtMillis().isPresent()
            ? request.requestedAtMillis()
            : RequestTime.of(key.request());
    if (requestedAt.isEmpty()) {
      // NOT_RUN holds: the request was passed on to nobody.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.BAD_REQUEST,
              "requestId '"
                  + key.request()
                  + "' tells no time; accepted: a version 7 UUID, or requestedAtMillis beside it"));
    }
    if (!viewLeaseValid.getAsBoolean()) {
      // NOT_RUN holds: the request was passed on to nobody.
      return CompletableFuture.failedFuture(
          AlderyardException.notRun(
              ErrorCode.VIEW_LEASE_EXPIRED, "this proxy has lost touch with the control hosts"));
    }
    return new OwnedRun(this, request, requestedAt.getAsLong()).start();
  }

  /** Serves another proxy that takes this one for the owner. */
  public CompletableFuture<OwnedWriteReply> serve(OwnedWriteRequest message) {
    CompletableFuture<WriteAnswer> answer;
    try {
      WriteRequest request = OwnedWriteCodec.write(message, views.current());
      answer = admit(request, message.getRequestedAtMillis());
    } catch (RuntimeException refused) {
      answer = CompletableFuture.failedFuture(refused);
    }
    return answer.handle(
        (done, failure) ->
            failure == null
                ? OwnedWriteCodec.answerMessage(done)
                : OwnedWriteCodec.failureMessage(Futures.typed(failure)));
  }

  /**
   * Admits a write at its owner and runs it, or returns what became of its first run.
   *
   * <p>The time is read before the lease is checked: however long this thread sleeps between the
   * two, the time lies within the lease, and the next owner refuses what is as old.
   */
  CompletableFuture<WriteAnswer> admit(WriteRequest request, long requestedAtMillis) {
    LedgerKey key = request.ledgerKey().orElseThrow();
    long nowMillis = wallClock.millis();
    boolean leaseValid = viewLeaseValid.getAsBoolean();
    OptionalLong ownedSinceMillis = owners.ownedSinceMillis(key);
    if (!leaseValid || ownedSinceMillis.isEmpty()) {
      // NOT_RUN holds for this sending: it is not in the table and nothing was run for it.
      throw AlderyardException.notRun(
          ErrorCode.NOT_OWNER, self + " does not own the request id", RETRY_AFTER_MILLIS);
    }
    Admission admission =
        table.admit(
            key,
            OwnedWriteCodec.content(request),
            requestedAtMillis,
            ownedSinceMillis.getAsLong(),
            nowMillis);
    log.info("event=ledger request={} decision={}", key.request(), admission.kind());
    return switch (admission.kind()) {
      case RUN -> runOnce(request, admission.outcome());
      case REPEATED ->
          workers.withTimeout(admission.outcome(), request.timeout(), Outcome.OUTCOME_UNKNOWN);
      default -> throw AdmissionErrors.of(admission.kind(), key);
    };
  }

  private CompletableFuture<WriteAnswer> runOnce(
      WriteRequest request, CompletableFuture<WriteAnswer> outcome) {
    CompletableFuture<WriteAnswer> run;
    try {
      run = runs.run(request);
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

  OwnerLink link() {
    return link;
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
