package org.alderyard.proxy.drain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.junit.jupiter.api.Test;

/** A proxy that shuts down takes no new request and cuts none off. */
class RequestsInFlightTest {
  private final RequestsInFlight inFlight = new RequestsInFlight();

  /**
   * An operator restarts a proxy while two orders are in flight, one of them passed on by another
   * proxy. The shutdown waits for both; an order that comes meanwhile is told that it did not run.
   */
  @Test
  void drainWaitsForWhatIsInFlightAndRefusesTheRest() {
    CompletableFuture<String> own = new CompletableFuture<>();
    CompletableFuture<String> passedOn = new CompletableFuture<>();
    inFlight.run(() -> own);

    final CompletableFuture<Void> drained = inFlight.drain();
    inFlight.runToTheEnd(() -> passedOn);
    AlderyardException refused =
        assertThrows(
            AlderyardException.class,
            () -> inFlight.run(() -> CompletableFuture.completedFuture("new")));

    assertThat(refused.code()).isEqualTo(ErrorCode.DRAINING);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refused.retryAfterMillis().isPresent()).isTrue();
    own.complete("done");
    assertThat(drained.isDone()).isFalse();
    passedOn.completeExceptionally(new IllegalStateException("failed is ended too"));
    assertThat(drained.isDone()).isTrue();
  }

  /** A request that fails before it starts is counted down as well: the drain would hang on it. */
  @Test
  void requestThatThrowsIsNotLeftInFlight() {
    inFlight.run(
        () -> {
          throw new IllegalStateException("wrong");
        });

    assertThat(inFlight.drain().isDone()).isTrue();
  }
}
