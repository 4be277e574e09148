package org.alderyard.proxy.drain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.junit.jupiter.api.Test;

/** Tests that a proxy that shuts down refuses new requests and completes the requests in flight. */
class RequestsInFlightTest {
  private final RequestsInFlight inFlight = new RequestsInFlight();

  /**
   * Two requests are in flight when a proxy shuts down, one of them forwarded by another proxy. The
   * shutdown waits for both, and a request that arrives during the shutdown is refused as {@code
   * NOT_RUN}.
   */
  @Test
  void drainWaitsForRequestsInFlightAndRefusesNewRequests() {
    CompletableFuture<String> local = new CompletableFuture<>();
    CompletableFuture<String> forwarded = new CompletableFuture<>();
    inFlight.run(() -> local);

    final CompletableFuture<Void> drained = inFlight.drain();
    inFlight.runEvenIfDraining(() -> forwarded);
    AlderyardException refused =
        assertThrows(
            AlderyardException.class,
            () -> inFlight.run(() -> CompletableFuture.completedFuture("new")));

    assertThat(refused.code()).isEqualTo(ErrorCode.DRAINING);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refused.retryAfterMillis().isPresent()).isTrue();
    local.complete("done");
    assertThat(drained.isDone()).isFalse();
    forwarded.completeExceptionally(new IllegalStateException("a failed request also ends"));
    assertThat(drained.isDone()).isTrue();
  }

  /**
   * A request that throws before it starts must also be removed from the count, or the drain would
   * never complete.
   */
  @Test
  void requestThatThrowsIsNotCountedAsInFlight() {
    inFlight.run(
        () -> {
          throw new IllegalStateException("wrong");
        });

    assertThat(inFlight.drain().isDone()).isTrue();
  }
}
