package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.proxy.view.ViewGate;

/** Holds operations of callers while this host can't tell whether its view is current. */
final class OperationGate {
  private static final long RETRY_MILLIS = 200;
  private static final Refusal REFUSAL =
      new Refusal(
          RefusalCode.BUSY,
          "this host ran late, and the control hosts have not confirmed its view yet; retry after "
              + RETRY_MILLIS
              + " ms");

  private volatile ViewGate gate = ViewGate.OPEN;

  /** Sets what holds operations; without it, none is held. */
  void holdWith(ViewGate newGate) {
    gate = newGate;
  }

  /**
   * Waits until an operation may begin by the view of this host.
   *
   * @return a future that never fails: empty if the operation may begin by the view that is current
   *     when the future completes, otherwise the reason why nothing ran
   */
  CompletableFuture<Optional<Refusal>> pass() {
    return gate.pass()
        .thenApply(passed -> passed ? Optional.<Refusal>empty() : Optional.of(REFUSAL));
  }
}
